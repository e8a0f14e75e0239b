//! A simulated executor that keeps the guarantees of the platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use borageswitch_scheduler::{
    effect::{PollOrder, StartOrder},
    event::{OrderResponse, PollResponse, StartResponse},
    executor::{ActiveRun, EndKind, EndedRun, Report},
    job::Size,
    task::TaskKey,
};

/// A run on a simulated executor.
#[derive(Clone, Debug)]
pub struct SimRun {
    pub run: u32,
    pub size: Size,
    pub lasting: bool,
    pub begun_at: u64,
    pub ends: u64,
    pub fails: bool,
}

impl SimRun {
    /// How the run ends by itself.
    fn natural_end(&self) -> EndKind {
        match self.run % 4 {
            _ if self.fails => EndKind::Failed,
            1 if self.lasting => EndKind::Failed,
            2 if self.lasting => EndKind::GangBroken,
            _ => EndKind::Done,
        }
    }
}

/// How a task behaves when it runs.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub size: Size,
    pub lasting: bool,
    pub length: u64,
    pub fails: bool,
}

/// A simulated executor. Times are in milliseconds of the simulation unless stated otherwise.
#[derive(Clone, Debug)]
pub struct SimExecutor {
    pub capacity: Size,
    pub enforces_capacity: bool,
    pub started_at: u64,
    /// What its clock showed at the start. The clock runs 2 % slow if `slow_clock` is set.
    pub clock_offset: u64,
    pub slow_clock: bool,
    pub active: BTreeMap<TaskKey, SimRun>,
    pub ended: Vec<EndedRun>,
    /// The highest run of each task that was stopped or has ended on this executor.
    pub finished_runs: BTreeMap<TaskKey, u32>,
    pub token: u64,
    pub lease_ms: u64,
    pub last_end_number: u64,
    pub acknowledged: u64,
    /// Lasting runs end by themselves.
    pub ends_lasting: bool,
    /// All runs that start before this time fail.
    pub fails_until: u64,
    /// The runs that were started and fail, or have failed.
    failing_runs: BTreeSet<(TaskKey, u32)>,
    /// The number of ended runs in one report.
    pub ended_per_report: usize,
    pub done: Vec<TaskKey>,
    /// All runs that have ended failed here.
    pub failed_runs: BTreeSet<(TaskKey, u32)>,
    /// The last ended run when the lease last expired.
    lapsed_after: u64,
    /// Tasks that were started again after their run here was done, which is not acknowledged yet.
    repeated: BTreeSet<TaskKey>,
}

impl SimExecutor {
    pub fn new(
        capacity: Size,
        enforces_capacity: bool,
        clock_offset: u64,
        slow_clock: bool,
    ) -> Self {
        Self {
            capacity,
            enforces_capacity,
            started_at: 0,
            clock_offset,
            slow_clock,
            active: BTreeMap::new(),
            ended: Vec::new(),
            finished_runs: BTreeMap::new(),
            token: 0,
            lease_ms: 0,
            last_end_number: 0,
            acknowledged: 0,
            ends_lasting: false,
            fails_until: 0,
            failing_runs: BTreeSet::new(),
            ended_per_report: usize::MAX,
            done: Vec::new(),
            failed_runs: BTreeSet::new(),
            lapsed_after: 0,
            repeated: BTreeSet::new(),
        }
    }

    /// Records that a task starts, here or elsewhere.
    pub fn note_start(&mut self, task: &TaskKey) {
        let is_done = |ended: &EndedRun| {
            ended.task == *task && ended.how == EndKind::Done && ended.number > self.lapsed_after
        };
        if self.ended.iter().any(is_done) {
            self.repeated.insert(task.clone());
        }
    }

    /// Takes a task that was started again although its completed run here was acknowledged later.
    /// If the lease has expired after that run, the task had to be started again.
    pub fn take_repeated(&mut self) -> Option<TaskKey> {
        let task = self.repeated.iter().find(|task| self.done.contains(*task))?.clone();
        self.repeated.take(&task)
    }

    pub fn clock(&self, now: u64) -> u64 {
        let elapsed = now - self.started_at;
        let elapsed = if self.slow_clock { elapsed - elapsed / 50 } else { elapsed };
        self.clock_offset + elapsed
    }

