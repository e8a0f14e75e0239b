//! Starts and stops runs, and handles the responses.
//!
//! A start without a response may be carried out seconds later. Its capacity stays taken, and the
//! task is started nowhere else, until one of three events proves that it does not run: the
//! executor has answered a stop and does not list the run, the executor's lease has expired, or the
//! executor's incarnation has ended.

use std::time::Duration;

use borageswitch_types::{
    Time,
    names::{ExecutorName, JobName},
};

use crate::{
    effect::{Effect, StartOrder},
    event::{Now, OrderResponse, StartResponse},
    reducer::{Scheduler, crashes::EndDetection, executors::Phase},
    task::TaskKey,
};

/// How long an executor that rejected an order for lack of capacity gets nothing new: about the
/// time until its next report shows its capacity.
const NO_CAPACITY_PAUSE: Duration = Duration::from_millis(200);
/// How long an executor that rejected an order as malformed gets nothing new.
const MALFORMED_PAUSE: Duration = Duration::from_secs(2);
/// The interval after which a stop without a response is repeated, longer than a call may take.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);

impl Scheduler {
    /// Sends a start whose assignment is stored, unless the state has changed meanwhile.
    pub(super) fn send_start(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        run: u32,
    ) {
        let Some(known) = self.executors.get(executor) else { return };
        let Some(held) = known.runs.get(task) else { return };
        if held.run != run || held.phase != Phase::Recorded {
            return;
        }
        // The executor's capacity may have shrunk since the run was placed.
        let fits = known.free_without(held).holds(&held.size);
        let accepts = known.is_registered && known.fenced && !known.registration.draining && fits;
        let Some(order) = self.start_order(now, executor, task, run).filter(|_| accepts) else {
            self.release_run(executor, task, "changed before the start");
            return;
        };
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.lease_until_ms = known.lease_until_ms.max(order.until_ms);
        let recipient = known.recipient();
        if let Some(held) = known.runs.get_mut(task) {
            held.phase = Phase::Sent;
            held.phase_since = now.time;
            held.start_sent = Some(now.time);
        }
        self.log("run-sent", task, || format!("run={run} executor={executor}"));
        self.effects.push(Effect::Start(recipient, order));
    }

