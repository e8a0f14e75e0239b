//! Polls of executors, and reconciliation of their reports with the leader's view.
//!
//! A poll extends the lease of all runs on the executor and acknowledges ended runs that are
//! stored. The executor may hold its response until a run ends. Executors without runs are not
//! polled, as each poll has a cost.

use std::{collections::BTreeSet, time::Duration};

use borageswitch_types::{Time, names::ExecutorName};

use crate::{
    effect::{Effect, PollOrder},
    event::{Now, PollResponse},
    executor::{ActiveRun, Report},
    reducer::{
        Limits, Scheduler,
        crashes::EndDetection,
        executors::{Executor, HeldRun, Phase},
    },
    task::TaskKey,
};

/// The backoff after a poll without a response; it doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// How long an executor with serving tasks may hold its response to a poll, so that a growing tail
/// is noticed in time: the tail is reported over the last half second.
const SERVING_POLL_WAIT: Duration = Duration::from_millis(500);
/// The number of consecutive failed polls after which an executor that is no longer registered is
/// not polled any more; its runs end with its lease.
const GIVE_UP_AFTER: u32 = 4;
/// How often an executor is polled whose ended runs are still being stored. With a slow store an
/// append takes a third of a second. If the executor were polled only after that, capacity that is
/// freed during a load peak would be noticed late and stay idle for that time.
const UNSTORED_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often an executor is polled after the start of an isolated suspect. The shorter the time
/// within which it can have crashed, the better a crash tells whether the start was the cause.
const ISOLATED_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which an executor that runs has answered a poll without a wait.
pub(super) const PROMPT_RESPONSE_TIME: Duration = Duration::from_millis(100);

impl Scheduler {
    /// Sends the polls that are due.
    ///
    /// Most become due by an event; a sweep finds those that become due by the passing of time.
    pub(super) fn send_polls(&mut self, now: Now, sweep: bool) {
        let mut polls = Vec::new();
        for (name, order) in self.due_polls(now, sweep) {
            let Some(known) = self.executors.get_mut(&name) else { continue };
            if let Some(until) = order.until_ms {
                known.lease_until_ms = known.lease_until_ms.max(until);
            }
            if order.wait.is_zero() {
                known.polling.immediate_poll_in_flight = true;
                known.polling.immediate_poll_sent = now.time;
            } else {
                known.polling.long_poll_in_flight = true;
            }
            polls.push(Effect::Poll(known.recipient(), order));
        }
        self.effects.append(&mut polls);
    }

    fn due_polls(&mut self, now: Now, sweep: bool) -> Vec<(ExecutorName, PollOrder)> {
        let mut candidates = std::mem::take(&mut self.poll_candidates);
        let due = |known: &Executor| due_poll(known, now.time, &self.limits);
        if sweep {
            let all = self.executors.iter();
            return all.filter_map(|(name, known)| Some((name.clone(), due(known)?))).collect();
        }
        candidates.extend(self.executors.changed().cloned());
        candidates.sort();
        candidates.dedup();
        let known = candidates.into_iter().filter_map(|name| {
            let order = due(self.executors.get(&name)?)?;
            Some((name, order))
        });
        known.collect()
    }

