//! Work that fills gaps is slowed beside work that serves; the decision is in [`crate::policy::speed_limits`].

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

/// The pace of a run that has just started, in percent.
pub const FULL_PACE: u8 = 100;

/// Whom work that fills gaps may disturb on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Served {
    /// Nobody.
    Nobody,
    /// Tasks that have not begun to serve.
    NotYet,
    /// Tasks that serve; the worst of their tails, in percent of its target.
    Tail(u64),
}

impl Scheduler {
    /// Adapts the pace of whatever fills gaps on an executor that was just looked at.
    pub(super) fn pace_neighbours(&mut self, executor: &ExecutorName) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let served = served(known);
        let recipient = known.recipient();
        let mut changed = Vec::new();
        let fillers =
            known.runs.iter_mut().filter(|(_, h)| h.best_effort && h.phase == Phase::Active);
        for (task, held) in fillers {
            let Some(next) = next_pace(held, served).filter(|next| held.speed_limit != Some(*next))
            else {
                continue;
            };
            held.speed_limit = Some(next);
            changed.push((task.clone(), held.run, next));
        }
        for (task, run, pace) in changed {
            self.log("run-paced", &task, || {
                format!("run={run} executor={executor} pace={pace} served={served:?}")
            });
            self.effects.push(Effect::LimitSpeed(recipient.clone(), task, run, pace));
        }
    }

    pub(super) fn pace_answered(
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

/// The pace that a run is to have, if that can be told now.
///
/// A pace that is not known is ordered in any case: taken for full speed, a run that stands still
/// would never be told to go on, and its owner would see it do nothing for ever.
fn next_pace(held: &HeldRun, served: Served) -> Option<u8> {
    match served {
        Served::Nobody => Some(FULL_PACE),
        Served::NotYet => None,
        Served::Tail(percent) => {
            Some(speed_limits::next_limit(held.speed_limit.unwrap_or(FULL_PACE), percent))
        }
    }
}

fn served(known: &Executor) -> Served {
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
        Some(percent) => Served::Tail(percent),
        None if any => Served::NotYet,
        None => Served::Nobody,
    }
}
