//! Executors are looked at, and what they say is compared with what is believed.
//!
//! A look prolongs the lease of everything that runs there, acknowledges ends that are stored, and
//! waits on the executor's side until something ends. An executor with nothing to run is not
//! looked at: each look has its price.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::{Time, names::ExecutorName};

use crate::{
    effect::{Effect, LookOrder},
    event::{LookAnswer, Now},
    executor::{ActiveRun, Report},
    reducer::{
        Limits, Scheduler,
        crashes::Ending,
        executors::{Executor, Held, Phase},
    },
    task::TaskKey,
};

/// The pause after a look without an answer, and how it grows.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How long looks at an executor with serving tasks may wait, so that a tail that grows is seen in
/// time: the tail is reported over the last half second.
const SERVING_WAIT: Duration = Duration::from_millis(500);
/// An executor that has not answered looks for so many times in a row and is not registered any
/// more is looked at no longer; what may run there ends with its lease.
const GIVE_UP_AFTER: u32 = 4;
/// How often an executor is looked at whose ends are on their way to the store. With a slow store
/// an append takes a third of a second; looked at only after it, an executor in a rush would have
/// as much room as it had before, and each of its places would stand idle for so long.
const UNSTORED_LOOK: Duration = Duration::from_millis(250);

impl Scheduler {
    /// Sends the looks that are due.
    ///
    /// Most become due by an event; those that the time makes due are found in a sweep.
    pub(super) fn look_around(&mut self, now: Now, sweep: bool) {
        let mut looks = Vec::new();
        for (name, order) in self.due_looks(now, sweep) {
            let Some(known) = self.executors.get_mut(&name) else { continue };
            if let Some(until) = order.until_ms {
                known.lease_ms = known.lease_ms.max(until);
            }
            if order.wait.is_zero() {
                known.looking.at_once = true;
            } else {
                known.looking.waiting = true;
            }
            looks.push(Effect::Look(known.recipient(), order));
        }
        self.effects.append(&mut looks);
    }

    fn due_looks(&mut self, now: Now, sweep: bool) -> Vec<(ExecutorName, LookOrder)> {
        let mut unlooked = std::mem::take(&mut self.poll_candidates);
        let due = |known: &Executor| due_look(known, now.time, &self.limits);
        if sweep {
            let all = self.executors.iter();
            return all.filter_map(|(name, known)| Some((name.clone(), due(known)?))).collect();
        }
        unlooked.extend(self.executors.changed().cloned());
        unlooked.sort();
        unlooked.dedup();
        let known = unlooked.into_iter().filter_map(|name| {
            let order = due(self.executors.get(&name)?)?;
            Some((name, order))
        });
        known.collect()
    }

