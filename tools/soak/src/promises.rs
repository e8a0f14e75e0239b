//! What has to be true of what callers and executors saw.
//!
//! Nothing here knows sockets or processes: the checks take the runs that executors have had and
//! the answers that callers got, and give a sentence for each promise that was broken.

use std::{collections::BTreeMap, time::Duration};

use borageswitch_fakes::platform::{CRASHING_TEXT, RunRecord};
use borageswitch_scheduler::{executor::EndKind, job::Size, task::TaskKey};
use borageswitch_types::names::{ExecutorName, JobName};

use crate::{callers::Fate, site};

/// How long after a cancelling was acknowledged a start may still arrive: the platform's three
/// seconds, and the longest that a fault holds an order back.
pub const LAST_START: Duration = Duration::from_millis(3_000 + 5_000);

/// A task that crashes whatever starts it is started at most so often: five times by a leader that
/// stays, and a few more where leaders go before they have stored a crash.
pub const MOST_CRASHES: usize = 8;

/// What one run of the soak has seen.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// What became of each job.
    pub fates: &'a BTreeMap<JobName, Fate>,
    /// Every run that executors have had, in order.
    pub runs: &'a [RunRecord],
}

/// A sentence for each promise that was broken.
pub fn broken(seen: &Seen<'_>) -> Vec<String> {
    let mut broken = Vec::new();
    let by_task = by_task(seen.runs);
    broken.extend(by_task.iter().filter_map(|(task, runs)| doubled(task, runs)));
    broken.extend(by_task.iter().filter_map(|(task, runs)| crashes_on(task, runs)));
    broken.extend(seen.runs.iter().filter_map(|run| unasked(seen.fates, run)));
    broken.extend(seen.runs.iter().filter_map(|run| too_early(seen.fates, &by_task, run)));
    broken.extend(overfull(seen));
    broken.extend(seen.fates.iter().filter_map(|(job, fate)| given_up(job, fate)));
    broken.extend(seen.fates.iter().filter_map(|(job, fate)| wrong_end(job, fate, &by_task)));
    broken
}

/// Tasks of lasting jobs that should be running and are not.
pub fn idle_lasting(seen: &Seen<'_>) -> Vec<String> {
    let by_task = by_task(seen.runs);
    let lasting = seen
        .fates
        .iter()
        .filter(|(_, f)| f.is_lasting() && f.is_accepted() && !f.cancelling && !f.is_failing());
    let idle = |task: &TaskKey| !is_running(task, &by_task);
    let tasks = lasting.flat_map(|(job, fate)| tasks(job, fate).filter(idle));
    tasks.map(|task| format!("{task} lasts and does not run")).collect()
}

fn is_running(task: &TaskKey, by_task: &ByTask<'_>) -> bool {
    by_task.get(task).is_some_and(|runs| runs.iter().any(|run| run.ended.is_none()))
}

/// A sound lasting job that was shown as failed at any time.
fn given_up(job: &JobName, fate: &Fate) -> Option<String> {
    let sound = fate.is_lasting() && !fate.is_failing();
    (sound && fate.was_failed).then(|| format!("lasting job {job} was shown as failed"))
}

type ByTask<'a> = BTreeMap<&'a TaskKey, Vec<&'a RunRecord>>;

fn by_task(runs: &[RunRecord]) -> ByTask<'_> {
    let mut by_task: ByTask<'_> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    by_task
}

/// Two runs at the same time, or a run after one whose completion was acknowledged.
fn doubled(task: &TaskKey, runs: &[&RunRecord]) -> Option<String> {
    let end = |run: &RunRecord| run.ended.map_or(u64::MAX, |(at, _)| at);
    for (number, run) in runs.iter().enumerate() {
        for other in &runs[number + 1..] {
            if other.started_ms < end(run) && run.started_ms < end(other) {
                return Some(format!("{task} runs twice at the same time: {run:?}, {other:?}"));
            }
            let done = matches!(run.ended, Some((_, Some(EndKind::Done))));
            if done && run.acknowledged_ms.is_some() {
                return Some(format!("{task} runs again although it is done: {run:?}, {other:?}"));
            }
        }
    }
    None
}

/// A task that goes on crashing executors.
fn crashes_on(task: &TaskKey, runs: &[&RunRecord]) -> Option<String> {
    let crashing = runs.iter().filter(|run| run.text.starts_with(CRASHING_TEXT)).count();
    (crashing > MOST_CRASHES).then(|| format!("{task} crashes executors {crashing} times"))
}

