//! A daemon under the admission limits of a leader: what it refuses, and that no fault refuses.

use std::{
    collections::BTreeMap,
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::platform::{
    FakeLeader, MemoryPlatform, PlatformFaults,
    example::{self, cores},
};
use borageswitch_runtime::{
    admission::Call,
    codec,
    daemon::{self, DaemonConfig, Shared},
    failures::{Effective, Failure, RequestResult},
    intake,
    keys::{self, LEADER, LeaderRecord},
    ports::{Platform, Transaction},
};
use borageswitch_scheduler::{
    config::Queue,
    job::{JobSpec, Step, Submission},
    policy::admission::{AdmissionLimits, Decision, LIMITS_VALID, QueueLimit, RefusalReason},
    reducer::Limits,
};
use borageswitch_types::{names::JobName, time::UnixMillis};
use smol::{Executor, Timer};

/// A timeout far above what anything here takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Far longer than a job of these tests is of use.
const WAIT: Duration = Duration::from_secs(60);
const REFUSAL: Decision = Decision::Refuse {
    retry_after: Some(Duration::from_millis(1_200)),
    reason: RefusalReason::NoUse,
};

fn queue() -> Queue {
    example::queue("runs", "/runs/", "payroll")
}

fn job_spec() -> JobSpec {
    let step =
        Step { count: 4, size: cores(2), estimate: Duration::from_millis(500), ..Step::default() };
    let second = Step { after: vec![0], count: 1, ..step.clone() };
    JobSpec { payload: "text".into(), steps: vec![step, second], schedule: None }
}

type Daemon = Arc<Shared<MemoryPlatform>>;

fn start(name: &str, platform: &MemoryPlatform, ex: &Arc<Executor<'static>>) -> Daemon {
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

struct Site {
    platform: MemoryPlatform,
    leader: FakeLeader,
    daemon: Daemon,
}

impl Site {
    /// A daemon whose leader has sent limits by which every job would wait for [`WAIT`].
    async fn with_limits(ex: &Arc<Executor<'static>>) -> Self {
        let platform = MemoryPlatform::new(Duration::from_millis(30));
        platform.configure(&example::config([queue()], [example::pool("payroll")]));
        let leader = FakeLeader::start(&platform, ex);
        let daemon = start("d1", &platform, ex);
        let site = Self { platform, leader, daemon };
        site.publish(
            1,
            QueueLimit { wait: WAIT, wait_beyond: WAIT, run_ratio: 1.0, ..QueueLimit::default() },
        );
        site.leader.answer(|answers| answers.decision = Some(REFUSAL));
        // The first jobs are stored without limits, and the response to one brings them.
        site.until_refused("00000000000000ff").await;
        site
    }

    fn publish(&self, sequence: u64, limit: QueueLimit) {
        let token = self.platform.get(LEADER).unwrap().revision;
        let queues = BTreeMap::from([(queue().name, limit)]);
        let limits = AdmissionLimits { token, sequence, valid: LIMITS_VALID, queues };
        self.leader.answer(|answers| answers.limits = Some(Arc::new(limits)));
    }

    async fn submit(&self, job: &str) -> RequestResult<()> {
        let queue = queue();
        let call = Call::without_key(&queue).with_patience(Some(Duration::from_secs(2)));
        intake::submit(&self.daemon, call, &JobName::from(job), job_spec()).await
    }

    /// Submits jobs with ids that begin with `prefix` until one is refused.
    async fn until_refused(&self, prefix: &str) -> (String, Failure) {
        let end = Instant::now() + TIMEOUT;
        for number in 0.. {
            let job = format!("{prefix}{number}");
            match self.submit(&job).await {
                Err(failure @ Failure::Overloaded { .. }) => return (job, failure),
                _ => assert!(Instant::now() < end, "nothing is refused"),
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        unreachable!("the loop does not end")
    }

    fn stores(&self, job: &str) -> bool {
        self.platform.get(&keys::job(&JobName::from(job))).is_some()
    }
}

fn run<F, O>(test: F)
where
    F: FnOnce(Arc<Executor<'static>>) -> O,
    O: Future<Output = ()>,
{
    let ex = Arc::new(Executor::new());
    smol::block_on(ex.run(test(ex.clone())));
}

#[test]
fn a_refused_job_is_not_stored_and_its_caller_told_when_to_return() {
    // Guards against a job that runs although its caller was told that it never does.
    run(async |ex| {
        let site = Site::with_limits(&ex).await;

        let (job, failure) = site.until_refused("a").await;

        let response = failure.error_response();
        assert_eq!((response.status, response.effective), (429, Effective::No));
        assert_eq!(response.retry_after, Some(Duration::from_millis(1_200)));
        assert!(!site.stores(&job));
        let query = site.leader.queries().pop().unwrap();
        assert_eq!((query.chain, query.core_seconds), (Duration::from_secs(1), 5.0));
        assert_eq!(query.patience, Some(Duration::from_secs(2)));
    });
}

#[test]
fn refusals_go_on_while_every_job_is_refused() {
    // A daemon that stores nothing receives no limits with stored jobs. Were they to expire, one
    // job a second and daemon would be stored that is of no use to anybody.
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        let end = Instant::now() + 3 * LIMITS_VALID;
        let mut last = Instant::now();

        for number in 0.. {
            let result = site.submit(&format!("a{number}")).await;
            // During a pause of the machine the limits may expire.
            let paused = last.elapsed() > LIMITS_VALID / 2;
            assert!(paused || result.is_err(), "job {number} was stored");
            last = Instant::now();
            if last >= end {
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn a_job_that_the_leader_admits_is_stored() {
    // The limits are a moment old, and the leader knows that the work ahead has ended by now.
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        site.leader.answer(|answers| answers.decision = Some(Decision::Admit));

        let accepted = site.submit("a").await;

        assert_eq!(accepted, Ok(()));
        assert!(site.stores("a"));
    });
}

#[test]
fn a_job_stored_by_an_earlier_attempt_is_accepted_and_not_refused() {
    // The response to the first attempt was lost. On a refusal the caller would give up a job that
    // runs.
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        let stored = Submission {
            job: JobName::from("a"),
            queue: queue(),
            accepted: UnixMillis(1),
            spec: job_spec(),
            caller: None,
        };
        site.platform.put(&keys::job(&stored.job), codec::encode(&stored));

        assert_eq!(site.submit("a").await, Ok(()));
    });
}

#[test]
fn a_job_that_cannot_be_looked_up_is_not_refused() {
    // The store gives no response, so an earlier attempt may have stored the job.
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        let store_hangs = Duration::from_secs(2);
        site.platform.set_faults(PlatformFaults { store_hangs, ..Default::default() });

        let failure = site.submit("a").await.unwrap_err();

        assert!(!matches!(failure, Failure::Overloaded { .. }), "{failure}");
    });
}

#[test]
fn a_daemon_without_a_response_of_the_leader_soon_admits_every_job() {
    // The leader is lost, or the daemon is cut off from it, while limits are in effect. Nobody knows
    // whether work still waits, and jobs that can be served would be refused.
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        site.leader.answer(|answers| answers.silent = true);
        let silent_since = Instant::now();

        // Within 500 ms of the last response the limits may still refuse.
        Timer::after(Duration::from_millis(500)).await;
        let accepted = site.submit("a").await;

        assert_eq!(accepted, Ok(()), "after {:?}", silent_since.elapsed());
        assert!(site.stores("a"));
    });
}

