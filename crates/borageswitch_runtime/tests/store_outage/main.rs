//! Daemons on a store that is slow, refuses, loses responses or stops responding. Whatever it does,
//! a refused job is not in the store, and only jobs that were sent have an unknown outcome.

mod leader;

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::platform::{
    MemoryPlatform, PlatformFaults,
    example::{self, cores},
};
use borageswitch_runtime::{
    admission::Call,
    daemon::{self, DaemonConfig, Shared},
    failures::{Failure, RequestResult},
    intake, keys, operators,
};
use borageswitch_scheduler::{
    config::Queue,
    job::{JobSpec, Step},
    reducer::Limits,
};
use borageswitch_types::names::JobName;
use smol::{Executor, Task, Timer};

/// A timeout far above what anything here takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// An outage that does not end while a test runs.
const FOR_EVER: Duration = Duration::from_secs(30);

type Daemon = Arc<Shared<MemoryPlatform>>;
type Ex = Arc<Executor<'static>>;

fn queue() -> Queue {
    example::queue("runs", "/runs/", "payroll")
}

fn platform() -> MemoryPlatform {
    let platform = MemoryPlatform::new(Duration::from_millis(20));
    platform.configure(&example::config([queue()], [example::pool("payroll")]));
    platform.add_executor("e1", "payroll", cores(64));
    platform
}

fn start(name: &str, platform: &MemoryPlatform, ex: &Ex) -> Daemon {
    let cfg = DaemonConfig {
        name: name.into(),
        peer_address: ([127, 0, 0, 1], 0).into(),
        weight: 1.0,
        limits: Limits::default(),
        config_watch_timeout: Duration::from_millis(1_500),
        keys_hold: None,
        meter: opentelemetry::global::meter("borageswitch"),
    };
    daemon::start(cfg, platform.another_handle(), ex.clone()).unwrap()
}

async fn submit(daemon: &Daemon, job: &str) -> RequestResult<()> {
    let step = Step { count: 1, estimate: Duration::from_millis(20), ..Step::default() };
    let spec = JobSpec { payload: "text".into(), steps: vec![step], schedule: None };
    intake::submit(daemon, Call::without_key(&queue()), &JobName::from(job), spec).await
}

/// Submits jobs at the same time. Their names begin with `prefix`.
fn submit_all(ex: &Ex, daemon: &Daemon, prefix: &str, count: usize) -> Task<Vec<Submitted>> {
    let tasks = (0..count).map(|number| {
        let (daemon, job) = (daemon.clone(), format!("{prefix}{number}"));
        ex.spawn(async move { Submitted { result: submit(&daemon, &job).await, job } })
    });
    let tasks: Vec<Task<Submitted>> = tasks.collect();
    ex.spawn(async move {
        let mut all = Vec::new();
        for task in tasks {
            all.push(task.await);
        }
        all
    })
}

#[derive(Debug)]
struct Submitted {
    job: String,
    result: RequestResult<()>,
}

fn count(all: &[Submitted], result: &RequestResult<()>) -> usize {
    all.iter().filter(|submitted| submitted.result == *result).count()
}

/// Asserts that no refused job is in the store or has run, and that accepted ones are in the store.
fn assert_truthful(all: &[Submitted], platform: &MemoryPlatform) {
    for Submitted { job, result } in all {
        let job = JobName::from(job.as_str());
        let ran = platform.started().iter().any(|run| run.task.job == job);
        let stored = ran || platform.get(&keys::job(&job)).is_some();
        match result {
            Ok(()) => assert!(stored, "{job} was accepted and is not stored"),
            Err(Failure::StoreUnavailable) => assert!(!stored, "{job} was refused and is stored"),
            Err(failure) => assert_eq!(*failure, Failure::StoreNoResponse, "{job}"),
        }
    }
}

async fn until<F, T>(mut attempt: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = attempt().await {
            return found;
        }
        assert!(Instant::now() < end, "timed out");
        Timer::after(Duration::from_millis(10)).await;
    }
}

async fn knows_leader(daemon: &Daemon) {
    until(async || {
        let dump = operators::dump(daemon).await;
        (daemon.is_ready() && dump["leader"].is_string()).then_some(())
    })
    .await;
}

/// Starts daemons that know the leader, and each other.
async fn site<const N: usize>(platform: &MemoryPlatform, ex: &Ex) -> [Daemon; N] {
    let daemons = std::array::from_fn(|n| start(&format!("d{n}"), platform, ex));
    for (number, daemon) in daemons.iter().enumerate() {
        knows_leader(daemon).await;
        until(async || submit(daemon, &format!("first-{number}")).await.ok()).await;
    }
    Timer::after(Duration::from_millis(100)).await;
    daemons
}

/// The daemons that do not lead.
async fn followers(daemons: &[Daemon]) -> Vec<&Daemon> {
    let leader = operators::dump(&daemons[0]).await["leader"].clone();
    daemons.iter().filter(|daemon| leader.as_str() != Some(&*daemon.cfg.name)).collect()
}

fn run<F>(ex: &Ex, test: F)
where
    F: Future<Output = ()>,
{
    smol::block_on(ex.run(test));
}

