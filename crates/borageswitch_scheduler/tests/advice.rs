//! Steps that may run only on executors that an advisor permits.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use borageswitch_scheduler::{
    config::{AdvisorTimes, Queue},
    effect::{Effect, PollOrder},
    event::{Event, PollResponse, StartResponse},
    executor::{EndedRun, Report},
    job::Step,
    ledger::Ledger,
    task::StepKey,
};
use borageswitch_types::{
    Time,
    names::{ExecutorName, JobName},
};
use support::{
    fixtures::{config_with, cores, queue},
    session::{Session, active, done, key, lasting, step, stop_count},
};

/// The largest number of executors in one request to the advisor.
const MAX_CANDIDATES: usize = 100;

fn advised_queue() -> Queue {
    let advisor = AdvisorTimes {
        decision: Duration::from_millis(20),
        per_host: Duration::from_millis(1),
        validity: Duration::from_secs(2),
    };
    Queue { advisor: Some(advisor), ..queue() }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("e{number:02}")).collect()
}

fn session(executors: &[String]) -> Session {
    let executors: Vec<&str> = executors.iter().map(String::as_str).collect();
    Session::with_config(&executors, Ledger::default(), config_with(advised_queue(), true))
}

/// Runs the session for a second with an advisor that permits only the given executors. Returns the
/// executors and tickets of all starts.
fn run_with_advisor(
    session: &mut Session,
    allowed: &[&str],
) -> Vec<(ExecutorName, Option<Arc<str>>)> {
    let mut started = Vec::new();
    for _ in 0..20 {
        for effect in session.advance(50) {
            match effect {
                Effect::RequestAdvice { step, executors: candidates, .. } => {
                    assert!(candidates.len() <= MAX_CANDIDATES);
                    let permitted = candidates.iter().filter(|e| allowed.contains(&e.as_str()));
                    let permitted = permitted.map(|e| (e.clone(), Arc::from(format!("for {e}"))));
                    let permitted = Some(permitted.collect());
                    let sent = Time::from_millis(session.now);
                    session.handle(Event::AdviceReceived { step, sent, candidates, permitted });
                }
                Effect::Append { append, .. } => session.handle(Event::Appended { append }),
                Effect::Start(to, order) => started.push((to.executor, order.ticket)),
                _ => {}
            }
        }
    }
    started
}

#[test]
fn a_task_starts_only_where_it_is_permitted_and_carries_its_ticket() {
    let executors = names(3);
    let mut session = session(&executors);
    session.submit("j", vec![step(2)]);

    let started = run_with_advisor(&mut session, &["e01"]);

    let expected = (ExecutorName::from("e01"), Some(Arc::from("for e01")));
    assert_eq!(started, [expected.clone(), expected]);
}

/// A pool has more hosts than fit into one request. A step may have one task on a host, and its
/// first task uses the only permitted host of the first request. Without a request for the others
/// the second task would wait forever beside a permitted empty host.
#[test]
fn further_hosts_are_requested_when_the_permitted_ones_are_used_up() {
    let executors = names(45);
    let mut session = session(&executors);
    session.submit("j", vec![Step { max_per_host: Some(1), ..step(2) }]);

    let started = run_with_advisor(&mut session, &["e00", "e44"]);

    let at: BTreeMap<&str, usize> = started.iter().map(|(e, _)| (e.as_str(), 1)).collect();
    assert_eq!(at.len(), 2, "{started:?}");
}

/// Each member of a gang needs its own host, and the first request yields only one permitted host.
/// Without further requests the gang would never be placed.
#[test]
fn advice_is_requested_until_all_members_of_a_gang_have_a_host() {
    let executors = names(45);
    let mut session = session(&executors);
    let gang = Step { gang: true, max_per_host: Some(1), ..step(2) };
    session.submit("j", vec![gang]);

    let started = run_with_advisor(&mut session, &["e00", "e44"]);

    assert_eq!(started.len(), 2, "{started:?}");
}

