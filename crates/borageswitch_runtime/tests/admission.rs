//! A daemon under the admission limits of a leader: what it refuses, and that no fault refuses.

mod support;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::platform::{FakeLeader, MemoryPlatform, PlatformFaults};
use borageswitch_runtime::{
    codec,
    failures::{Effective, Failure, RequestResult},
    keys::{self, LEADER},
};
use borageswitch_scheduler::policy::admission::{
    AdmissionLimits, Decision, LIMITS_VALID, QueueLimit, RefusalReason,
};
use borageswitch_types::names::JobName;
use smol::{Executor, Timer};
use support::{Daemon, job_spec, platform, queue, run, start, stored_job, submit, submit_until};

/// Far longer than a job of these tests is of use.
const WAIT: Duration = Duration::from_secs(60);
const REFUSAL: Decision = Decision::Refuse {
    retry_after: Some(Duration::from_millis(1_200)),
    reason: RefusalReason::NoUse,
};

struct Site {
    platform: MemoryPlatform,
    leader: FakeLeader,
    daemon: Daemon,
}

impl Site {
    /// A daemon whose leader has sent limits by which every job would wait for [`WAIT`].
    async fn with_limits(ex: &Arc<Executor<'static>>) -> Self {
        let platform = platform();
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
        submit(&self.daemon, job, job_spec()).await
    }

    /// Submits jobs with ids that begin with `prefix` until one is refused.
    async fn until_refused(&self, prefix: &str) -> (String, Failure) {
        let refused =
            |result: &RequestResult<()>| matches!(result, Err(Failure::Overloaded { .. }));
        let (job, failure) = submit_until(&self.daemon, prefix, refused).await;
        (job, failure.unwrap())
    }

    fn stores(&self, job: &str) -> bool {
        self.platform.get(&keys::job(&JobName::from(job))).is_some()
    }
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
        let stored = stored_job("a");
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

        // The time to return is the rule's own, and not that of the leader's last response.
        let Failure::Overloaded { reason, retry_after } = failure else { unreachable!() };
        assert_eq!(reason, RefusalReason::NoUse);
        assert_ne!(Decision::Refuse { reason, retry_after }, REFUSAL);
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

        let accepted = submit(&site.daemon, "a", spec).await;

        assert_eq!(accepted, Ok(()));
    });
}