    pub(super) fn handle_poll_response(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        sent: Time,
        order: PollOrder,
        answer: PollResponse,
    ) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        if order.wait.is_zero() {
            known.polling.immediate_poll_in_flight = false;
        } else {
            known.polling.long_poll_in_flight = false;
        }
        match answer {
            PollResponse::Report(report) => {
                self.confirm_incarnation(now, executor);
                let Some(known) = self.executors.get_mut(executor) else { return };
                known.acknowledged_end = known.acknowledged_end.max(order.acknowledged);
                self.apply_report(now, executor, sent, &report);
            }
            PollResponse::Fenced => {
                self.log("leader-fenced", executor, || {
                    "a poll met a higher fencing token".to_owned()
                });
                self.effects.push(Effect::StepDown);
            }
            PollResponse::OtherIncarnation => {
                self.end_incarnation(now, executor, EndDetection::OtherIncarnationAnswered);
            }
            PollResponse::Lost => self.handle_poll_failure(now, executor, sent, &order),
        }
    }

    fn handle_poll_failure(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        sent: Time,
        order: &PollOrder,
    ) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let is_observed = order.wait.is_zero() && sent < known.isolated_until;
        let silent = match is_observed {
            true => now.time.min(sent + PROMPT_RESPONSE_TIME),
            false => now.time,
        };
        let polling = &mut known.polling;
        polling.failures += 1;
        polling.silent_since = Some(polling.silent_since.map_or(silent, |since| since.min(silent)));
        let backoff = FIRST_BACKOFF * (1 << (polling.failures - 1).min(4));
        polling.not_before = now.time + backoff.min(MAX_BACKOFF);
        if polling.failures == 1 {
            self.log("executor-silent", executor, || "a poll got no response".to_owned());
        }
    }

    fn apply_report(&mut self, now: Now, executor: &ExecutorName, sent: Time, report: &Report) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let recovered = known.polling.failures > 0;
        let is_first = !known.fenced;
        known.polling.failures = 0;
        known.polling.silent_since = None;
        known.expired_runs.clear();
        known.read_clock(now.time, report.clock_ms);
        if !known.fenced {
            known.fence(report.clock_ms);
            if !report.active.is_empty() || !known.runs.is_empty() {
                // Its present and possible runs hold a lease that an earlier leader granted.
                let lease = self.limits.inherited_lease.as_millis() as u64;
                known.lease_until_ms =
                    known.lease_until_ms.max(report.clock_ms.saturating_add(lease));
            }
            self.dirty_pools.insert(known.registration.pool.clone());
        }
        // Responses may arrive out of order: an older one says nothing about the present runs.
        let newest = known.polling.last_answered_sent.is_none_or(|answered| sent >= answered);
        if newest {
            known.polling.last_answered_sent = Some(sent);
            known.note_report(report.clock_ms);
        }
        if is_first {
            self.refute_crash(now, executor);
        }
        if recovered {
            self.log("executor-answers", executor, || "after polls without a response".to_owned());
        }
        self.apply_ends(now, executor, report);
        if newest {
            self.reconcile(now, executor, sent, report);
            self.adjust_speed_limits(executor);
        }
    }

    fn apply_ends(&mut self, now: Now, executor: &ExecutorName, report: &Report) {
        let seen = self.ledger.last_ends.get(executor).copied().unwrap_or(0);
        for ended in report.ended.iter().filter(|ended| ended.number > seen) {
            self.handle_run_end(now, executor, ended);
        }
        let highest = report.ended.iter().map(|ended| ended.number).max().unwrap_or(0);
        if let Some(known) = self.executors.get_mut(executor) {
            known.processed_end = known.processed_end.max(highest);
        }
    }

    /// Reconciles the runs that an executor lists with the leader's view of it.
    fn reconcile(&mut self, now: Now, executor: &ExecutorName, sent: Time, report: &Report) {
        for active in &report.active {
            let held = self.executors.get(executor).and_then(|known| known.runs.get(&active.task));
            if held.is_some_and(|held| held.run == active.run && !held.confirmed) {
                self.executors.confirm(executor, &active.task);
                self.failed_starts.confirmed(&active.task);
            }
        }
        let Some(known) = self.executors.get_mut(executor) else { return };
        let mut orphans = Vec::new();
        for active in &report.active {
            match known.runs.get_mut(&active.task).filter(|held| held.run == active.run) {
                Some(held) => {
                    if let Some(job_state) = self.job_states.get_mut(&active.task.job) {
                        job_state.begun = true;
                    }
                    let was_at_work = held.is_at_work();
                    update_active_run(held, active, now.time);
                    if held.lasting && held.is_at_work() && !was_at_work {
                        known.circuit_breaker.record_success();
                    }
                }
                None => orphans.push(active),
            }
        }
        known.has_orphan_runs = !orphans.is_empty();
        let recipient = known.recipient();
        let stops: Vec<Effect> = orphans
            .iter()
            .map(|orphan| Effect::Stop(recipient.clone(), orphan.task.clone(), orphan.run))
            .collect();
        for orphan in orphans {
            self.log("stray-run", &orphan.task, || {
                format!("run={} executor={executor}", orphan.run)
            });
        }
        self.effects.extend(stops);
        self.settle_absent_runs(now, executor, sent, report);
    }

    /// Releases runs whose absence from the report proves that they do not exist, and stops those
    /// that may still start.
    fn settle_absent_runs(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        sent: Time,
        report: &Report,
    ) {
        let Some(known) = self.executors.get(executor) else { return };
        let ended: BTreeSet<&TaskKey> = report.ended.iter().map(|e| &e.task).collect();
        let listed: BTreeSet<(&TaskKey, u32)> =
            report.active.iter().map(|a| (&a.task, a.run)).collect();
        let absent = |task: &TaskKey, held: &HeldRun| {
            !listed.contains(&(task, held.run)) && !ended.contains(task)
        };
        let is_over = |(task, held): &(&TaskKey, &HeldRun)| {
            absent(task, held) && held.absence_proves_end(sent)
        };
        let missing: Vec<TaskKey> =
            known.runs.iter().filter(is_over).map(|(task, _)| task.clone()).collect();
        let is_unsettled = |(task, held): &(&TaskKey, &HeldRun)| {
            held.phase == Phase::Unsure && held.stop_sent.is_none() && absent(task, held)
        };
        let to_stop: Vec<TaskKey> =
            known.runs.iter().filter(is_unsettled).map(|(task, _)| task.clone()).collect();
        if !missing.is_empty() {
            let kind = if report.more_ended { "report-incomplete" } else { "runs-not-listed" };
            self.log(kind, executor, || {
                let (missing, active) = (missing.len(), report.active.len());
                let (ended, age_ms) = (report.ended.len(), now.time.since(sent).as_millis());
                format!("missing={missing} active={active} ended={ended} age_ms={age_ms}")
            });
        }
        for task in missing {
            if report.more_ended {
                self.mark_ended(now, executor, &task);
            } else {
                self.release_run(executor, &task, "not listed");
            }
        }
        for task in to_stop {
            self.send_stop(now, executor, &task);
        }
    }

    /// Handles a run that is missing from an incomplete list of ended runs: if it has been active,
    /// it has ended; otherwise it may never have begun.
    fn mark_ended(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let Some(held) = known.runs.get_mut(task).filter(|held| held.phase == Phase::Active) else {
            return;
        };
        held.phase = Phase::Ended;
        held.phase_since = now.time;
    }
}

