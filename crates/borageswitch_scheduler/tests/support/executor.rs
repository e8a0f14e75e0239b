//! An executor that keeps to the platform's promises.

use std::{collections::BTreeMap, sync::Arc};

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
    pub since: u64,
    pub ends: u64,
    pub fails: bool,
}

/// How a task behaves, as the world knows it.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    pub size: Size,
    pub lasting: bool,
    pub length: u64,
    pub fails: bool,
}

/// A simulated executor. Times are milliseconds of the world unless said otherwise.
#[derive(Clone, Debug)]
pub struct SimExecutor {
    pub capacity: Size,
    pub guards: bool,
    /// When it started.
    pub born: u64,
    /// Its clock showed so much at that moment, and is 2 % slow if `slow`.
    pub clock_ahead: u64,
    pub slow: bool,
    pub active: BTreeMap<TaskKey, SimRun>,
    pub ended: Vec<EndedRun>,
    /// For each task the highest run that was stopped or has ended here.
    pub barred: BTreeMap<TaskKey, u32>,
    pub token: u64,
    pub lease_ms: u64,
    pub numbers: u64,
    pub acknowledged: u64,
    pub done: Vec<TaskKey>,
}

impl SimExecutor {
    pub fn new(capacity: Size, guards: bool, clock_ahead: u64, slow: bool) -> Self {
        Self {
            capacity,
            guards,
            born: 0,
            clock_ahead,
            slow,
            active: BTreeMap::new(),
            ended: Vec::new(),
            barred: BTreeMap::new(),
            token: 0,
            lease_ms: 0,
            numbers: 0,
            acknowledged: 0,
            done: Vec::new(),
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        let elapsed = now - self.born;
        let elapsed = if self.slow { elapsed - elapsed / 50 } else { elapsed };
        self.clock_ahead + elapsed
    }

    /// Ends what is due: work that is done, and everything once the lease has ended.
    pub fn advance(&mut self, now: u64) {
        if self.clock(now) >= self.lease_ms {
            for task in self.active.keys().cloned().collect::<Vec<_>>() {
                self.end(&task, EndKind::LeaseExpired);
            }
        }
        let due: Vec<(TaskKey, bool)> = self
            .active
            .iter()
            .filter(|(_, run)| !run.lasting && run.ends <= now)
            .map(|(task, run)| (task.clone(), run.fails))
            .collect();
        for (task, fails) in due {
            self.end(&task, if fails { EndKind::Failed } else { EndKind::Done });
        }
    }

    fn end(&mut self, task: &TaskKey, how: EndKind) {
        let Some(run) = self.active.remove(task) else { return };
        self.numbers += 1;
        self.bar(task, run.run);
        self.ended.push(EndedRun {
            number: self.numbers,
            task: task.clone(),
            run: run.run,
            how,
            checkpoint: None,
        });
    }

    fn bar(&mut self, task: &TaskKey, run: u32) {
        let highest = self.barred.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }

    pub fn taken(&self) -> Size {
        let mut taken = Size::default();
        for run in self.active.values() {
            taken += run.size;
        }
        taken
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
        if self.barred.get(&order.task).is_some_and(|barred| order.run <= *barred) {
            return StartResponse::Outdated;
        }
        if self.guards && !self.capacity.less(&self.taken()).holds(&task.size) {
            return StartResponse::NoRoom;
        }
        let run = SimRun {
            run: order.run,
            size: task.size,
            lasting: task.lasting,
            since: now,
            ends: now + task.length,
            fails: task.fails,
        };
        self.active.insert(order.task.clone(), run);
        StartResponse::Started
    }

    pub fn stop(&mut self, now: u64, token: u64, task: &TaskKey, run: u32) -> OrderResponse {
        self.advance(now);
        if token < self.token {
            return OrderResponse::Fenced;
        }
        self.token = token;
        self.bar(task, run);
        if self.active.get(task).is_some_and(|active| active.run <= run) {
            self.end(task, EndKind::Stopped);
        }
        OrderResponse::Done
    }

    pub fn look(&mut self, now: u64, token: u64, order: &PollOrder) -> PollResponse {
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
            percent: if now - run.since >= 300 { 100 } else { 10 },
            recent: 0,
        });
        Report { clock_ms: self.clock(now), active: active.collect(), ended: self.ended.clone() }
    }
}
