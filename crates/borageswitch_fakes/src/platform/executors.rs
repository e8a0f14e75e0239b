//! Executors that keep to tokens and leases, and remember every run.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use borageswitch_scheduler::{
    effect::{PollOrder, StartOrder},
    event::{OrderResponse, PollResponse, StartResponse},
    executor::{ActiveRun, EndKind, EndedRun, Report},
    task::TaskKey,
};
use borageswitch_types::names::ExecutorName;

/// A job whose text begins so has tasks that run until they are stopped.
pub const LASTING_TEXT: &str = "lasting";
/// A job whose text begins so has tasks that fail wherever they run.
pub const FAILING_TEXT: &str = "failing";
/// A job whose text begins so has tasks that crash each executor that starts them.
pub const CRASHING_TEXT: &str = "crashing";
/// The number of ended runs in one report.
const ENDED_PER_REPORT: usize = 500;
/// How long a lasting task takes until it is at work, in milliseconds.
const STARTUP_MS: u64 = 300;

/// One run of a task, as its executor saw it. Times are in milliseconds since the platform began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Where it ran.
    pub executor: ExecutorName,
    /// The task.
    pub task: TaskKey,
    /// Which of its runs.
    pub run: u32,
    /// The text that came with the start.
    pub text: Arc<str>,
    /// When it began.
    pub started_ms: u64,
    /// When it ended; how is nothing if its executor went away with it.
    pub ended: Option<(u64, Option<EndKind>)>,
    /// When its end was acknowledged.
    pub acknowledged_ms: Option<u64>,
}

#[derive(Debug)]
struct Run {
    run: u32,
    started_ms: u64,
    ends_ms: u64,
    how: EndKind,
    record: usize,
}

/// An executor in memory.
#[derive(Debug)]
pub(super) struct MemoryExecutor {
    name: ExecutorName,
    active: BTreeMap<TaskKey, Run>,
    ended: Vec<(EndedRun, usize)>,
    barred: BTreeMap<TaskKey, u32>,
    token: u64,
    lease_ms: u64,
    ends: u64,
}

impl MemoryExecutor {
    pub(super) fn new(name: ExecutorName) -> Self {
        Self {
            name,
            active: BTreeMap::new(),
            ended: Vec::new(),
            barred: BTreeMap::new(),
            token: 0,
            lease_ms: 0,
            ends: 0,
        }
    }

    /// Carries a start out; a run that begins is added to `records`.
    pub(super) fn start(
        &mut self,
        clock_ms: u64,
        token: u64,
        order: &StartOrder,
        task_time: Duration,
        records: &mut Vec<RunRecord>,
    ) -> StartResponse {
        self.advance(clock_ms, records);
        if token < self.token {
            return StartResponse::Fenced;
        }
        self.token = token;
        if order.until_ms <= clock_ms {
            return StartResponse::Late;
        }
        self.lease_ms = self.lease_ms.max(order.until_ms);
        if self.active.get(&order.task).is_some_and(|run| run.run == order.run) {
            return StartResponse::Started;
        }
        if self.barred.get(&order.task).is_some_and(|barred| order.run <= *barred) {
            return StartResponse::Outdated;
        }
        let lasting = order.payload.starts_with(LASTING_TEXT);
        let fails = order.payload.starts_with(FAILING_TEXT);
        let run = Run {
            run: order.run,
            started_ms: clock_ms,
            ends_ms: if lasting { u64::MAX } else { clock_ms + task_time.as_millis() as u64 },
            how: if fails { EndKind::Failed } else { EndKind::Done },
            record: records.len(),
        };
        records.push(RunRecord {
            executor: self.name.clone(),
            task: order.task.clone(),
            run: order.run,
            text: order.payload.clone(),
            started_ms: clock_ms,
            ended: None,
            acknowledged_ms: None,
        });
        self.active.insert(order.task.clone(), run);
        StartResponse::Started
    }

    pub(super) fn stop(
        &mut self,
        clock_ms: u64,
        token: u64,
        task: &TaskKey,
        run: u32,
        records: &mut [RunRecord],
    ) -> OrderResponse {
        self.advance(clock_ms, records);
        if token < self.token {
            return OrderResponse::Fenced;
        }
        self.token = token;
        self.bar(task, run);
        if self.active.get(task).is_some_and(|active| active.run <= run) {
            self.end(task, clock_ms, EndKind::Stopped, records);
        }
        OrderResponse::Done
    }

    pub(super) fn look(
        &mut self,
        clock_ms: u64,
        token: u64,
        order: &PollOrder,
        records: &mut [RunRecord],
    ) -> PollResponse {
        self.advance(clock_ms, records);
        if token < self.token {
            return PollResponse::Fenced;
        }
        self.token = token;
        self.lease_ms = self.lease_ms.max(order.until_ms.unwrap_or(0));
        for (_, record) in self.ended.iter().filter(|(e, _)| e.number <= order.acknowledged) {
            records[*record].acknowledged_ms.get_or_insert(clock_ms);
        }
        self.ended.retain(|(ended, _)| ended.number > order.acknowledged);
        let percent = |run: &Run| {
            let lasting = run.ends_ms == u64::MAX;
            if lasting && clock_ms < run.started_ms + STARTUP_MS { 0 } else { 100 }
        };
        let active = self.active.iter().map(|(task, run)| ActiveRun {
            task: task.clone(),
            run: run.run,
            checkpoint: None,
            percent: percent(run),
            recent: 0,
        });
        let active = active.collect();
        let ended = self.ended.iter().take(ENDED_PER_REPORT).map(|(ended, _)| ended.clone());
        let more_ended = self.ended.len() > ENDED_PER_REPORT;
        PollResponse::Report(Report { clock_ms, active, ended: ended.collect(), more_ended })
    }

    /// The executor's life is over, and with it all that it runs.
    pub(super) fn vanish(&mut self, clock_ms: u64, records: &mut [RunRecord]) {
        self.advance(clock_ms, records);
        for run in self.active.values() {
            records[run.record].ended = Some((clock_ms, None));
        }
        self.active.clear();
    }

    /// Ends what has come to its end by now.
    pub(super) fn advance(&mut self, clock_ms: u64, records: &mut [RunRecord]) {
        let lease_ms = self.lease_ms;
        let due = self.active.iter().filter(|(_, run)| run.ends_ms.min(lease_ms) <= clock_ms);
        let due: Vec<(TaskKey, u64, EndKind)> = due
            .map(|(task, run)| {
                let lapsed = lease_ms < run.ends_ms;
                let how = if lapsed { EndKind::LeaseExpired } else { run.how };
                (task.clone(), run.ends_ms.min(lease_ms), how)
            })
            .collect();
        for (task, at, how) in due {
            self.end(&task, at, how, records);
        }
    }

    fn end(&mut self, task: &TaskKey, at: u64, how: EndKind, records: &mut [RunRecord]) {
        let Some(run) = self.active.remove(task) else { return };
        self.ends += 1;
        self.bar(task, run.run);
        records[run.record].ended = Some((at, Some(how)));
        let ended =
            EndedRun { number: self.ends, task: task.clone(), run: run.run, how, checkpoint: None };
        self.ended.push((ended, run.record));
    }

    fn bar(&mut self, task: &TaskKey, run: u32) {
        let highest = self.barred.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
    }
}
