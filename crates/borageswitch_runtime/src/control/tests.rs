use std::time::Duration;

use borageswitch_scheduler::{
    config::{Pool, Queue},
    event::Event,
    job::{JobSpec, Step, Submission},
    ledger::Ledger,
};
use borageswitch_types::{
    names::{PoolName, QueueName},
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

fn leading() -> (Control, Receiver<Work>) {
    let (_, messages) = async_channel::unbounded();
    let (work_tx, work) = async_channel::unbounded();
    let meter = opentelemetry::global::meter("borageswitch");
    let instruments = Arc::new(Instruments::new(&meter));
    let mut control = Control::new(Limits::default(), messages, work_tx, instruments);
    control.take(Message::Configured(config()));
    let (ended, _) = async_channel::bounded(1);
    let inheritance = Inheritance {
        ledger: Ledger::default(),
        next_append: 1,
        cancelled: Vec::new(),
        stale: Vec::new(),
        intake_at: 1,
    };
    let term = Term { token: 7, lease: LeaseId(1) };
    control.begin(term, inheritance, Vec::new(), ended);
    (control, work)
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

#[test]
fn a_cancelling_that_is_read_before_its_job_is_not_forgotten() {
    // A watch was cut and everything is read anew, cancellings before jobs. Forgotten, the job
    // would run although its caller was told that it is cancelled.
    let (mut control, work) = leading();
    control.take(Message::CancelStored { token: 7, job: JobName::from("j") });

    control.take(Message::Event { token: 7, event: Event::Submitted(submission("j")) });
    control.settle();

    let effects: Vec<Work> = std::iter::from_fn(|| work.try_recv().ok()).collect();
    let append = effects.iter().find_map(|work| match &work.effect {
        Effect::Append { forget, .. } => Some((forget.clone(), work.cancels.clone())),
        _ => None,
    });
    let job = vec![JobName::from("j")];
    assert_eq!(append, Some((job.clone(), job)));
}

#[test]
fn events_of_an_earlier_term_change_nothing() {
    // An order of a term that is over is answered after the daemon has come to lead again.
    let (mut control, work) = leading();

    control.take(Message::Event { token: 6, event: Event::Submitted(submission("j")) });
    control.settle();

    let effects: Vec<Work> = std::iter::from_fn(|| work.try_recv().ok()).collect();
    assert!(!effects.iter().any(|w| matches!(w.effect, Effect::Append { .. })), "{effects:?}");
    assert!(control.leading.is_some_and(|leading| leading.scheduler.ledger().jobs.is_empty()));
}
