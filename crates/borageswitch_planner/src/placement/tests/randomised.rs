//! Random runs: holders are replaced, hosts go silent and leave, jobs are cancelled, answers are
//! lost, and what callers were promised still holds.

use std::time::Duration;

use borageswitch_types::names::{JobName, PoolName};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::world::{HOST, World, host_name, job, payroll};
use crate::placement::{
    Event,
    hosts::HostRoom,
    job::{JobState, Urgency},
};

/// One event of a random run.
#[derive(Clone, Debug)]
enum Chance {
    Run(u8),
    Submit { payroll: bool, cores: u8, urgent: bool },
    Cancel(u8),
    Silence(u8),
    Speak,
    Leave(u8),
    TakeOver,
}

fn chance() -> impl Strategy<Value = Chance> {
    prop_oneof![
        5 => (1..40u8).prop_map(Chance::Run),
        8 => (any::<bool>(), 1..9u8, any::<bool>())
            .prop_map(|(payroll, cores, urgent)| Chance::Submit { payroll, cores, urgent }),
        2 => any::<u8>().prop_map(Chance::Cancel),
        1 => (0..4u8).prop_map(Chance::Silence),
        1 => Just(Chance::Speak),
        1 => (0..4u8).prop_map(Chance::Leave),
        2 => Just(Chance::TakeOver),
    ]
}

fn play(world: &mut World, chance: &Chance, submitted: &mut usize) {
    match *chance {
        Chance::Run(seconds) => world.run_for(Duration::from_secs(u64::from(seconds))),
        Chance::Submit { payroll: once, cores, urgent } => {
            let urgency = if urgent { Urgency::Urgent } else { Urgency::Normal };
            let cores = u64::from(cores);
            let one = if once { payroll(cores) } else { job("sales", cores, urgency) };
            let kind = if once { "pay" } else { "job" };
            world.submit(&format!("{kind}{submitted}"), one);
            *submitted += 1;
        }
        Chance::Cancel(at) => {
            let n = usize::from(at) % (*submitted).max(1);
            for kind in ["pay", "job"] {
                world.tell(Event::Cancel { name: JobName::from(format!("{kind}{n}")) });
            }
        }
        Chance::Silence(at) => {
            world.silent.insert(host_name(usize::from(at)));
        }
        Chance::Speak => {
            for host in std::mem::take(&mut world.silent) {
                // A host that was silent for longer than its lease has stopped its tasks.
                world.tasks.retain(|_, task| task.host != host);
                let room = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
                world.tell(Event::HostGone { name: host.clone() });
                world.tell(Event::HostSet { name: host, host: room });
            }
        }
        Chance::Leave(at) => {
            let host = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: true };
            world.tell(Event::HostSet { name: host_name(usize::from(at)), host });
        }
        Chance::TakeOver => world.take_over(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Holders are replaced, answers of agents are lost, hosts go silent and leave, jobs are
    /// cancelled. A clerk would notice a payroll that ran twice or a job that never gets an
    /// answer.
    #[test]
    fn payroll_starts_at_most_once_and_every_job_is_answered(
        chances in vec(chance(), 1..50),
        seed in 0..1_000u64,
    ) {
        let mut world = World::new(4, seed);
        world.lost_percent = 10;
        let mut submitted = 0;

        for chance in &chances {
            play(&mut world, chance, &mut submitted);
        }
        play(&mut world, &Chance::Speak, &mut submitted);
        for at in 0..4 {
            let host = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
            world.tell(Event::HostSet { name: host_name(at), host });
        }
        world.run_for(Duration::from_secs(600));

        for (name, starts) in &world.started {
            prop_assert!(!name.as_str().starts_with("pay") || *starts == 1, "{name}: {starts}");
        }
        prop_assert_eq!(world.answers.len(), submitted);
        let ended = |name: &JobName| {
            matches!(world.placement.job(name).map(|r| &r.state), Some(JobState::Ended(_)))
        };
        prop_assert!(world.answers.keys().all(ended));
    }
}
