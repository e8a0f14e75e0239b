//! Executors that ended, and which of them crashed.
//!
//! An executor that leaves, or whose host the platform takes away on an order, says nothing about
//! what it ran. One that ends by itself may have been brought down by one of its tasks.

use std::{fmt, time::Duration};

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, PoolName},
};

use crate::{
    fleet::HostState,
    reducer::{
        Scheduler,
        executors::{Executor, Phase},
    },
    task::TaskKey,
};

/// The most runs that one line names.
const MOST_RUNS: usize = 50;

/// How it was learned that an executor has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Another life answered at its address.
    OtherLifeAnswered,
    /// Another life is registered at its address.
    OtherLifeRegistered,
    /// No host of the platform's list has it.
    Unlisted(HostFate),
    /// The platform has carried out an order for its host.
    HostTaken,
    /// It is registered no more and its lease has ended.
    Expired,
}

/// What has become of the host of an executor that has ended.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum HostFate {
    /// No earlier list told which host it was.
    #[display("unknown")]
    Unknown,
    /// It changes its pool or is maintained.
    #[display("{_0} ordered away")]
    Ordered(HostName),
    /// It is listed in this state.
    #[display("{_0} {_1}")]
    Stays(HostName, HostState),
    /// It is listed no more.
    #[display("{_0} removed")]
    Removed(HostName),
}

/// Why an executor has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Cause {
    /// By itself.
    #[display("crash")]
    Crash,
    /// It had said that it would leave.
    #[display("drain")]
    Drain,
    /// Its host was moved or maintained.
    #[display("order")]
    Order,
    /// Its host was taken out of the fleet.
    #[display("removal")]
    Removal,
}

/// A run that went with its executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How long it was there at most; nothing if an earlier leader started it.
    pub age: Option<Duration>,
}

/// An executor that has ended.
#[derive(Clone, Debug)]
pub struct EndedExecutor {
    executor: ExecutorName,
    pool: PoolName,
    ending: Ending,
    cause: Cause,
    /// It has answered until then.
    heard: Option<Time>,
    /// It has ended by then.
    ended_by: Time,
    runs: Vec<LostRun>,
}

impl EndedExecutor {
    /// An executor that is found to have ended.
    pub(super) fn new(known: &Executor, ending: Ending, now: Time) -> Self {
        let mut runs = known.lapsed.clone();
        runs.extend(lost_runs(known, now));
        Self {
            executor: known.registration.executor.clone(),
            pool: known.registration.pool.clone(),
            cause: cause(known, &ending),
            ending,
            heard: known.clock.map(|clock| clock.received),
            ended_by: ended_by(known, now),
            runs,
        }
    }

    /// How it was learned.
    pub(super) fn why(&self) -> &'static str {
        match self.ending {
            Ending::OtherLifeAnswered => "another life answered",
            Ending::OtherLifeRegistered => "another life is registered at its address",
            Ending::Unlisted(_) => "no host has it",
            Ending::HostTaken => "its host was taken away",
            Ending::Expired => "registration and lease ended",
        }
    }

    /// Whether it may have ended in the same moment as another one.
    fn coincides(&self, other: &Self) -> bool {
        let before = |a: &Self, b: &Self| a.heard.is_none_or(|heard| heard <= b.ended_by);
        before(self, other) && before(other, self)
    }
}

impl fmt::Display for EndedExecutor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "runs={} why={} cause={}", self.runs.len(), self.why(), self.cause)?;
        match &self.ending {
            Ending::Unlisted(fate) => write!(f, " host={fate}"),
            _ => Ok(()),
        }
    }
}

/// What an executor that has ended was running.
pub(super) fn lost_runs(known: &Executor, now: Time) -> Vec<LostRun> {
    let ended_by = ended_by(known, now);
    let started = known.runs.iter().filter(|(_, held)| held.phase != Phase::Recorded);
    let lost = started.map(|(task, held)| LostRun {
        task: task.clone(),
        run: held.run,
        age: held.ordered.map(|ordered| ended_by.since(ordered)),
    });
    lost.collect()
}

fn ended_by(known: &Executor, now: Time) -> Time {
    known.looking.silent_since.unwrap_or(now)
}

fn cause(known: &Executor, ending: &Ending) -> Cause {
    match ending {
        Ending::HostTaken | Ending::Unlisted(HostFate::Ordered(_)) => Cause::Order,
        _ if known.registration.draining => Cause::Drain,
        Ending::Unlisted(HostFate::Removed(_)) => Cause::Removal,
        _ => Cause::Crash,
    }
}

impl Scheduler {
    /// Tells of each executor that crashed what it ran, and how many others ended with it.
    pub(super) fn note_crashes(&mut self) {
        let ended = std::mem::take(&mut self.ended_executors);
        let crashed = |other: &&EndedExecutor| other.cause == Cause::Crash;
        for executor in ended.iter().filter(crashed) {
            let others = ended.iter().filter(crashed).filter(|other| executor.coincides(other));
            let others = others.count() - 1;
            self.log("executor-crashed", &executor.executor, || {
                format!("pool={} others={others} runs={}", executor.pool, list(&executor.runs))
            });
        }
    }
}

fn list(runs: &[LostRun]) -> String {
    let named = runs.iter().take(MOST_RUNS).map(|lost| {
        let age = lost.age.map_or("?".to_owned(), |age| age.as_millis().to_string());
        format!("{} run {} age_ms {age}", lost.task, lost.run)
    });
    let named: Vec<String> = named.collect();
    let left_out = runs.len().saturating_sub(MOST_RUNS);
    format!("{} left_out={left_out} [{}]", runs.len(), named.join("; "))
}