/// All hosts are full of short tasks when a lasting task arrives that has no permission for any of
/// them yet. Evictions from a host where it may not run would repeatedly waste the work of other
/// callers without any benefit.
#[test]
fn nothing_is_evicted_from_hosts_where_a_lasting_task_may_not_run() {
    let executors = names(2);
    let mut session = session(&executors);
    session.submit("j", vec![Step { size: cores(8), ..step(2) }]);
    assert_eq!(run_with_advisor(&mut session, &["e00", "e01"]).len(), 2);
    for (index, executor) in executors.iter().enumerate() {
        session.report(executor, &[active(&key("j", index as u32))], &[], 0);
    }

    session.submit("l", vec![lasting(1)]);
    let mut effects = Vec::new();
    for _ in 0..5 {
        effects.extend(session.advance(50));
    }

    assert_eq!(stop_count(&effects), 0, "{effects:?}");
}

/// The time of one step of [`Burst`], in milliseconds.
const TICK_MS: u64 = 20;
/// How long an overload may outlast its cause, in milliseconds.
const RECOVERY_MS: u64 = 5_000;

/// A call that the advisor serves, or that waits for its turn.
struct Call {
    step: StepKey,
    executors: Vec<ExecutorName>,
    sent: u64,
    given_up: u64,
}

/// A leader whose jobs need advice, and an advisor that serves one call after the other. A call
/// that was given up is served like any other.
struct Burst {
    session: Session,
    times: AdvisorTimes,
    calls: VecDeque<Call>,
    /// When the first call is answered.
    answered_at: u64,
    /// Whether the advisor answers at all.
    answers: bool,
    most_calls: usize,
    answers_given_up: usize,
    submitted: u64,
    started: BTreeSet<JobName>,
    /// The runs of each executor; they are done at once.
    ended: BTreeMap<ExecutorName, Vec<EndedRun>>,
    permits: fn(&ExecutorName) -> bool,
}

impl Burst {
    fn new(times: AdvisorTimes) -> Self {
        let executors = names(12);
        let executors: Vec<&str> = executors.iter().map(String::as_str).collect();
        let queue = Queue { advisor: Some(times), ..queue() };
        let config = config_with(queue, true);
        Self {
            session: Session::with_config(&executors, Ledger::default(), config),
            times,
            calls: VecDeque::new(),
            answered_at: 0,
            answers: true,
            most_calls: 0,
            answers_given_up: 0,
            submitted: 0,
            started: BTreeSet::new(),
            ended: BTreeMap::new(),
            permits: |executor| executor.as_str().ends_with(['0', '2', '4', '6', '8']),
        }
    }

    /// The jobs that the advisor can serve in a second, if a call names `executors`.
    fn rate(&self, executors: u32) -> f64 {
        (self.times.decision + self.times.per_host * executors).as_secs_f64().recip()
    }

    /// Runs for some time while `rate` jobs arrive in a second.
    fn run(&mut self, millis: u64, rate: f64) {
        let mut due = 0.0;
        for _ in 0..millis / TICK_MS {
            due += rate * TICK_MS as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                let tiny = Step { size: cores(0), ..step(2) };
                self.session.submit(&format!("j{:04}", self.submitted), vec![tiny]);
                self.submitted += 1;
            }
            self.answer();
            let effects = self.session.advance(TICK_MS);
            effects.into_iter().for_each(|effect| self.carry_out(effect));
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let now = self.session.now;
        match effect {
            Effect::RequestAdvice { step, executors, timeout } => {
                if self.calls.is_empty() {
                    self.answered_at = now + self.call_millis(&executors);
                }
                let given_up = now + timeout.as_millis() as u64;
                self.calls.push_back(Call { step, executors, sent: now, given_up });
                self.most_calls = self.most_calls.max(self.calls.len());
            }
            Effect::Append { append, .. } => self.session.handle(Event::Appended { append }),
            Effect::Start(to, order) => {
                self.started.insert(order.task.job.clone());
                let ended = self.ended.entry(to.executor.clone()).or_default();
                ended
                    .push(EndedRun { run: order.run, ..done(ended.len() as u64 + 1, &order.task) });
                self.session.handle(Event::StartAnswered {
                    executor: to.executor,
                    task: order.task,
                    run: order.run,
                    sent: Time::from_millis(now),
                    clock_ms: Some(now),
                    response: StartResponse::Started,
                });
            }
            Effect::Poll(to, order) => self.report(to.executor, order),
            _ => {}
        }
    }

