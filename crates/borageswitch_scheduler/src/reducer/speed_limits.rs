//! Limits the speed of best-effort runs beside runs that serve users, as decided by
//! [`crate::policy::pacing`].

use borageswitch_types::names::ExecutorName;

use crate::{
    effect::Effect,
    event::OrderAnswer,
    policy::pacing,
    reducer::{
        Scheduler,
        executors::{Executor, Held, Phase},
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
            known.runs.iter_mut().filter(|(_, h)| h.fills && h.phase == Phase::Active);
        for (task, held) in best_effort {
            let Some(next) = next_speed_limit(held, served).filter(|next| held.pace != Some(*next))
            else {
                continue;
            };
            held.pace = Some(next);
            changed.push((task.clone(), held.run, next));
        }
        for (task, run, limit) in changed {
            self.log("run-paced", &task, || {
                format!("run={run} executor={executor} pace={limit} served={served:?}")
            });
            self.effects.push(Effect::Pace(recipient.clone(), task, run, limit));
        }
    }

    pub(super) fn speed_limit_answered(
        &mut self,
        executor: &ExecutorName,
        task: &TaskKey,
        answer: OrderAnswer,
    ) {
        if answer == OrderAnswer::Fenced {
            self.effects.push(Effect::StepDown);
        }
        if answer == OrderAnswer::Done {
            return;
        }
        let known = self.executors.get_mut(executor);
        if let Some(held) = known.and_then(|known| known.runs.get_mut(task)) {
            held.pace = None;
        }
    }
}

/// The speed limit that a run should get, if it can be determined now.
///
/// An unknown limit is always set again: if it were taken for full speed, a paused run would never
/// be resumed, and its owner would never see progress.
fn next_speed_limit(held: &Held, served: ServingState) -> Option<u8> {
    match served {
        ServingState::Nobody => Some(FULL_SPEED),
        ServingState::NotYet => None,
        ServingState::Tail(percent) => {
            Some(pacing::next_pace(held.pace.unwrap_or(FULL_SPEED), percent))
        }
    }
}

fn serving_state(known: &Executor) -> ServingState {
    let serving = known.runs.values().filter(|held| !held.fills && held.target_tail.is_some());
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
