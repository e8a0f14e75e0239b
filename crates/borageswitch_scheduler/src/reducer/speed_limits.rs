//! Limits the speed of best-effort runs beside runs that serve users, as decided by
//! [`crate::policy::speed_limits`].

use borageswitch_types::names::ExecutorName;

use crate::{
    effect::Effect,
    event::OrderResponse,
    policy::speed_limits,
    reducer::{
        Scheduler,
        executors::{Executor, HeldRun, Phase},
    },
    task::TaskKey,
};

/// The speed of a run that has just started, in percent.
pub const FULL_SPEED: u8 = 100;

/// The runs on an executor that best-effort runs may slow down. The log shows the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServingState {
    /// No runs serve users.
    Nobody,
    /// Runs that have not begun to serve.
    NotYet,
    /// Runs that serve users, with the worst of their tail latencies in percent of its target.
    Tail(u64),
}

impl Scheduler {
    /// Adjusts the speed limits of best-effort runs on an executor that was just polled.
    pub(super) fn adjust_speed_limits(&mut self, executor: &ExecutorName) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let served = serving_state(known);
        let recipient = known.recipient();
        let mut changed = Vec::new();
        let best_effort =
            known.runs.iter_mut().filter(|(_, h)| h.best_effort && h.phase == Phase::Active);
        for (task, held) in best_effort {
            let Some(next) =
                next_speed_limit(held, served).filter(|next| held.speed_limit != Some(*next))
            else {
                continue;
            };
            held.speed_limit = Some(next);
            changed.push((task.clone(), held.run, next));
        }
        for (task, run, limit) in changed {
            self.log("run-paced", &task, || {
                format!("run={run} executor={executor} pace={limit} served={served:?}")
            });
            self.effects.push(Effect::LimitSpeed(recipient.clone(), task, run, limit));
        }
    }

    pub(super) fn speed_limit_answered(
        &mut self,
        executor: &ExecutorName,
        task: &TaskKey,
        answer: OrderResponse,
    ) {
        if answer == OrderResponse::Fenced {
            self.effects.push(Effect::StepDown);
        }
        if answer == OrderResponse::Done {
            return;
        }
        let known = self.executors.get_mut(executor);
        if let Some(held) = known.and_then(|known| known.runs.get_mut(task)) {
            held.speed_limit = None;
        }
    }
}

/// The speed limit that a run should get, if it can be determined now.
///
/// An unknown limit is always set again: if it were taken for full speed, a paused run would never
/// be resumed, and its owner would never see progress.
fn next_speed_limit(held: &HeldRun, served: ServingState) -> Option<u8> {
    match served {
        ServingState::Nobody => Some(FULL_SPEED),
        ServingState::NotYet => None,
        ServingState::Tail(percent) => {
            Some(speed_limits::next_limit(held.speed_limit.unwrap_or(FULL_SPEED), percent))
        }
    }
}

fn serving_state(known: &Executor) -> ServingState {
    let serving =
        known.runs.values().filter(|held| !held.best_effort && held.target_tail.is_some());
    let (mut any, mut worst) = (false, None);
    for held in serving {
        any = true;
        let target = held.target_tail.unwrap_or_default().as_millis() as u64;
        if held.is_at_work() && target > 0 {
            worst = worst.max(Some(held.recent * 100 / target));
        }
    }
    match worst {
        Some(percent) => ServingState::Tail(percent),
        None if any => ServingState::NotYet,
        None => ServingState::Nobody,
    }
}
