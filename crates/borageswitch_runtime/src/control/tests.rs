use std::{collections::BTreeSet, time::Duration};

use borageswitch_scheduler::{
    config::{Pool, Queue},
    event::Event,
    job::{JobSpec, Step, Submission},
    ledger::Ledger,
    policy::{
        admission::{AdmissionQuery, Decision, RefusalReason},
        manual_limits::LimitSubject,
    },
};
use borageswitch_types::{
    Time,
    names::{CallerName, JobName, PoolName, QueueName},
    time::UnixMillis,
};

use super::*;
use crate::ports::LeaseId;

fn queue() -> Queue {
    Queue {
        name: QueueName::from("runs"),
        authority: "site.example".into(),
        prefix: "/runs/".into(),
        pool: PoolName::from("payroll"),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        advisor: None,
    }
}

fn config() -> Arc<Config> {
    let pool = Pool { name: queue().pool, enforces_capacity: true, standby: false };
    Arc::new(Config::new(1, [queue()], [pool]))
}

fn leading() -> (Control, Receiver<PendingEffect>) {
    let (_, messages) = async_channel::unbounded();
    let (effects_tx, effects_rx) = async_channel::unbounded();
    let meter = opentelemetry::global::meter("borageswitch");
    let instruments = Arc::new(Instruments::new(&meter));
    let mut control = Control::new(Limits::default(), messages, effects_tx, instruments);
    control.handle_message(Message::Configured(config()));
    let (ended, _) = async_channel::bounded(1);
    let recovered = RecoveredState {
        ledger: Ledger::default(),
        next_append: 1,
        cancelled: Vec::new(),
        stale: Vec::new(),
        manual_limits: Vec::new(),
        snapshot_revision: 0,
        appends: BTreeSet::new(),
        intake_revision: 1,
    };
    let term = Term { token: 7, lease: LeaseId(1) };
    control.begin_term(term, recovered, Vec::new(), ended);
    (control, effects_rx)
}

fn submission(job: &str) -> Arc<Submission> {
    let steps = vec![Step { count: 1, ..Step::default() }];
    Arc::new(Submission {
        job: JobName::from(job),
        queue: queue(),
        accepted: UnixMillis(1),
        spec: JobSpec { payload: "text".into(), steps, schedule: None },
        caller: None,
    })
}

fn mark(queue: &str, caller: Option<&str>) -> CancelMark {
    CancelMark { queue: Some(QueueName::from(queue)), caller: caller.map(CallerName::from) }
}

fn cancel(job: &str, caller: Option<&str>) -> PeerRequest {
    let (queue, job) = (queue().name, JobName::from(job));
    PeerRequest::Cancel { queue, job, caller: caller.map(CallerName::from) }
}

/// Whether a job runs, or will, that a caller submits.
fn is_open_after_submission(control: &mut Control, job: &str, caller: Option<&str>) -> bool {
    let caller = caller.map(CallerName::from);
    let submission = Submission { caller, ..Submission::clone(&submission(job)) };
    ask(control, PeerRequest::JobStored(Arc::new(submission)));
    let leading = control.leading.as_ref().unwrap();
    leading.scheduler.ledger().jobs.contains_key(&JobName::from(job))
}

/// Guards against a job that was cancelled while its submission was on its way to the store, and
/// that the leader learns of before the stored cancellation.
#[test]
fn a_job_that_is_stored_after_its_cancellation_does_not_run() {
    let (mut control, _effects_rx) = leading();

    let response = ask(&mut control, cancel("j", None));

    assert_eq!(response, PeerResponse::Status(None));
    assert!(!is_open_after_submission(&mut control, "j", None));
    assert!(is_open_after_submission(&mut control, "other", None));
}

/// Guards against a caller that cancels the jobs of others in advance, or of another queue.
#[test]
fn a_stored_cancellation_applies_to_its_own_caller_and_queue() {
    let (mut control, _effects_rx) = leading();
    ask(&mut control, cancel("foreign", Some("nosipho")));
    let (job, mark) = (JobName::from("elsewhere"), mark("reports", None));
    control.handle_message(Message::CancelStored { token: 7, job, mark });

    assert!(is_open_after_submission(&mut control, "foreign", Some("thabo")));
    assert!(is_open_after_submission(&mut control, "elsewhere", None));
}

/// Guards against cancellations of arbitrary ids that fill the store or the memory.
#[test]
fn cancellations_of_unknown_jobs_are_bounded() {
    let (mut control, _effects_rx) = leading();
    let responses = (0..3_000).map(|number| ask(&mut control, cancel(&format!("j{number}"), None)));

    let refused = responses.filter(|response| *response == PeerResponse::Refused).count();

    assert_eq!(refused, 1_000);
}