    pub(super) fn looked(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        sent: Time,
        order: LookOrder,
        answer: LookAnswer,
    ) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        if order.wait.is_zero() {
            known.looking.at_once = false;
        } else {
            known.looking.waiting = false;
        }
        match answer {
            LookAnswer::Report(report) => {
                known.acknowledged = known.acknowledged.max(order.acknowledged);
                self.take_report(now, executor, sent, &report);
            }
            LookAnswer::Fenced => {
                self.log("leader-fenced", executor, || "a look met a higher token".to_owned());
                self.effects.push(Effect::StepDown);
            }
            LookAnswer::OtherLife => self.life_over(now, executor, Ending::OtherLifeAnswered),
            LookAnswer::Lost => self.look_lost(now, executor),
        }
    }

    fn look_lost(&mut self, now: Now, executor: &ExecutorName) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let looking = &mut known.looking;
        looking.failures += 1;
        looking.silent_since.get_or_insert(now.time);
        let pause = FIRST_PAUSE * (1 << (looking.failures - 1).min(4));
        looking.not_before = now.time + pause.min(LONGEST_PAUSE);
        if looking.failures == 1 {
            self.log("executor-silent", executor, || "a look got no answer".to_owned());
        }
    }

    fn take_report(&mut self, now: Now, executor: &ExecutorName, sent: Time, report: &Report) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let recovered = known.looking.failures > 0;
        known.looking.failures = 0;
        known.looking.silent_since = None;
        known.lapsed.clear();
        known.read_clock(now.time, report.clock_ms);
        if !known.fenced {
            known.fenced = true;
            if !report.active.is_empty() || !known.runs.is_empty() {
                // What it runs, or may yet run, holds a lease that somebody else gave.
                let lease = self.limits.inherited_lease.as_millis() as u64;
                known.lease_ms = known.lease_ms.max(report.clock_ms + lease);
            }
            self.dirty_pools.insert(known.registration.pool.clone());
        }
        // Answers may overtake each other: an older one says nothing about what runs now.
        let newest = known.looking.answered.is_none_or(|answered| sent >= answered);
        if newest {
            known.looking.answered = Some(sent);
        }
        if recovered {
            self.log("executor-answers", executor, || "after looks without an answer".to_owned());
        }
        self.take_ends(now, executor, report);
        if newest {
            self.compare(now, executor, sent, report);
            self.adjust_speed_limits(executor);
        }
    }

    fn take_ends(&mut self, now: Now, executor: &ExecutorName, report: &Report) {
        let seen = self.ledger.seen.get(executor).copied().unwrap_or(0);
        for ended in report.ended.iter().filter(|ended| ended.number > seen) {
            self.ended(now, executor, ended);
        }
        let highest = report.ended.iter().map(|ended| ended.number).max().unwrap_or(0);
        if let Some(known) = self.executors.get_mut(executor) {
            known.taken_end = known.taken_end.max(highest);
        }
    }

    /// Compares what an executor runs with what it is believed to run.
    fn compare(&mut self, now: Now, executor: &ExecutorName, sent: Time, report: &Report) {
        for active in &report.active {
            let held = self.executors.get(executor).and_then(|known| known.runs.get(&active.task));
            if held.is_some_and(|held| held.run == active.run && !held.confirmed) {
                self.executors.confirm(executor, &active.task);
                self.failed_starts.confirmed(&active.task);
            }
        }
        let Some(known) = self.executors.get_mut(executor) else { return };
        let ended: BTreeSet<&TaskKey> = report.ended.iter().map(|e| &e.task).collect();
        let listed: BTreeSet<(&TaskKey, u32)> =
            report.active.iter().map(|a| (&a.task, a.run)).collect();
        let mut strays = Vec::new();
        for active in &report.active {
            match known.runs.get_mut(&active.task).filter(|held| held.run == active.run) {
                Some(held) => {
                    if let Some(times) = self.times.get_mut(&active.task.job) {
                        times.begun = true;
                    }
                    let was_at_work = held.is_at_work();
                    take_active(held, active, now.time);
                    if held.lasting && held.is_at_work() && !was_at_work {
                        known.trust.succeeded();
                    }
                }
                None => strays.push(active),
            }
        }
        known.strays = !strays.is_empty();
        let absent = |task: &TaskKey, held: &Held| {
            !listed.contains(&(task, held.run)) && !ended.contains(task)
        };
        let over = |(task, held): &(&TaskKey, &Held)| absent(task, held) && held.is_over(sent);
        let missing: Vec<TaskKey> =
            known.runs.iter().filter(over).map(|(task, _)| task.clone()).collect();
        let doubtful = |(task, held): &(&TaskKey, &Held)| {
            held.phase == Phase::Unsure && held.stop_sent.is_none() && absent(task, held)
        };
        let to_bar: Vec<TaskKey> =
            known.runs.iter().filter(doubtful).map(|(task, _)| task.clone()).collect();
        let recipient = known.recipient();
        let stops: Vec<Effect> = strays
            .iter()
            .map(|stray| Effect::Stop(recipient.clone(), stray.task.clone(), stray.run))
            .collect();
        for stray in strays {
            self.log("stray-run", &stray.task, || format!("run={} executor={executor}", stray.run));
        }
        self.effects.extend(stops);
        for task in missing {
            self.release(executor, &task, "not listed");
        }
        for task in to_bar {
            self.send_stop(now, executor, &task);
        }
    }
}

/// What is known of a run that an executor lists.
fn take_active(held: &mut Held, active: &ActiveRun, now: Time) {
    held.percent = active.percent;
    held.recent = active.recent;
    if matches!(held.phase, Phase::Sent | Phase::Inherited | Phase::Unsure) {
        held.phase = Phase::Active;
        held.since = now;
        held.started = now;
    }
}

fn due_look(known: &Executor, now: Time, limits: &Limits) -> Option<LookOrder> {
    let looking = &known.looking;
    if now < looking.not_before || looking.at_once || known.ended {
        return None;
    }
    if !known.present && looking.failures >= GIVE_UP_AFTER {
        return None;
    }
    let answered_after = |moment: Time| looking.answered.is_some_and(|answered| answered > moment);
    let unsettled = known.runs.values().any(|held| {
        held.phase == Phase::Unsure && !answered_after(held.barred.unwrap_or(held.since))
    });
    let in_doubt = !known.fenced || looking.failures > 0;
    let unknown = in_doubt && (known.present || !known.runs.is_empty());
    let at_once = unknown || unsettled;
    let running = known.strays || known.runs.values().any(|held| held.phase != Phase::Recorded);
    if !at_once && (looking.waiting || !wants_look(known, now, running)) {
        return None;
    }
    let until_ms = known
        .clock
        .filter(|_| running)
        .map(|clock| clock.estimate(now) + limits.lease.as_millis() as u64);
    let wait = if at_once || !running { Duration::ZERO } else { wait_of(known, limits) };
    Some(LookOrder { until_ms, acknowledged: known.stored_end, wait })
}

/// Whether an executor that is known to answer is due for a look.
fn wants_look(known: &Executor, now: Time, running: bool) -> bool {
    if known.taken_end > known.stored_end {
        // A look is told the ends that were taken in again, at once, so it cannot wait for others.
        let read = known.clock.map_or(Time::ZERO, |clock| clock.received);
        return running && now.since(read) >= UNSTORED_LOOK;
    }
    running || known.stored_end > known.acknowledged
}

fn wait_of(known: &Executor, limits: &Limits) -> Duration {
    if known.runs.values().any(|held| held.target_tail.is_some()) {
        SERVING_WAIT.min(limits.poll_wait)
    } else {
        limits.poll_wait
    }
}