/// Updates a run that an executor lists as active.
fn update_active_run(held: &mut HeldRun, active: &ActiveRun, now: Time) {
    held.percent = active.percent;
    held.recent = active.recent;
    if matches!(held.phase, Phase::Sent | Phase::Inherited | Phase::Unsure) {
        held.phase = Phase::Active;
        held.phase_since = now;
        held.started = now;
    }
}

fn due_poll(known: &Executor, now: Time, limits: &Limits) -> Option<PollOrder> {
    let polling = &known.polling;
    if now < polling.not_before || polling.immediate_poll_in_flight || known.ended {
        return None;
    }
    if !known.is_registered && polling.failures >= GIVE_UP_AFTER {
        return None;
    }
    let answered_after =
        |moment: Time| polling.last_answered_sent.is_some_and(|answered| answered > moment);
    let unsettled = known.runs.values().any(|held| {
        held.phase == Phase::Unsure
            && !answered_after(held.stop_confirmed.unwrap_or(held.phase_since))
    });
    let in_doubt = !known.fenced || polling.failures > 0;
    let unknown = in_doubt && (known.is_registered || !known.runs.is_empty());
    let last_contact = known.clock.map_or(Time::ZERO, |clock| clock.received);
    let probe_due = known.probe_due.is_some_and(|due| due <= now && last_contact < due);
    let observed = now < known.isolated_until && now.since(last_contact) >= ISOLATED_POLL_INTERVAL;
    let at_once = unknown || unsettled || probe_due || observed;
    let running =
        known.has_orphan_runs || known.runs.values().any(|held| held.phase != Phase::Recorded);
    if !at_once && (polling.long_poll_in_flight || !wants_poll(known, now, running)) {
        return None;
    }
    let until_ms = known
        .clock
        .filter(|_| running)
        .map(|clock| clock.estimate(now).saturating_add(limits.lease.as_millis() as u64));
    let wait = if at_once || !running { Duration::ZERO } else { poll_wait(known, limits) };
    Some(PollOrder { until_ms, acknowledged: known.stored_end, wait })
}

/// Whether a poll is due for an executor whose polls get responses.
fn wants_poll(known: &Executor, now: Time, running: bool) -> bool {
    if known.processed_end > known.stored_end {
        // The response repeats ended runs that are not acknowledged and is sent at once, so such a
        // poll cannot wait for further ends.
        let last_contact = known.clock.map_or(Time::ZERO, |clock| clock.received);
        return running && now.since(last_contact) >= UNSTORED_POLL_INTERVAL;
    }
    running || known.stored_end > known.acknowledged_end
}

fn poll_wait(known: &Executor, limits: &Limits) -> Duration {
    if known.runs.values().any(|held| held.target_tail.is_some()) {
        SERVING_POLL_WAIT.min(limits.poll_wait)
    } else {
        limits.poll_wait
    }
}