/// Guards against a cancellation that stays stored for ever as its job never comes, and against one
/// that goes while its job may still come.
#[test]
fn an_unused_cancellation_is_removed_after_its_retention() {
    let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
    let stored = vec![(JobName::from("j"), mark("runs", None))];
    let mut cancels = cancels::StoredCancels::new(stored, at(0));
    let job = vec![JobName::from("j")];
    let append = Effect::Append {
        append: 1,
        at: UnixMillis(1),
        term: 1,
        records: Vec::new(),
        forget: job.clone(),
    };

    assert!(cancels.expire(at(149)).is_empty());
    assert_eq!(cancels.expire(at(150)), job);
    assert!(cancels.expire(at(151)).is_empty());

    assert_eq!(cancels.take_obsolete(&append), job);
    assert!(cancels.applies_to(&submission("j")));
    cancels.expire(at(161));
    assert!(!cancels.applies_to(&submission("j")));
}

#[test]
fn marks_of_earlier_versions_apply_to_every_caller() {
    let stored = mark("runs", Some("nosipho"));

    assert_eq!(CancelMark::decode(&stored.encode()), stored);
    assert!(CancelMark::decode(&[1]).applies_to(&submission("j")));
}

#[test]
fn a_cancellation_that_is_read_before_its_job_takes_effect() {
    // Guards against running a job although its caller was notified that it is cancelled. After a
    // watch was cut everything is read again, cancellations before jobs.
    let (mut control, effects_rx) = leading();
    let (job, mark) = (JobName::from("j"), mark("runs", None));
    control.handle_message(Message::CancelStored { token: 7, job, mark });

    control.handle_message(Message::Event { token: 7, event: Event::Submitted(submission("j")) });
    control.decide();

    let effects: Vec<PendingEffect> = std::iter::from_fn(|| effects_rx.try_recv().ok()).collect();
    let append = effects.iter().find_map(|pending| match &pending.effect {
        Effect::Append { forget, .. } => Some((forget.clone(), pending.cancels.clone())),
        _ => None,
    });
    let job = vec![JobName::from("j")];
    assert_eq!(append, Some((job.clone(), job)));
}

#[test]
fn a_cancellation_whose_removal_is_refused_is_removed_later() {
    // Guards against a stored cancellation that cancels a later job of the same name.
    let stored = vec![(JobName::from("j"), mark("runs", None))];
    let mut cancels = cancels::StoredCancels::new(stored, Time::ZERO);
    let job = vec![JobName::from("j")];
    let append = Effect::Append {
        append: 1,
        at: UnixMillis(1),
        term: 1,
        records: Vec::new(),
        forget: job.clone(),
    };

    let first = cancels.take_obsolete(&append);
    cancels.keep_last();
    let second = cancels.take_obsolete(&append);

    assert_eq!((first, second), (job.clone(), job));
}

#[test]
fn events_of_an_earlier_term_change_nothing() {
    // The response to an order of an earlier term arrives after the daemon has become the leader
    // again.
    let (mut control, effects_rx) = leading();

    control.handle_message(Message::Event { token: 6, event: Event::Submitted(submission("j")) });
    control.decide();

    let effects: Vec<PendingEffect> = std::iter::from_fn(|| effects_rx.try_recv().ok()).collect();
    assert!(!effects.iter().any(|w| matches!(w.effect, Effect::Append { .. })), "{effects:?}");
    assert!(control.leading.is_some_and(|leading| leading.scheduler.ledger().jobs.is_empty()));
}

fn ask(control: &mut Control, request: PeerRequest) -> PeerResponse {
    let (response, received) = async_channel::bounded(1);
    control.handle_message(Message::Request { request, response });
    received.try_recv().unwrap()
}

fn admission(job: &str) -> PeerRequest {
    PeerRequest::Admission(AdmissionQuery {
        job: JobName::from(job),
        queue: queue().name,
        caller: None,
        chain: Duration::from_millis(100),
        core_seconds: 1.0,
        patience: None,
    })
}

#[test]
fn a_job_that_the_leader_knows_is_admitted_whatever_limits_there_are() {
    // The response to the first attempt was lost. On a refusal the caller would give up a job that
    // runs, or has ended.
    let (mut control, _effects_rx) = leading();
    let subject = LimitSubject::Queue(queue().name);
    let limits = BTreeSet::from([subject.clone()]);
    ask(&mut control, PeerRequest::JobStored(submission("known")));
    control.handle_message(Message::ManualLimits {
        token: 7,
        change: LimitChange::Set(subject.clone(), 0.0),
    });

    let known = ask(&mut control, admission("known"));
    let new = ask(&mut control, admission("new"));

    let with_limits = |decision| {
        let response = Box::new(PeerResponse::Admission(decision));
        PeerResponse::WithManualLimits(response, Arc::new(limits.clone()))
    };
    let reason = RefusalReason::ManualLimit;
    assert_eq!(known, with_limits(Decision::Admit));
    assert_eq!(new, with_limits(Decision::Refuse { retry_after: None, reason }));
    // The limit is lifted while no watch reports it, and shows when all are listed again.
    control.handle_message(Message::ManualLimits {
        token: 7,
        change: LimitChange::Listed(Vec::new()),
    });
    assert_eq!(ask(&mut control, admission("new")), PeerResponse::Admission(Decision::Admit));
}
