//! A leader on a weak host whose calls other daemons make. Whatever happens to these, no task runs
//! twice.

mod support;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use borageswitch_fakes::platform::{MemoryPlatform, RunRecord, example::cores};
use borageswitch_runtime::{
    admission::Call,
    daemon::{self, DaemonConfig},
    intake,
};
use borageswitch_scheduler::{
    executor::EndKind,
    job::{JobSpec, Step},
    ledger::record::Outcome,
    reducer::{Limits, view::JobStatus},
    task::TaskKey,
};
use borageswitch_types::names::JobName;
use smol::{Executor, Timer};
use support::{Daemon, queue, wait_for};

/// So weak a host that a few calls per second are too many for it.
const WEAK_CORES: f64 = 0.004;
const JOBS: usize = 30;
const TASKS_PER_JOB: usize = 4;

fn start(name: &str, cores: f64, platform: &MemoryPlatform, ex: &Arc<Executor<'static>>) -> Daemon {
    let cfg = DaemonConfig {
        name: name.into(),
        peer_address: ([127, 0, 0, 1], 0).into(),
        weight: cores,
        limits: Limits::default(),
        config_watch_timeout: Duration::from_millis(1_500),
        keys_hold: None,
        meter: opentelemetry::global::meter("borageswitch"),
    };
    daemon::start(cfg, platform.clone(), ex.clone()).unwrap()
}

fn site() -> MemoryPlatform {
    let platform = support::platform();
    for name in ["e1", "e2", "e3", "e4"] {
        platform.add_executor(name, "payroll", cores(8));
    }
    platform
}

async fn submit(daemon: &Daemon, job: &JobName) {
    let step = Step {
        count: TASKS_PER_JOB as u32,
        size: cores(1),
        estimate: Duration::from_millis(30),
        ..Step::default()
    };
    let spec = JobSpec { payload: "text".into(), steps: vec![step], schedule: None };
    wait_for(async || {
        intake::submit(daemon, Call::without_key(&queue()), job, spec.clone()).await.ok()
    })
    .await;
}

/// Submits jobs a few milliseconds apart, and waits until all are completed.
async fn complete_jobs(daemon: &Daemon, prefix: &str) {
    let jobs: Vec<JobName> =
        (0..JOBS).map(|n| JobName::from(format!("{prefix}{n:014x}a"))).collect();
    for job in &jobs {
        submit(daemon, job).await;
        Timer::after(Duration::from_millis(20)).await;
    }
    for job in &jobs {
        let outcome = wait_for(async || {
            match intake::status(daemon, Call::without_key(&queue()), job).await {
                Ok(JobStatus::Ended(outcome)) => Some(outcome),
                _ => None,
            }
        })
        .await;
        assert_eq!(outcome, Outcome::Completed, "{job}");
    }
}

/// The tasks of which a run began before the one before it had ended, or after one was completed.
fn ran_twice(platform: &MemoryPlatform) -> Vec<TaskKey> {
    let mut by_task: BTreeMap<TaskKey, Vec<RunRecord>> = BTreeMap::new();
    for run in platform.runs() {
        by_task.entry(run.task.clone()).or_default().push(run);
    }
    let is_twice = |pair: &[RunRecord]| match pair[0].ended {
        Some((_, Some(EndKind::Done))) | None => true,
        Some((ended, _)) => ended > pair[1].started_ms,
    };
    let mut twice = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started_ms);
        if runs.windows(2).any(is_twice) {
            twice.push(task);
        }
    }
    twice
}

#[test]
fn relays_make_the_calls_of_a_busy_leader_and_every_task_runs_once() {
    let ex = Arc::new(Executor::new());
    let platform = site();
    let leader = start("leader", WEAK_CORES, &platform, &ex);
    smol::block_on(ex.run(async {
        wait_for(async || leader.is_ready().then_some(())).await;
        complete_jobs(&leader, "1").await;
        let _relays = [start("r1", 1.0, &platform, &ex), start("r2", 1.0, &platform, &ex)];
        Timer::after(Duration::from_millis(1_000)).await;

        complete_jobs(&leader, "2").await;

        assert!(leader.relays.relayed_calls() > 0);
        assert_eq!(platform.started().len(), 2 * JOBS * TASKS_PER_JOB);
    }));
}

/// Guards against a relay that resumes after its leader has given it up and sends old orders.
#[test]
fn a_relay_that_is_suspended_sends_nothing_when_it_resumes() {
    let ex = Arc::new(Executor::new());
    let relay_ex = Arc::new(Executor::new());
    let platform = site();
    let leader = start("leader", WEAK_CORES, &platform, &ex);
    let suspended = Arc::new(AtomicBool::new(false));
    let (own, paused) = (relay_ex.clone(), suspended.clone());
    thread::spawn(move || {
        loop {
            if paused.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            } else {
                smol::block_on(own.run(Timer::after(Duration::from_millis(5))));
            }
        }
    });
    smol::block_on(ex.run(async {
        wait_for(async || leader.is_ready().then_some(())).await;
        complete_jobs(&leader, "0").await;
        let _relay = start("relay", 1.0, &platform, &relay_ex);
        Timer::after(Duration::from_millis(1_000)).await;
        complete_jobs(&leader, "1").await;
        assert!(leader.relays.relayed_calls() > 0);

        suspended.store(true, Ordering::SeqCst);
        complete_jobs(&leader, "2").await;
        suspended.store(false, Ordering::SeqCst);
        Timer::after(Duration::from_millis(500)).await;
        complete_jobs(&leader, "3").await;

        assert!(ran_twice(&platform).is_empty(), "{:?}", ran_twice(&platform));
    }));
}