#[test]
fn the_limits_decide_for_a_moment_while_the_leader_does_not_respond() {
    // One lost response would otherwise store a job that is of no use.
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        site.leader.answer(|answers| answers.decision = None);

        // Each job that is stored brings the limits again.
        let (job, failure) = site.until_refused("a").await;

        let reason = RefusalReason::NoUse;
        assert_eq!(failure, Failure::Overloaded { reason, retry_after: None });
        assert!(!site.stores(&job));
    });
}

#[test]
fn malformed_limits_refuse_nothing() {
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        let limit = QueueLimit { wait: WAIT, run_ratio: f64::NAN, ..QueueLimit::default() };
        site.publish(2, limit);
        // The limits before are valid for a second.
        Timer::after(LIMITS_VALID).await;

        for job in ["a", "b", "c"] {
            assert_eq!(site.submit(job).await, Ok(()));
        }
    });
}

#[test]
fn lasting_jobs_are_admitted_whatever_the_limits() {
    run(async |ex| {
        let site = Site::with_limits(&ex).await;
        let mut spec = job_spec();
        spec.steps.iter_mut().for_each(|step| step.lasting = true);

        let queue = queue();
        let call = Call::without_key(&queue);
        let accepted = intake::submit(&site.daemon, call, &JobName::from("a"), spec).await;

        assert_eq!(accepted, Ok(()));
    });
}

/// Submits jobs until the result of one is as wanted.
async fn submit_until<F>(daemon: &Daemon, prefix: &str, wanted: F)
where
    F: Fn(&RequestResult<()>) -> bool,
{
    let end = Instant::now() + TIMEOUT;
    for number in 0.. {
        let job = JobName::from(format!("{prefix}{number}"));
        let result = intake::submit(daemon, Call::without_key(&queue()), &job, job_spec()).await;
        if wanted(&result) {
            return;
        }
        assert!(Instant::now() < end, "{result:?}");
        Timer::after(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_manual_limit_is_kept_by_all_daemons_and_the_next_leader_until_it_is_lifted() {
    // Guards against a limit that holds only where it was set, or is lost with the leader.
    run(async |ex| {
        let platform = MemoryPlatform::new(Duration::from_millis(30));
        platform.configure(&example::config([queue()], [example::pool("payroll")]));
        let first = start("d1", &platform, &ex);
        submit_until(&first, "a", Result::is_ok).await;
        let second = start("d2", &platform, &ex);
        submit_until(&second, "b", Result::is_ok).await;
        let refused = Failure::Overloaded { reason: RefusalReason::ManualLimit, retry_after: None };
        let is_refused = |result: &RequestResult<()>| *result == Err(refused.clone());

        platform.put("bs/in/l/q/runs", b"0".to_vec());

        submit_until(&first, "c", is_refused).await;
        submit_until(&second, "d", is_refused).await;
        first.begin_stop();
        let led = |daemon: &Daemon| {
            platform.get(LEADER).is_some_and(|item| {
                let record: LeaderRecord = codec::decode("leader", &item.value).unwrap();
                record.name == daemon.cfg.name
            })
        };
        let end = Instant::now() + TIMEOUT;
        while !led(&second) {
            assert!(Instant::now() < end, "the second daemon does not lead");
            Timer::after(Duration::from_millis(10)).await;
        }
        submit_until(&second, "e", is_refused).await;
        let tx = Transaction { remove: vec!["bs/in/l/q/runs".into()], ..Transaction::default() };
        platform.commit(&tx).await.unwrap();
        submit_until(&second, "f", Result::is_ok).await;
    });
}
