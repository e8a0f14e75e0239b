//! Executors that keep to tokens and leases.

use std::collections::BTreeMap;

use borageswitch_scheduler::{
    effect::{LookOrder, StartOrder},
    event::{LookAnswer, OrderAnswer, StartAnswer},
    executor::{ActiveRun, EndKind, EndedRun, Report},
    job::Size,
    task::TaskKey,
};
use borageswitch_types::names::PoolName;

#[derive(Debug)]
struct Run {
    run: u32,
    ends_ms: u64,
}

/// An executor in memory.
#[derive(Debug)]
pub(super) struct MemoryExecutor {
    pub(super) pool: PoolName,
    pub(super) capacity: Size,
    active: BTreeMap<TaskKey, Run>,
    ended: Vec<EndedRun>,
    barred: BTreeMap<TaskKey, u32>,
    token: u64,
    lease_ms: u64,
    ends: u64,
}

impl MemoryExecutor {
    pub(super) fn new(pool: PoolName, capacity: Size) -> Self {
        Self {
            pool,
            capacity,
            active: BTreeMap::new(),
            ended: Vec::new(),
            barred: BTreeMap::new(),
            token: 0,
            lease_ms: 0,
            ends: 0,
        }
    }

    /// Carries a start out. Gives whether a run has begun.
    pub(super) fn start(
        &mut self,
        clock_ms: u64,
        token: u64,
        order: &StartOrder,
        task_time: u64,
    ) -> (StartAnswer, bool) {
        self.advance(clock_ms);
        if token < self.token {
            return (StartAnswer::Fenced, false);
        }
        self.token = token;
        self.lease_ms = self.lease_ms.max(order.until_ms);
        if self.active.get(&order.task).is_some_and(|run| run.run == order.run) {
            return (StartAnswer::Started, false);
        }
        if self.barred.get(&order.task).is_some_and(|barred| order.run <= *barred) {
            return (StartAnswer::Outdated, false);
        }
        let run = Run { run: order.run, ends_ms: clock_ms + task_time };
        self.active.insert(order.task.clone(), run);
        (StartAnswer::Started, true)
    }

    pub(super) fn stop(
        &mut self,
        clock_ms: u64,
        token: u64,
        task: &TaskKey,
        run: u32,
    ) -> OrderAnswer {
        self.advance(clock_ms);
        if token < self.token {
            return OrderAnswer::Fenced;
        }
        self.token = token;
        self.bar(task, run);
        if self.active.get(task).is_some_and(|active| active.run <= run) {
            self.end(task, EndKind::Stopped);
        }
        OrderAnswer::Done
    }

    pub(super) fn look(&mut self, clock_ms: u64, token: u64, order: &LookOrder) -> LookAnswer {
        self.advance(clock_ms);
        if token < self.token {
            return LookAnswer::Fenced;
        }
        self.token = token;
        self.lease_ms = self.lease_ms.max(order.until_ms.unwrap_or(0));
        self.ended.retain(|ended| ended.number > order.acknowledged);
        let active = self.active.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: None,
            percent: 100,
            recent: 0,
        });
        let active = active.collect();
        LookAnswer::Report(Report { clock_ms, active, ended: self.ended.clone() })
    }

    fn advance(&mut self, clock_ms: u64) {
        let lapsed = clock_ms >= self.lease_ms;
        let due = self.active.iter().filter(|(_, run)| lapsed || run.ends_ms <= clock_ms);
        let due: Vec<TaskKey> = due.map(|(task, _)| task.clone()).collect();
        for task in due {
            self.end(&task, if lapsed { EndKind::Lapsed } else { EndKind::Done });
        }
    }

    fn end(&mut self, task: &TaskKey, how: EndKind) {
        let Some(run) = self.active.remove(task) else { return };
        self.ends += 1;
        self.bar(task, run.run);
        let (number, run) = (self.ends, run.run);
        self.ended.push(EndedRun { number, task: task.clone(), run, how, checkpoint: None });
    }

    fn bar(&mut self, task: &TaskKey, run: u32) {
        let highest = self.barred.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }
}