fn hang(platform: &MemoryPlatform) {
    platform.set_faults(PlatformFaults { store_hangs: FOR_EVER, ..Default::default() });
}

#[test]
fn a_slow_store_is_not_taken_for_an_outage() {
    // Each call takes a quarter of a second. Jobs that the store would take must not be refused for
    // that, and none may have an unknown outcome.
    let (ex, platform) = (Arc::new(Executor::new()), platform());
    run(&ex, async {
        let [daemon] = site(&platform, &ex).await;
        let store_delay = Duration::from_millis(250);
        platform.set_faults(PlatformFaults { store_delay, ..Default::default() });

        let all = submit_all(&ex, &daemon, "slow-", 20).await;

        assert_eq!(count(&all, &Ok(())), 20, "{all:?}");
        assert_truthful(&all, &platform);
    });
}

#[test]
fn a_store_that_refuses_one_daemon_in_three_is_an_outage_for_that_one_only() {
    // The refused daemon reports an outage. If the others believed the report, two thirds of the
    // site would refuse jobs that the store takes.
    let (ex, platform) = (Arc::new(Executor::new()), platform());
    run(&ex, async {
        let daemons: [Daemon; 3] = site(&platform, &ex).await;
        let followers = followers(&daemons).await;
        followers[0].platform.turn_away(true);

        for round in 0..10 {
            for (number, daemon) in daemons.iter().enumerate() {
                let accepted = submit(daemon, &format!("round-{round}-{number}")).await;
                assert_eq!(accepted, Ok(()), "{}", daemon.cfg.name);
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn a_store_that_loses_responses_makes_no_refused_job_run() {
    let (ex, platform) = (Arc::new(Executor::new()), platform());
    run(&ex, async {
        let daemons: [Daemon; 2] = site(&platform, &ex).await;
        platform.set_faults(PlatformFaults { store_loses_answers: true, ..Default::default() });

        let mut all = submit_all(&ex, &daemons[0], "lost-a-", 20).await;
        all.extend(submit_all(&ex, &daemons[1], "lost-b-", 20).await);
        platform.set_faults(PlatformFaults::default());

        assert!(count(&all, &Err(Failure::StoreNoResponse)) > 0, "{all:?}");
        until(async || submit(&daemons[0], "after").await.ok()).await;
        assert_truthful(&all, &platform);
    });
}

#[test]
fn a_store_that_comes_and_goes_is_used_whenever_it_is_there() {
    // The store is unavailable and available again every second. Daemons that learn of its return
    // late, or that keep to an old report, refuse jobs in the good seconds too.
    let (ex, platform) = (Arc::new(Executor::new()), platform());
    run(&ex, async {
        let daemons: [Daemon; 2] = site(&platform, &ex).await;
        let mut all = Vec::new();
        for round in 0..3 {
            hang(&platform);
            all.extend(submit_all(&ex, &daemons[0], &format!("away-{round}-"), 4).await);
            Timer::after(Duration::from_millis(500)).await;
            platform.set_faults(PlatformFaults::default());

            for daemon in &daemons {
                let job = format!("back-{round}-{}", daemon.cfg.name);
                until(async || submit(daemon, &job).await.ok()).await;
            }
        }
        assert_truthful(&all, &platform);
    });
}

#[test]
fn few_jobs_have_an_unknown_outcome_when_the_store_stops_between_write_and_response() {
    // A hundred jobs arrive at once. All that are written before the first write times out have an
    // unknown outcome, and their callers cannot submit them again.
    let (ex, platform) = (Arc::new(Executor::new()), platform());
    run(&ex, async {
        let [daemon] = site(&platform, &ex).await;
        let store_hangs_after_writes = FOR_EVER;
        platform.set_faults(PlatformFaults { store_hangs_after_writes, ..Default::default() });

        let first = submit_all(&ex, &daemon, "first-wave-", 100);
        Timer::after(Duration::from_millis(200)).await;
        let second = submit_all(&ex, &daemon, "second-wave-", 100);
        let (first, second) = (first.await, second.await);

        assert!(count(&first, &Err(Failure::StoreNoResponse)) <= 32, "{first:?}");
        assert_eq!(count(&second, &Err(Failure::StoreUnavailable)), 100, "{second:?}");
        assert_truthful(&first, &platform);
        assert_truthful(&second, &platform);
    });
}

#[test]
fn daemons_without_jobs_learn_of_an_outage_from_the_one_that_has_them() {
    // Without reports, the first jobs of each daemon are sent into the outage.
    let (ex, platform) = (Arc::new(Executor::new()), platform());
    run(&ex, async {
        let daemons: [Daemon; 4] = site(&platform, &ex).await;
        let followers = followers(&daemons).await;
        hang(&platform);

        assert_eq!(submit(followers[0], "job").await, Err(Failure::StoreNoResponse));
        Timer::after(Duration::from_millis(200)).await;

        for daemon in &daemons {
            assert_eq!(submit(daemon, "next").await, Err(Failure::StoreUnavailable));
        }
        platform.set_faults(PlatformFaults::default());
        for daemon in &daemons {
            until(async || submit(daemon, "after").await.ok()).await;
        }
    });
}
