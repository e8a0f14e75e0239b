//! A leader that a test drives event by event, with executors that respond as the test says.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::fixtures::{config, cores, queue};
use borageswitch_scheduler::{
    config::Config,
    effect::{Effect, PollOrder},
    event::{Event, Now, PollResponse, StartResponse},
    executor::{ActiveRun, EndKind, EndedRun, Registration, Report},
    fleet::{HostEntry, HostState, WaveRequest},
    job::{JobSpec, Step, Submission},
    ledger::Ledger,
    reducer::{Limits, Scheduler},
    task::TaskKey,
};
use borageswitch_types::{
    Time,
    names::{CallerName, DataCentreName, ExecutorName, HostName, JobName},
    time::UnixMillis,
};

/// A leader, with executors that respond as the test says. `now` is in milliseconds.
pub struct Session {
    pub scheduler: Scheduler,
    pub now: u64,
    /// When the last list of hosts was requested.
    list_requested: Time,
}

/// The registration of an executor of the pool with eight cores.
pub fn registration(name: &str) -> Registration {
    Registration {
        executor: ExecutorName::from(name),
        pool: queue().pool,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: DataCentreName::from("dc"),
        draining: false,
        remaining: None,
        capacity: cores(8),
        labels: vec!["a".into(), "r1".into()],
    }
}

/// A step whose tasks need one core each.
pub fn step(count: u32) -> Step {
    let estimate = Duration::from_millis(500);
    Step { count, size: cores(1), estimate, ..Step::default() }
}

/// A task of the first step of a job.
pub fn key(job: &str, index: u32) -> TaskKey {
    TaskKey { job: JobName::from(job), occurrence: 0, step: 0, index }
}

/// The first run of a task, active at 100 percent.
pub fn active(task: &TaskKey) -> ActiveRun {
    ActiveRun { task: task.clone(), run: 1, checkpoint: None, percent: 100, recent: 0 }
}

/// The first run of a task, completed.
pub fn done(number: u64, task: &TaskKey) -> EndedRun {
    EndedRun { number, task: task.clone(), run: 1, how: EndKind::Done, checkpoint: None }
}

/// The acknowledgements in the polls among the effects.
pub fn acknowledgements(effects: &[Effect]) -> Vec<u64> {
    let polls = effects.iter().filter_map(|effect| match effect {
        Effect::Poll(_, order) => Some(order.acknowledged),
        _ => None,
    });
    polls.collect()
}

/// A step of lasting tasks that may not share a host, of which one may be unavailable.
pub fn lasting(count: u32) -> Step {
    Step { lasting: true, max_per_host: Some(1), max_unavailable: Some(1), ..step(count) }
}

/// A host of the pool that is up, as the platform lists it.
pub fn host(name: &str, executor: &str) -> HostEntry {
    HostEntry {
        host: HostName::from(name),
        pool: queue().pool,
        state: HostState::Up,
        labels: vec!["a".into(), "r1".into()],
        capacity: cores(8),
        executor: Some(ExecutorName::from(executor)),
    }
}

/// A request for a maintenance wave over some hosts.
pub fn wave_over(hosts: &[&str], max_down: u32) -> Event {
    Event::WaveRequested(WaveRequest {
        wave: 1,
        hosts: hosts.iter().map(|host| HostName::from(*host)).collect(),
        allowed: Duration::from_secs(20),
        max_down,
    })
}

/// The number of stop orders among the effects.
pub fn stop_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Stop(..))).count()
}

impl Session {
    pub fn new(executors: &[&str]) -> Self {
        Self::with_ledger(executors, Ledger::default())
    }

    pub fn with_ledger(executors: &[&str], ledger: Ledger) -> Self {
        Self::with_config(executors, ledger, config(true))
    }

    pub fn with_config(executors: &[&str], ledger: Ledger, config: Arc<Config>) -> Self {
        let mut session = Self::before_reports(executors, ledger, config, Limits::default());
        for name in executors {
            session.report(name, &[], &[], 0);
        }
        session
    }

    /// A leader whose appends have at most this many records.
    pub fn with_records_per_append(executors: &[&str], records_per_append: usize) -> Self {
        let limits = Limits { records_per_append, ..Limits::default() };
        let mut session = Self::before_reports(executors, Ledger::default(), config(true), limits);
        for name in executors {
            session.report(name, &[], &[], 0);
        }
        session
    }

    /// A leader that has just taken over; its executors have not reported yet.
    pub fn without_reports(executors: &[&str], ledger: Ledger) -> Self {
        Self::before_reports(executors, ledger, config(true), Limits::default())
    }

