//! Runs are started and stopped, and the answers are taken in.
//!
//! A start without an answer may be carried out seconds later. Its room stays taken, and the task
//! is started nowhere else, until one of three things proves that it does not run: the executor
//! has answered an order to stop it and does not list it, the executor's lease has ended, or the
//! executor's life is over.

use std::time::Duration;

use borageswitch_types::{
    Time,
    names::{ExecutorName, JobName},
};

use crate::{
    effect::{Effect, StartOrder},
    event::{Now, OrderResponse, StartResponse},
    executor::EndKind,
    reducer::{Scheduler, crashes::EndDetection, executors::Phase},
    task::TaskKey,
};

/// How long an executor that refused something for want of room gets nothing new: about the time
/// until its next report shows what it has.
const FULL_PAUSE: Duration = Duration::from_millis(200);
/// How long an executor that called an order malformed gets nothing new.
const MALFORMED_PAUSE: Duration = Duration::from_secs(2);
/// An order to stop that got no answer is repeated after this time, longer than a call may take.
const REPEAT_STOP: Duration = Duration::from_millis(600);

impl Scheduler {
    /// Sends a start whose assignment is stored, unless things have changed meanwhile.
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
        // Its capacity may have shrunk since the run was placed.
        let fits = known.free_without(held).holds(&held.size);
        let open = known.is_registered && known.fenced && !known.registration.draining && fits;
        let Some(order) = self.start_order(now, executor, task, run).filter(|_| open) else {
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
            until_ms: clock.estimate(now.time) + self.limits.lease.as_millis() as u64,
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
        self.starting.answered(now.time, task, run, now.time.since(sent), answer);
        self.stirred.extend(self.starting.take_held_back());
        let Some(known) = self.executors.get_mut(executor) else { return };
        if let Some(clock_ms) = clock_ms {
            if known.is_other_incarnation(sent, clock_ms) {
                // It may run there: it is looked for once that life is registered.
                self.start_lost(now, executor, task);
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
            StartResponse::Lost => self.start_lost(now, executor, task),
            StartResponse::Fenced => self.effects.push(Effect::StepDown),
            StartResponse::OtherIncarnation => {
                self.end_incarnation(now, executor, EndDetection::OtherIncarnationAnswered);
            }
            StartResponse::NoRoom => self.close(now, executor, task, FULL_PAUSE, "no room"),
            StartResponse::Malformed => {
                self.close(now, executor, task, MALFORMED_PAUSE, "malformed");
            }
            StartResponse::Unhealthy => {
                if let Some(known) = self.executors.get_mut(executor) {
                    known.circuit_breaker.record_failure(now.time);
                }
                self.close(now, executor, task, FULL_PAUSE, "unhealthy");
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
        if let Some(times) = self.times.get_mut(&task.job) {
            times.begun = true;
        }
        if matches!(held.phase, Phase::Sent | Phase::Unsure) {
            held.phase = Phase::Active;
            held.phase_since = now.time;
            held.started = now.time;
        }
    }

    fn start_lost(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        known.polling.silent_since.get_or_insert(now.time);
        let Some(held) = known.runs.get_mut(task) else { return };
        if held.phase == Phase::Sent {
            held.phase = Phase::Unsure;
            held.phase_since = now.time;
        }
    }

    fn close(
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

    /// Wants a run to end, however it stands.
    pub(super) fn order_stop(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let Some(held) = known.runs.get_mut(task) else { return };
        match held.phase {
            Phase::Recorded => self.release_run(executor, task, "stopped before the start"),
            Phase::Stopping => {}
            Phase::Sent | Phase::Active | Phase::Inherited | Phase::Unsure => {
                held.phase = Phase::Stopping;
                held.phase_since = now.time;
                if let Some(away) = self.away.get_mut(&task.step_key()) {
                    away.insert(task.index);
                }
                self.send_stop(now, executor, task);
            }
        }
    }

    /// Sends an order to stop a run.
    pub(super) fn send_stop(&mut self, now: Now, executor: &ExecutorName, task: &TaskKey) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let recipient = known.recipient();
        let present = known.is_registered;
        let Some(held) = known.runs.get_mut(task) else { return };
        held.stop_sent = Some(now.time);
        if present {
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
            // Sent again from the sweep.
            OrderResponse::Refused | OrderResponse::Lost => {}
        }
    }

    /// Repeats orders to stop that got no answer.
    pub(super) fn repeat_stops(&mut self, now: Now) {
        let mut due = Vec::new();
        for (executor, known) in self.executors.iter() {
            for (task, held) in &known.runs {
                let wanted = matches!(held.phase, Phase::Stopping | Phase::Unsure);
                let old = held.stop_sent.is_some_and(|at| now.time.since(at) >= REPEAT_STOP);
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
    pub(super) fn stop_all_of(&mut self, now: Now, job: &JobName) {
        let runs: Vec<(ExecutorName, TaskKey)> = self.executors.runs_of(job).cloned().collect();
        for (executor, task) in runs {
            self.order_stop(now, &executor, &task);
        }
    }

    /// Stops runs that are pointless now that another run of the task is done.
    pub(super) fn stop_leftovers(&mut self, now: Now, ended: &TaskKey, how: EndKind) {
        if how != EndKind::Done {
            return;
        }
        let left = self.executors.runs_of(&ended.job).filter(|(_, task)| task == ended);
        let left: Vec<ExecutorName> = left.map(|(executor, _)| executor.clone()).collect();
        for executor in left {
            self.order_stop(now, &executor, ended);
        }
    }
}