/// A run that no caller asked for, or that every caller was told would never be.
fn unasked(fates: &BTreeMap<JobName, Fate>, run: &RunRecord) -> Option<String> {
    let Some(fate) = fates.get(&run.task.job) else {
        return Some(format!("{} runs and nobody handed it in", run.task));
    };
    if fate.spec.payload != run.text {
        return Some(format!("{} runs with another text: {}", run.task, run.text));
    }
    if fate.is_refused() {
        return Some(format!("{} runs although its job was refused", run.task));
    }
    let late = |at: u64| run.started_ms > at + LAST_START.as_millis() as u64;
    let cancelled = fate.cancelled_ms.filter(|at| late(*at))?;
    let (task, started) = (&run.task, run.started_ms);
    Some(format!("{task} starts at {started} ms, cancelled at {cancelled} ms"))
}

/// A run that began before the steps ahead of it were done.
fn too_early(
    fates: &BTreeMap<JobName, Fate>,
    by_task: &ByTask<'_>,
    run: &RunRecord,
) -> Option<String> {
    let steps = &fates.get(&run.task.job)?.spec.steps;
    for &before in &steps.get(usize::from(run.task.step))?.after {
        for index in 0..steps[usize::from(before)].count {
            let ahead = TaskKey { step: before, index, ..run.task.clone() };
            let done = |other: &&RunRecord| matches!(other.ended, Some((at, Some(EndKind::Done))) if at <= run.started_ms);
            let is_done = by_task.get(&ahead).is_some_and(|runs| runs.iter().any(done));
            if !is_done {
                return Some(format!("{} starts before {ahead} is done", run.task));
            }
        }
    }
    None
}

/// Executors that were told to run more than they have room for.
fn overfull(seen: &Seen<'_>) -> Vec<String> {
    let mut changes: BTreeMap<&ExecutorName, Vec<(u64, bool, &RunRecord)>> = BTreeMap::new();
    // A run that ends in the millisecond in which it began takes no room.
    let lasted = |run: &&RunRecord| run.ended.is_none_or(|(at, _)| at > run.started_ms);
    for run in seen.runs.iter().filter(lasted) {
        let of_executor = changes.entry(&run.executor).or_default();
        of_executor.push((run.started_ms, true, run));
        if let Some((at, _)) = run.ended {
            of_executor.push((at, false, run));
        }
    }
    let mut broken = Vec::new();
    for (executor, mut changes) in changes {
        // What ends goes before what begins in the same millisecond.
        changes.sort_by_key(|(at, begins, _)| (*at, *begins));
        let mut taken = 0;
        for (at, begins, run) in changes {
            let size = size_of(seen.fates, run).cpu_milli;
            taken = if begins { taken + size } else { taken - size };
            if taken > site::HOST_SIZE.cpu_milli {
                broken.push(format!("{executor} has {taken} thousandths of a core at {at} ms"));
                break;
            }
        }
    }
    broken
}

fn size_of(fates: &BTreeMap<JobName, Fate>, run: &RunRecord) -> Size {
    let step =
        fates.get(&run.task.job).and_then(|fate| fate.spec.steps.get(run.task.step as usize));
    step.map(|step| step.size).unwrap_or_default()
}

/// A job whose last state is not what has to come of it.
fn wrong_end(job: &JobName, fate: &Fate, by_task: &ByTask<'_>) -> Option<String> {
    let state = fate.state.as_deref().unwrap_or("never told");
    let expected = match fate {
        // Nothing was promised, and an answer was lost: it may be either.
        fate if !fate.is_accepted() => return None,
        fate if fate.cancelled_ms.is_some() => &["cancelled", "completed", "failed"][..],
        fate if fate.cancelling => &["cancelled", "completed", "failed", "in_progress"],
        fate if fate.is_lasting() => &["in_progress"],
        fate if fate.is_failing() => &["failed"],
        _ => &["completed"],
    };
    if !expected.contains(&state) {
        return Some(format!("job {job} was accepted and is shown as {state}: {fate:?}"));
    }
    let undone = |task: &TaskKey| {
        let runs = by_task.get(task).map(Vec::as_slice).unwrap_or_default();
        match state {
            "completed" => !runs.iter().any(|r| matches!(r.ended, Some((_, Some(EndKind::Done))))),
            "in_progress" if fate.is_lasting() => !is_running(task, by_task),
            _ => false,
        }
    };
    let undone = tasks(job, fate).find(undone)?;
    Some(format!("job {job} is shown as {state} and {undone} is not"))
}

fn tasks<'a>(job: &'a JobName, fate: &'a Fate) -> impl Iterator<Item = TaskKey> + 'a {
    fate.spec.steps.iter().enumerate().flat_map(move |(step, tasks)| {
        let task =
            move |index| TaskKey { job: job.clone(), occurrence: 0, step: step as u16, index };
        (0..tasks.count).map(task)
    })
}
