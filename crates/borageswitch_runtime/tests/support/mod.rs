//! Daemons on an in-memory platform, to which jobs are submitted.

#![allow(unreachable_pub, dead_code, reason = "each test program uses a part")]

use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::platform::{
    MemoryPlatform,
    example::{self, cores},
};
use borageswitch_runtime::{
    admission::Call,
    daemon::{self, DaemonConfig, Shared},
    failures::{Failure, RequestResult},
    intake,
};
use borageswitch_scheduler::{
    config::Queue,
    job::{JobSpec, Step, Submission},
    reducer::Limits,
};
use borageswitch_types::{names::JobName, time::UnixMillis};
use smol::{Executor, Timer};

/// A timeout far above what anything here takes on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(60);
pub fn queue() -> Queue {
    example::queue("runs", "/runs/", "payroll")
}

pub fn job_spec() -> JobSpec {
    let step =
        Step { count: 4, size: cores(2), estimate: Duration::from_millis(500), ..Step::default() };
    let second = Step { after: vec![0], count: 1, ..step.clone() };
    JobSpec { payload: "text".into(), steps: vec![step, second], schedule: None }
}

pub type Daemon = Arc<Shared<MemoryPlatform>>;

pub fn start(name: &str, platform: &MemoryPlatform, ex: &Arc<Executor<'static>>) -> Daemon {
    let cfg = DaemonConfig {
        name: name.into(),
        peer_address: ([127, 0, 0, 1], 0).into(),
        weight: 1.0,
        limits: Limits::default(),
        config_watch_timeout: Duration::from_millis(1_500),
        keys_hold: None,
        meter: opentelemetry::global::meter("borageswitch"),
    };
    daemon::start(cfg, platform.clone(), ex.clone()).unwrap()
}

pub fn stored_job(job: &str) -> Submission {
    Submission {
        job: JobName::from(job),
        queue: queue(),
        accepted: UnixMillis(1),
        spec: job_spec(),
        caller: None,
    }
}

pub async fn submit(daemon: &Daemon, job: &str, spec: JobSpec) -> RequestResult<()> {
    let queue = queue();
    let call = Call::without_key(&queue).with_patience(Some(Duration::from_secs(2)));
    intake::submit(daemon, call, &JobName::from(job), spec).await
}

/// Submits jobs with ids that begin with `prefix` until the result of one is as wanted.
pub async fn submit_until<F>(daemon: &Daemon, prefix: &str, wanted: F) -> (String, Option<Failure>)
where
    F: Fn(&RequestResult<()>) -> bool,
{
    let end = Instant::now() + TIMEOUT;
    for number in 0.. {
        let job = format!("{prefix}{number}");
        let result = submit(daemon, &job, job_spec()).await;
        if wanted(&result) {
            return (job, result.err());
        }
        assert!(Instant::now() < end, "{result:?}");
        Timer::after(Duration::from_millis(10)).await;
    }
    unreachable!("the loop does not end")
}

/// Repeats an attempt until it gives something.
pub async fn wait_for<F, T>(mut attempt: F) -> T
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

pub fn platform() -> MemoryPlatform {
    let platform = MemoryPlatform::new(Duration::from_millis(30));
    platform.configure(&example::config([queue()], [example::pool("payroll")]));
    platform
}

pub fn run<F, O>(test: F)
where
    F: FnOnce(Arc<Executor<'static>>) -> O,
    O: Future<Output = ()>,
{
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(test(ex.clone())));
}