    fn start_order(
        &self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        run: u32,
    ) -> Option<StartOrder> {
        let job = self.ledger.jobs.get(&task.job)?;
        let state = job.task(task)?;
        let clock = self.executors.get(executor)?.clock?;
        let ticket = if self.needs_ticket(job) {
            Some(self.advice.ticket(&task.step_key(), executor, now.time)?)
        } else {
            None
        };
        Some(StartOrder {
            task: task.clone(),
            run,
            payload: job.submission.spec.payload.clone(),
            until_ms: clock.estimate(now.time).saturating_add(self.limits.lease.as_millis() as u64),
            checkpoint: state.checkpoint.clone(),
            ticket,
        })
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one event")]
    pub(super) fn start_answered(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        run: u32,
        sent: Time,
        clock_ms: Option<u64>,
        answer: StartResponse,
    ) {
        self.pending_starts.answered(now.time, task, run, now.time.since(sent), answer);
        self.dirty_pools.extend(self.pending_starts.take_blocked_pools());
        let Some(known) = self.executors.get_mut(executor) else { return };
        if let Some(clock_ms) = clock_ms {
            if known.is_other_incarnation(sent, clock_ms) {
                // The run may be on the new incarnation, and is searched for once that has
                // registered.
                self.start_unanswered(now, executor, task);
                self.end_incarnation(now, executor, EndDetection::OtherIncarnationAnswered);
                return;
            }
            known.read_clock(now.time, clock_ms);
        }
        if known.runs.get(task).is_none_or(|held| held.run != run) {
            return;
        }
        self.note_start_response(now, task, answer);
        if answer != StartResponse::Started {
            self.log("start-refused", task, || {
                let age = now.time.since(sent).as_millis();
                format!("run={run} executor={executor} answer={answer} after_ms={age}")
            });
        }
        match answer {
            StartResponse::Started => self.run_confirmed(now, executor, task),
            StartResponse::Lost => self.start_unanswered(now, executor, task),
            StartResponse::Fenced => self.effects.push(Effect::StepDown),
            StartResponse::OtherIncarnation => {
                self.end_incarnation(now, executor, EndDetection::OtherIncarnationAnswered);
            }
            StartResponse::NoRoom => {
                self.pause_executor(now, executor, task, NO_CAPACITY_PAUSE, "no room");
            }
            StartResponse::Malformed => {
                self.pause_executor(now, executor, task, MALFORMED_PAUSE, "malformed");
            }
            StartResponse::Unhealthy => {
                if let Some(known) = self.executors.get_mut(executor) {
                    known.circuit_breaker.record_failure(now.time);
                }
                self.pause_executor(now, executor, task, NO_CAPACITY_PAUSE, "unhealthy");
            }
            StartResponse::NotPermitted => {
                self.advice.discard_ticket(&task.step_key(), executor);
                self.release_run(executor, task, "not permitted");
            }
            StartResponse::NotSent => {
                if let Some(known) = self.executors.get_mut(executor) {
                    known.polling.failures = known.polling.failures.max(1);
                }
                self.release_run(executor, task, "not sent");
            }
            StartResponse::Outdated => self.release_run(executor, task, "outdated"),
            StartResponse::Late => self.release_run(executor, task, "late"),
        }
    }

    fn run_confirmed(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        self.executors.confirm(executor, task);
        let Some(known) = self.executors.get_mut(executor) else { return };
        let Some(held) = known.runs.get_mut(task) else { return };
        if let Some(times) = self.job_states.get_mut(&task.job) {
            times.begun = true;
        }
        if matches!(held.phase, Phase::Sent | Phase::Unsure) {
            held.phase = Phase::Active;
            held.phase_since = now.time;
            held.started = now.time;
        }
    }

    fn start_unanswered(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.polling.silent_since.get_or_insert(now.time);
        let Some(held) = known.runs.get_mut(task) else { return };
        if held.phase == Phase::Sent {
            held.phase = Phase::Unsure;
            held.phase_since = now.time;
        }
    }

    fn pause_executor(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        pause: Duration,
        why: &'static str,
    ) {
        if let Some(known) = self.executors.get_mut(executor) {
            known.full_until = now.time + pause;
        }
        self.release_run(executor, task, why);
    }

    /// Stops a run, whatever its phase.
    pub(super) fn order_stop(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let Some(held) = known.runs.get_mut(task) else { return };
        match held.phase {
            Phase::Recorded => self.release_run(executor, task, "stopped before the start"),
            Phase::Stopping | Phase::Ended => {}
            Phase::Sent | Phase::Active | Phase::Inherited | Phase::Unsure => {
                held.phase = Phase::Stopping;
                held.phase_since = now.time;
                if let Some(unavailable) = self.unavailable.get_mut(&task.step_key()) {
                    unavailable.insert(task.index);
                }
                self.send_stop(now, executor, task);
            }
        }
    }

    /// Sends a stop for a run, also to an executor whose registration is missing or unreadable: it
    /// may be alive, and the polls extend its lease.
    pub(super) fn send_stop(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let recipient = known.recipient();
        let may_run = !known.ended && !known.known_from_ledger_only;
        let Some(held) = known.runs.get_mut(task) else { return };
        held.stop_sent = Some(now.time);
        if may_run {
            self.effects.push(Effect::Stop(recipient, task.clone(), held.run));
        }
    }

    pub(super) fn stop_answered(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        task: &TaskKey,
        run: u32,
        answer: OrderResponse,
    ) {
        match answer {
            OrderResponse::Done => {
                let Some(known) = self.executors.get_mut(executor) else { return };
                if let Some(held) = known.runs.get_mut(task).filter(|held| held.run == run) {
                    held.stop_confirmed.get_or_insert(now.time);
                }
            }
            OrderResponse::Fenced => self.effects.push(Effect::StepDown),
            OrderResponse::OtherIncarnation => {
                self.end_incarnation(now, executor, EndDetection::OtherIncarnationAnswered);
            }
            // The sweep repeats the stop.
            OrderResponse::Refused | OrderResponse::Lost => {}
        }
    }

    /// Repeats stops that got no response.
    pub(super) fn repeat_stops(&mut self, now: Now) {
        let mut due = Vec::new();
        for (executor, known) in self.executors.iter() {
            for (task, held) in &known.runs {
                let wanted = matches!(held.phase, Phase::Stopping | Phase::Unsure);
                let old =
                    held.stop_sent.is_some_and(|at| now.time.since(at) >= STOP_RETRY_INTERVAL);
                if wanted && old && held.stop_confirmed.is_none() {
                    due.push((executor.clone(), task.clone()));
                }
            }
        }
        for (executor, task) in due {
            self.send_stop(now, &executor, &task);
        }
    }

    /// Stops all runs of a job that has ended.
    pub(super) fn stop_runs_of(&mut self, now: Now, job: &JobName) {
        let runs: Vec<(ExecutorName, TaskKey)> = self.executors.runs_of(job).cloned().collect();
        for (executor, task) in runs {
            self.order_stop(now, &executor, &task);
        }
    }

    /// Stops the other runs of a task that is done.
    pub(super) fn stop_redundant_runs(&mut self, now: Now, done: &TaskKey) {
        let redundant = self.executors.runs_of(&done.job).filter(|(_, task)| task == done);
        let redundant: Vec<ExecutorName> =
            redundant.map(|(executor, _)| executor.clone()).collect();
        for executor in redundant {
            self.order_stop(now, &executor, done);
        }
    }
}
