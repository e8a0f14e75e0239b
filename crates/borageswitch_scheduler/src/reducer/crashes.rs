//! Executors that ended, and which of them crashed.
//!
//! An executor that leaves, or whose host the platform takes away on an order, says nothing about
//! what it ran. One that ends by itself may have been brought down by one of its tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{ExecutorName, HostName, JobName, PoolName},
};

use crate::{
    event::Now,
    fleet::HostState,
    policy::crash_attribution,
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
    /// It is registered again under its name, as a later life.
    Restarted(HostFate),
    /// No host of the platform's list has it.
    Unlisted {
        /// When the list was asked for.
        asked: Time,
        /// What has become of its host.
        fate: HostFate,
    },
    /// The platform has carried out an order for its host.
    HostTaken,
    /// It is registered no more and its lease has ended.
    Expired,
}

impl Ending {
    /// How it was learned.
    pub fn why(&self) -> &'static str {
        match self {
            Ending::OtherLifeAnswered => "another life answered",
            Ending::OtherLifeRegistered => "another life is registered at its address",
            Ending::Restarted(_) => "it has started again",
            Ending::Unlisted { .. } => "no host has it",
            Ending::HostTaken => "its host was taken away",
            Ending::Expired => "registration and lease ended",
        }
    }

    /// When nobody was there under the executor's name, if that is known.
    pub fn away(&self) -> Option<Time> {
        match self {
            Ending::Unlisted { asked, .. } => Some(*asked),
            _ => None,
        }
    }

    /// What has become of its host, as far as it is known.
    fn fate(&self) -> Option<&HostFate> {
        match self {
            Ending::Unlisted { fate, .. } | Ending::Restarted(fate) => Some(fate),
            _ => None,
        }
    }
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
    /// It was gone before this leader heard of it.
    #[display("unknown")]
    Unknown,
}

impl Cause {
    /// Whether an executor may have crashed all the same, though that is not the likeliest cause.
    fn may_hide_crash(self) -> bool {
        matches!(self, Cause::Drain | Cause::Removal | Cause::Unknown)
    }
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
    /// How long it was there at least.
    pub lived: Duration,
    /// The time within which the crash came, as far as it is known: since the start, or since the
    /// executor was last known to live if the start got no answer. Nothing as for the age.
    pub window: Option<Duration>,
}

/// An executor that has ended.
#[derive(Clone, Debug)]
pub struct EndedExecutor {
    pub(super) executor: ExecutorName,
    pool: PoolName,
    ending: Ending,
    cause: Cause,
    /// It has answered until then.
    heard: Option<Time>,
    /// It has ended by then.
    ended_by: Time,
    pub(super) runs: Vec<LostRun>,
}

impl EndedExecutor {
    /// An executor that is found to have ended.
    pub(super) fn new(known: &Executor, ending: Ending, seen_up: Option<Time>, now: Time) -> Self {
        let mut runs = known.lapsed.clone();
        runs.extend(lost_runs(known, seen_up, now));
        Self {
            executor: known.registration.executor.clone(),
            pool: known.registration.pool.clone(),
            cause: cause(known, &ending, &runs),
            ending,
            heard: known.clock.map(|clock| clock.received),
            ended_by: ended_by(known, now),
            runs,
        }
    }

    /// Its host, if a list told which it was.
    pub(super) fn host(&self) -> Option<&HostName> {
        match self.ending.fate() {
            Some(HostFate::Stays(host, _)) => Some(host),
            _ => None,
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
        write!(f, "runs={} why={} cause={}", self.runs.len(), self.ending.why(), self.cause)?;
        match self.ending.fate() {
            Some(fate) => write!(f, " host={fate}"),
            None => Ok(()),
        }
    }
}

/// What an executor that has ended was running; `seen_up` is when the platform listed it last.
pub(super) fn lost_runs(known: &Executor, seen_up: Option<Time>, now: Time) -> Vec<LostRun> {
    let ended_by = ended_by(known, now);
    let alive = known.clock.map(|clock| clock.received).max(seen_up);
    let started = known.runs.iter().filter(|(_, held)| held.phase != Phase::Recorded);
    let lost = started.map(|(task, held)| {
        let alive = alive.unwrap_or(Time::ZERO);
        // A start without an answer may have been sent to an executor that had crashed before.
        let since = held.ordered.map(|at| if held.confirmed { at } else { at.min(alive) });
        LostRun {
            task: task.clone(),
            run: held.run,
            age: held.ordered.map(|ordered| ended_by.since(ordered)),
            lived: known.lived(held),
            window: since.map(|since| ended_by.since(since)),
        }
    });
    lost.collect()
}

fn ended_by(known: &Executor, now: Time) -> Time {
    // One call may get an answer after another one did not.
    let heard = known.clock.map_or(Time::ZERO, |clock| clock.received);
    known.looking.silent_since.filter(|since| *since >= heard).unwrap_or(now)
}

fn cause(known: &Executor, ending: &Ending, runs: &[LostRun]) -> Cause {
    match (ending, ending.fate()) {
        (Ending::HostTaken, _) | (_, Some(HostFate::Ordered(_))) => Cause::Order,
        _ if known.registration.draining => Cause::Drain,
        (_, Some(HostFate::Removed(_))) => Cause::Removal,
        _ if known.hearsay => Cause::Unknown,
        // A registration outlives its executor, and may be read again after the crash was noted.
        _ if known.clock.is_none() && runs.is_empty() => Cause::Unknown,
        _ => Cause::Crash,
    }
}

impl Scheduler {
    /// Tells of each executor that crashed, and takes in what that says about its tasks.
    pub(super) fn note_crashes(&mut self, now: Now) {
        let ended = std::mem::take(&mut self.ended_executors);
        for executor in ended.iter().filter(|executor| executor.cause.may_hide_crash()) {
            self.take_loss(now, executor);
        }
        let crashed: Vec<&EndedExecutor> =
            ended.iter().filter(|executor| executor.cause == Cause::Crash).collect();
        let started_on = started_on(&crashed);
        for executor in &crashed {
            let others = crashed
                .iter()
                .filter(|other| other.executor != executor.executor && executor.coincides(other));
            let others = others.count();
            self.log("executor-crashed", &executor.executor, || {
                format!("pool={} others={others} runs={}", executor.pool, list(&executor.runs))
            });
            self.take_crash(now, executor, others, &started_on);
        }
    }
}

/// On how many executors that crashed each job had just started.
fn started_on(crashed: &[&EndedExecutor]) -> BTreeMap<JobName, usize> {
    let mut started_on: BTreeMap<JobName, usize> = BTreeMap::new();
    for executor in crashed {
        let soon = executor
            .runs
            .iter()
            .filter(|lost| lost.age.is_some_and(|a| a <= crash_attribution::START_RELATED_AGE));
        let jobs: BTreeSet<&JobName> = soon.map(|lost| &lost.task.job).collect();
        for job in jobs {
            *started_on.entry(job.clone()).or_default() += 1;
        }
    }
    started_on
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