    fn before_reports(
        executors: &[&str],
        ledger: Ledger,
        config: Arc<Config>,
        limits: Limits,
    ) -> Self {
        let now = Now { time: Time::from_millis(10_000), wall: UnixMillis(1_000_000) };
        let registrations = executors.iter().map(|name| registration(name)).collect();
        let scheduler = Scheduler::recover(limits, now, ledger, 1, config, registrations);
        let mut session = Self { scheduler, now: 10_000, list_requested: Time::ZERO };
        // A leader that inherits orders for hosts starts with an append.
        for effect in session.settle() {
            if let Effect::Append { append, .. } = effect {
                session.handle(Event::Appended { append });
            }
        }
        session
    }

    pub fn moment(&self) -> Now {
        Now { time: Time::from_millis(self.now), wall: UnixMillis(990_000 + self.now) }
    }

    pub fn handle(&mut self, event: Event) {
        let moment = self.moment();
        self.scheduler.handle(moment, event);
    }

    /// Responds to the last request for a list of hosts.
    pub fn list_hosts(&mut self, hosts: Vec<HostEntry>) {
        let requested = self.list_requested;
        self.handle(Event::HostsListed { requested, hosts: Some(hosts) });
    }

    /// The effects of a decision, with the log lines.
    pub fn settle_with_log(&mut self) -> Vec<Effect> {
        let moment = self.moment();
        let effects = self.scheduler.settle(moment);
        for effect in &effects {
            if let Effect::ListHosts { requested } = effect {
                self.list_requested = *requested;
            }
        }
        effects
    }

    pub fn settle(&mut self) -> Vec<Effect> {
        let effects = self.settle_with_log();
        effects.into_iter().filter(|effect| !matches!(effect, Effect::Log(_))).collect()
    }

    pub fn advance(&mut self, millis: u64) -> Vec<Effect> {
        self.now += millis;
        self.settle()
    }

    pub fn submit(&mut self, job: &str, steps: Vec<Step>) {
        self.submit_for(None, job, steps);
    }

    /// Submits a job of a caller with a key.
    pub fn submit_as(&mut self, caller: &str, job: &str, steps: Vec<Step>) {
        self.submit_for(Some(CallerName::from(caller)), job, steps);
    }

    fn submit_for(&mut self, caller: Option<CallerName>, job: &str, steps: Vec<Step>) {
        let submission = Submission {
            job: JobName::from(job),
            queue: queue(),
            accepted: UnixMillis(990_000 + self.now),
            spec: JobSpec { payload: "text".into(), steps, schedule: None },
            caller,
        };
        self.handle(Event::Submitted(Arc::new(submission)));
    }

    /// Responds to a poll that carried this acknowledgement with a report.
    pub fn report(&mut self, executor: &str, active: &[ActiveRun], ended: &[EndedRun], ack: u64) {
        self.poll_answered(executor, PollResponse::Report(self.report_of(active, ended)), ack);
    }

    /// As [`Self::report`], with a list of ended runs that may continue.
    pub fn report_partly(
        &mut self,
        executor: &str,
        active: &[ActiveRun],
        ended: &[EndedRun],
        ack: u64,
    ) {
        let report = Report { more_ended: true, ..self.report_of(active, ended) };
        self.poll_answered(executor, PollResponse::Report(report), ack);
    }

    fn report_of(&self, active: &[ActiveRun], ended: &[EndedRun]) -> Report {
        let (active, ended) = (active.to_vec(), ended.to_vec());
        Report { clock_ms: self.now, active, ended, more_ended: false }
    }

    /// Responds to any poll that may be in progress, with or without a wait.
    pub fn poll_answered(&mut self, executor: &str, response: PollResponse, ack: u64) {
        let sent = Time::from_millis(self.now - 2);
        let executor = ExecutorName::from(executor);
        for wait in [Duration::ZERO, Duration::from_secs(1)] {
            let order = PollOrder { until_ms: None, acknowledged: ack, wait };
            let (executor, response) = (executor.clone(), response.clone());
            self.handle(Event::Polled { executor, sent, order, response });
        }
    }

    /// Stores pending appends, then starts the ordered runs and returns them.
    pub fn store_and_start(&mut self) -> Vec<(ExecutorName, TaskKey)> {
        let mut started = Vec::new();
        for effect in self.advance(50) {
            if let Effect::Append { append, .. } = effect {
                self.handle(Event::Appended { append });
            }
        }
        for effect in self.settle() {
            if let Effect::Start(to, order) = effect {
                started.push((to.executor.clone(), order.task.clone()));
                self.handle(Event::StartAnswered {
                    executor: to.executor,
                    task: order.task,
                    run: order.run,
                    sent: Time::from_millis(self.now),
                    clock_ms: Some(self.now),
                    response: StartResponse::Started,
                });
            }
        }
        started
    }
}
