//! Work that fills gaps is slowed beside work that serves; the decision is in [`crate::policy::pacing`].

use borageswitch_types::names::ExecutorName;

use crate::{
    effect::Effect,
    event::OrderAnswer,
    policy::pacing,
    reducer::{Scheduler, executors::Executor},
    task::TaskKey,
};

impl Scheduler {
    /// Adapts the pace of whatever fills gaps on an executor that was just looked at.
    pub(super) fn pace_neighbours(&mut self, executor: &ExecutorName) {
        let Some(known) = self.executors.get_mut(executor) else { return };
        let Some(tail_percent) = worst_tail(known) else { return };
        let recipient = known.recipient();
        let mut changed = Vec::new();
        for (task, held) in known.runs.iter_mut().filter(|(_, held)| held.fills) {
            let next = pacing::next_pace(held.pace, tail_percent);
            if next != held.pace && held.is_at_work() {
                held.pace = next;
                changed.push((task.clone(), held.run, next));
            }
        }
        for (task, run, pace) in changed {
            self.log("run-paced", &task, || {
                format!("executor={executor} pace={pace} tail_percent={tail_percent}")
            });
            self.effects.push(Effect::Pace(recipient.clone(), task, run, pace));
        }
    }

    pub(super) fn pace_answered(
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
        // The pace is not known any more: at full speed in our books, the next report sets it anew.
        let known = self.executors.get_mut(executor);
        if let Some(held) = known.and_then(|known| known.runs.get_mut(task)) {
            held.pace = 100;
        }
    }
}

/// The worst tail of the serving tasks of an executor, in percent of the target.
fn worst_tail(known: &Executor) -> Option<u64> {
    let serving = known.runs.values().filter(|held| held.is_at_work() && !held.fills);
    let percents = serving.filter_map(|held| {
        let target = held.target_tail?.as_millis() as u64;
        (target > 0).then(|| held.recent * 100 / target)
    });
    percents.max()
}
