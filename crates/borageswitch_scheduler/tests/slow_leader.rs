//! A leader whose processor cannot carry out what the load asks of it.

mod support;

use std::time::Duration;

use borageswitch_scheduler::job::Step;
use borageswitch_types::names::JobName;
use support::{
    fixtures::cores,
    simulation::{Faults, Simulation, processor::Processor},
};

const EXECUTORS: usize = 16;
const TASKS: u32 = 10;
const TASK_MS: u64 = 200;
/// How long a call and an event take the leader, in microseconds.
const CALL_MICROS: i64 = 1_500;
const EVENT_MICROS: i64 = 500;
/// The jobs a second that keep the leader's processor just about busy.
const JOBS_PER_S: f64 = 32.0;
const LOAD_MS: u64 = 12_000;
/// The part of the load that is not measured.
const SETTLE_MS: u64 = 2_000;
const TAIL_MS: u64 = 8_000;
const STEP_MS: u64 = 5;

#[derive(Debug, Default)]
struct Outcome {
    /// Jobs that ended on time, and at all, while the load lasted.
    on_time: usize,
    ended: usize,
}

/// Plays a load of `factor` times what the leader's processor bears, on hosts with ample capacity.
fn play(factor: f64) -> Outcome {
    let mut site = Simulation::new(1, EXECUTORS, true, Faults::default());
    site.processor = Some(Processor::new(CALL_MICROS, EVENT_MICROS));
    site.run(2_000);
    let begin = site.now;
    let mut submitted: Vec<(JobName, u64)> = Vec::new();
    let mut due = 0.0;
    while site.now < begin + LOAD_MS + TAIL_MS {
        if site.now < begin + LOAD_MS {
            due += factor * JOBS_PER_S * STEP_MS as f64 / 1_000.0;
        }
        while due >= 1.0 {
            due -= 1.0;
            let job = JobName::from(format!("{:015x}1", submitted.len()));
            let step = Step {
                count: TASKS,
                size: cores(1),
                estimate: Duration::from_millis(TASK_MS),
                ..Step::default()
            };
            site.submit_as(&job, None, vec![step], None);
            submitted.push((job, site.now));
        }
        site.run(STEP_MS);
    }
    assert!(site.violations.is_empty(), "{:?}", site.violations);
    let mut outcome = Outcome::default();
    let objective = (TASK_MS as f64 * 1.6) as u64 + 600;
    for (job, at) in submitted {
        let ended = site.reported_at.get(&job).copied().unwrap_or(u64::MAX);
        if (begin + SETTLE_MS..begin + LOAD_MS).contains(&ended) {
            outcome.ended += 1;
            outcome.on_time += usize::from(ended - at <= objective);
        }
    }
    outcome
}

/// Guards against a leader that starts every job late once it cannot start all of them.
#[test]
fn a_leader_at_several_times_its_load_starts_on_time_most_of_what_it_can() {
    let best = play(0.75);
    assert!(best.on_time * 100 >= best.ended * 95, "{best:?}");
    for factor in [2.0, 4.0] {
        let outcome = play(factor);

        assert!(outcome.on_time * 10 >= best.on_time * 9, "{factor}: {outcome:?}, best {best:?}");
    }
}