    /// Ends runs that are complete, and all runs once the lease has expired.
    pub fn advance(&mut self, now: u64) {
        if self.clock(now) >= self.lease_ms {
            for task in self.active.keys().cloned().collect::<Vec<_>>() {
                self.end(&task, EndKind::LeaseExpired);
            }
            self.lapsed_after = self.last_end_number;
            self.repeated.clear();
        }
        let ends_lasting = self.ends_lasting;
        let due: Vec<(TaskKey, EndKind)> = self
            .active
            .iter()
            .filter(|(_, run)| (!run.lasting || ends_lasting || run.fails) && run.ends <= now)
            .map(|(task, run)| (task.clone(), run.natural_end()))
            .collect();
        for (task, how) in due {
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &TaskKey, how: EndKind) {
        let Some(run) = self.active.remove(task) else { return };
        self.last_end_number += 1;
        self.mark_finished(task, run.run);
        if how == EndKind::Failed {
            self.failed_runs.insert((task.clone(), run.run));
        }
        self.ended.push(EndedRun {
            number: self.last_end_number,
            task: task.clone(),
            run: run.run,
            how,
            checkpoint: None,
        });
    }

    /// The number of runs of a task that fail or have failed here.
    pub fn failing_runs(&self, task: &TaskKey) -> usize {
        self.failing_runs.iter().filter(|(failing, _)| failing == task).count()
    }

    fn mark_finished(&mut self, task: &TaskKey, run: u32) {
        let highest = self.finished_runs.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }

    /// The active runs, each with its age in milliseconds.
    pub fn run_ages(&self, now: u64) -> Vec<String> {
        let runs = self.active.iter();
        runs.map(|(task, run)| format!("{task} run {} {} ms", run.run, now - run.begun_at))
            .collect()
    }

    pub fn resources_in_use(&self) -> Size {
        let mut total = Size::default();
        for run in self.active.values() {
            total += run.size;
        }
        total
    }

    pub fn start(
        &mut self,
        now: u64,
        token: u64,
        order: &StartOrder,
        task: Behaviour,
    ) -> StartResponse {
        self.advance(now);
        if token < self.token {
            return StartResponse::Fenced;
        }
        self.token = token;
        if order.until_ms <= self.clock(now) {
            return StartResponse::Late;
        }
        self.lease_ms = self.lease_ms.max(order.until_ms);
        if self.active.get(&order.task).is_some_and(|run| run.run == order.run) {
            return StartResponse::Started;
        }
        if self
            .finished_runs
            .get(&order.task)
            .is_some_and(|finished_runs| order.run <= *finished_runs)
        {
            return StartResponse::Outdated;
        }
        if self.enforces_capacity && !self.capacity.less(&self.resources_in_use()).holds(&task.size)
        {
            return StartResponse::NoRoom;
        }
        let run = SimRun {
            run: order.run,
            size: task.size,
            lasting: task.lasting,
            begun_at: now,
            ends: now + task.length,
            fails: task.fails,
        };
        if run.fails {
            self.failing_runs.insert((order.task.clone(), run.run));
        }
        self.active.insert(order.task.clone(), run);
        StartResponse::Started
    }

    pub fn stop(&mut self, now: u64, token: u64, task: &TaskKey, run: u32) -> OrderResponse {
        self.advance(now);
        if token < self.token {
            return OrderResponse::Fenced;
        }
        self.token = token;
        self.mark_finished(task, run);
        if self.active.get(task).is_some_and(|active| active.run <= run) {
            self.end(task, EndKind::Stopped);
        }
        OrderResponse::Done
    }

    pub fn poll(&mut self, now: u64, token: u64, order: &PollOrder) -> PollResponse {
        self.advance(now);
        if token < self.token {
            return PollResponse::Fenced;
        }
        self.token = token;
        if let Some(until) = order.until_ms {
            self.lease_ms = self.lease_ms.max(until);
        }
        for ended in self.ended.iter().filter(|ended| ended.number <= order.acknowledged) {
            if ended.how == EndKind::Done {
                self.done.push(ended.task.clone());
            }
        }
        self.ended.retain(|ended| ended.number > order.acknowledged);
        self.acknowledged = self.acknowledged.max(order.acknowledged);
        PollResponse::Report(self.report(now))
    }

    fn report(&self, now: u64) -> Report {
        let active = self.active.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: None::<Arc<str>>,
            percent: if now - run.begun_at >= 300 { 100 } else { 10 },
            recent: 0,
        });
        Report {
            clock_ms: self.clock(now),
            active: active.collect(),
            ended: self.ended.iter().take(self.ended_per_report).cloned().collect(),
            more_ended: self.ended.len() > self.ended_per_report,
        }
    }
}