    fn report(&mut self, executor: ExecutorName, order: PollOrder) {
        let ended = self.ended.get(&executor).into_iter().flatten();
        let ended = ended.filter(|run| run.number > order.acknowledged).cloned().collect();
        let clock_ms = self.session.now;
        let report = Report { clock_ms, active: Vec::new(), ended, more_ended: false };
        let (sent, response) = (Time::from_millis(clock_ms), PollResponse::Report(report));
        self.session.handle(Event::Polled { executor, sent, order, response });
    }

    fn call_millis(&self, executors: &[ExecutorName]) -> u64 {
        (self.times.decision + self.times.per_host * executors.len() as u32).as_millis() as u64
    }

    fn answer(&mut self) {
        let now = self.session.now;
        let Some(call) = self.calls.front() else { return };
        let is_given_up = now >= call.given_up;
        if is_given_up || (self.answers && now >= self.answered_at) {
            let Some(Call { step, executors, sent, .. }) = self.calls.pop_front() else { return };
            self.answers_given_up += usize::from(is_given_up);
            let permitted = executors.iter().filter(|executor| (self.permits)(executor));
            let permitted = permitted.map(|executor| (executor.clone(), "ticket".into()));
            let permitted = (!is_given_up).then(|| permitted.collect());
            self.session.handle(Event::AdviceReceived {
                step,
                sent: Time::from_millis(sent),
                candidates: executors,
                permitted,
            });
            if let Some(next) = self.calls.front() {
                self.answered_at = now + self.call_millis(&next.executors);
            }
        }
    }

    fn waiting(&self) -> u64 {
        self.submitted - self.started.len() as u64
    }
}

fn advisor(decision_ms: u64, per_host_ms: u64, validity_ms: u64) -> AdvisorTimes {
    AdvisorTimes {
        decision: Duration::from_millis(decision_ms),
        per_host: Duration::from_millis(per_host_ms),
        validity: Duration::from_millis(validity_ms),
    }
}

/// Guards against an overload of the advisor that makes itself last: answers that come too late to
/// be used, whose calls are repeated.
#[test]
fn an_overload_of_the_advisor_ends_with_its_cause() {
    for times in [advisor(200, 50, 3_000), advisor(100, 20, 1_000), advisor(1_700, 0, 4_000)] {
        for factor in 1..=5_u32 {
            let mut burst = Burst::new(times);
            let rate = burst.rate(12);
            burst.run(8_000, rate * f64::from(factor));
            let backlog = burst.waiting();

            // Half of the advisor's time is left for the jobs that wait already.
            let drained_ms = (backlog as f64 / (rate * 0.5) * 1_000.0) as u64;
            burst.run(drained_ms + RECOVERY_MS, rate * 0.5);

            assert!(burst.waiting() <= 2, "{times:?} {factor}: {} wait", burst.waiting());
            assert_eq!((burst.most_calls, burst.answers_given_up), (1, 0), "{times:?} {factor}");
        }
    }
}

/// Guards against an answer that is given up before the advisor can have sent it.
#[test]
fn an_advisor_that_is_as_slow_as_it_says_is_waited_for() {
    let mut burst = Burst::new(advisor(3_500, 0, 8_000));
    burst.session.submit("j", vec![step(2)]);

    burst.run(4_500, 0.0);

    assert!(burst.started.contains(&JobName::from("j")));
}

/// Guards against waiting steps that are forgotten while the advisor does not answer, and against
/// calls that are repeated without a pause.
#[test]
fn jobs_start_after_an_outage_of_the_advisor() {
    let mut burst = Burst::new(advisor(200, 50, 3_000));
    burst.answers = false;
    burst.run(20_000, 1.0);
    assert!(burst.answers_given_up <= 8, "{} calls", burst.answers_given_up);

    burst.answers = true;
    let waiting = burst.waiting();
    burst.run(RECOVERY_MS + waiting * 1_000, 0.0);

    assert_eq!(burst.waiting(), 0);
}

/// Guards against a call whose job was cancelled letting another one wait behind it.
#[test]
fn the_call_of_a_cancelled_job_is_waited_for() {
    let mut burst = Burst::new(advisor(2_000, 0, 8_000));
    burst.session.submit("a", vec![step(1)]);
    burst.run(100, 0.0);
    burst.session.handle(Event::Cancelled(JobName::from("a")));
    burst.session.submit("b", vec![step(1)]);

    burst.run(1_500, 0.0);
    assert_eq!(burst.most_calls, 1);
    burst.run(3_000, 0.0);

    assert!(burst.started.contains(&JobName::from("b")));
}
