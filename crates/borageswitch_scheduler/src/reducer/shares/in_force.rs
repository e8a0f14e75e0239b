//! The division of a pool while shares are in force there, and the classification of its steps.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use borageswitch_types::names::{CallerName, JobName};

use crate::{
    job::Size,
    policy::{
        fair_shares::{Claim, Division, Entitlement},
        order::Urgency,
    },
    reducer::waiting::{WaitingOrder, WaitingStep},
    task::StepKey,
};

/// The urgency of a waiting step whose caller has a share.
#[derive(Clone, Copy, Debug)]
pub(in crate::reducer) struct ByShare {
    pub(in crate::reducer) weight: f64,
    /// Within the share.
    pub(in crate::reducer) within: Urgency,
    /// Beyond the share. Equal to `within` if shares make no difference to the step.
    pub(in crate::reducer) beyond: Urgency,
    /// Within the share, it must run now to be of use, although it will be late.
    pub(in crate::reducer) due: bool,
}

/// The division of a pool as of the last sweep, and what was taken since.
#[derive(Debug)]
pub(in crate::reducer) struct InForce {
    division: Division,
    /// The callers that had runs or waiting work, in the order of their names.
    pub(super) competing: Vec<(CallerName, Claim)>,
    /// What is left for each of them.
    pub(super) entitlements: Vec<Entitlement>,
    /// What is left for callers whose first job came since.
    newcomers: BTreeMap<CallerName, Entitlement>,
    /// The index of the first task beyond the share, of steps with tasks within it.
    first_beyond: BTreeMap<StepKey, u32>,
    /// The steps with tasks beyond the share, as they are sorted in, by caller and urgency.
    steps_beyond: BTreeMap<CallerName, VecDeque<(Urgency, StepKey)>>,
    /// The callers with work beyond their share, the largest excess first.
    pub(super) beyond: Vec<CallerName>,
}

impl InForce {
    /// Divides `capacity`, which includes what the competing callers use, among them.
    pub(super) fn new(capacity: &Size, competing: Vec<(CallerName, Claim)>) -> Self {
        let claims: Vec<Claim> = competing.iter().map(|(_, claim)| *claim).collect();
        let division = Division::of(capacity, &claims);
        let entitlements = division.entitlements.clone();
        let excesses = competing.iter().zip(&entitlements);
        let excesses = excesses.map(|((name, claim), due)| (name, due.excess(claim)));
        let mut beyond: Vec<(&CallerName, f64)> =
            excesses.filter(|(_, excess)| *excess > 0.0).collect();
        beyond.sort_by(|a, b| b.1.total_cmp(&a.1));
        let beyond = beyond.into_iter().map(|(name, _)| name.clone()).collect();
        Self {
            division,
            competing,
            entitlements,
            newcomers: BTreeMap::new(),
            first_beyond: BTreeMap::new(),
            steps_beyond: BTreeMap::new(),
            beyond,
        }
    }

    pub(super) fn position(&self, caller: &CallerName) -> Option<usize> {
        self.competing.binary_search_by(|(name, _)| name.cmp(caller)).ok()
    }

    /// What is left for a caller.
    fn left_for(&mut self, caller: &CallerName, weight: f64) -> &mut Entitlement {
        match self.position(caller) {
            Some(known) => &mut self.entitlements[known],
            None => {
                let newcomer = || self.division.newcomer(weight);
                self.newcomers.entry(caller.clone()).or_insert_with(newcomer)
            }
        }
    }

    /// Takes the waiting tasks of a step from its caller's entitlement, and returns the index of
    /// the first one beyond it.
    fn take(&mut self, caller: &CallerName, weight: f64, step: &WaitingStep) -> u32 {
        let left = self.left_for(caller, weight);
        let all = step.waiting.len();
        let within = match step.gang {
            true if left.take_gang(&step.size, all) => all,
            true => 0,
            false => left.take(&step.size, all),
        };
        step.waiting.get(within).copied().unwrap_or(u32::MAX)
    }

    /// Marks the tasks of a step as within the share or beyond it.
    pub(super) fn classify(&mut self, step: WaitingStep) -> Vec<WaitingStep> {
        let (Some(by_share), Some(charge)) = (step.by_share, step.charge.clone()) else {
            return vec![step];
        };
        let first_beyond = match self.first_beyond.get(&step.key) {
            Some(&index) => index,
            None => {
                let index = self.take(&charge.caller, by_share.weight, &step);
                self.note(&step, index);
                index
            }
        };
        split(step, by_share, first_beyond)
    }

    /// Takes all waiting tasks of the pool from the entitlements of their callers, most urgent
    /// first, and returns the jobs that have to be sorted in anew.
    pub(super) fn reclassify(
        &mut self,
        order: &WaitingOrder,
        were_in_force: bool,
    ) -> BTreeSet<JobName> {
        let mut steps: Vec<(Urgency, &WaitingStep)> =
            order.values().filter_map(|step| Some((step.by_share?.within, step))).collect();
        // The parts of a step that is split have the same urgency here and follow each other.
        steps.sort_by(|(a, left), (b, right)| (a, &left.key).cmp(&(b, &right.key)));
        let mut changed = BTreeSet::new();
        let mut split_before = None;
        for (_, step) in steps {
            let (Some(by_share), Some(charge)) = (step.by_share, &step.charge) else { continue };
            let first_beyond = match split_before.filter(|(key, _)| *key == &step.key) {
                Some((_, index)) => index,
                None => self.take(&charge.caller, by_share.weight, step),
            };
            self.note(step, first_beyond);
            if first_beyond < u32::MAX && split_before.is_none_or(|(key, _)| key != &step.key) {
                split_before = Some((&step.key, first_beyond));
                let queue = self.steps_beyond.entry(charge.caller.clone()).or_default();
                queue.push_back((by_share.beyond, step.key.clone()));
            }
            if !were_in_force || !is_classified(step, by_share, first_beyond) {
                changed.insert(step.key.job.clone());
            }
        }
        changed
    }

    /// Gives a caller back what its ended runs used, takes its next tasks from that, and adds the
    /// jobs that have to be sorted in anew to `changed`.
    pub(super) fn release(
        &mut self,
        caller: &CallerName,
        freed: &Size,
        order: &WaitingOrder,
        changed: &mut BTreeSet<JobName>,
    ) {
        let Some(position) = self.position(caller) else { return };
        self.entitlements[position].give_back(freed);
        let mut queue = self.steps_beyond.remove(caller).unwrap_or_default();
        while let Some(next) = queue.pop_front() {
            // A step that was sorted in elsewhere since waits for the next sweep.
            let Some(step) = order.get(&next) else { continue };
            let weight = step.by_share.map_or(0.0, |by_share| by_share.weight);
            let first_beyond = self.take(caller, weight, step);
            if step.waiting.first().is_some_and(|first| *first < first_beyond) {
                self.note(step, first_beyond);
                changed.insert(next.1.job.clone());
            }
            if first_beyond < u32::MAX {
                queue.push_front(next);
                break;
            }
        }
        self.steps_beyond.insert(caller.clone(), queue);
    }

    /// Charges a task that was started although it is beyond its caller's share.
    pub(super) fn borrow(&mut self, caller: &CallerName, size: &Size) {
        if let Some(position) = self.position(caller) {
            self.entitlements[position].charge(size);
        }
    }

    /// Keeps the index of the first task of a step beyond the share, if any task is within it.
    fn note(&mut self, step: &WaitingStep, first_beyond: u32) {
        let is_within = step.waiting.first().is_some_and(|first| *first < first_beyond);
        if is_within || self.first_beyond.contains_key(&step.key) {
            self.first_beyond.insert(step.key.clone(), first_beyond);
        }
    }
}

/// Whether a step is already sorted in by the given index of its first task beyond the share.
fn is_classified(step: &WaitingStep, by_share: ByShare, first_beyond: u32) -> bool {
    let first = step.waiting.first().copied().unwrap_or_default();
    let last = step.waiting.last().copied().unwrap_or_default();
    match step.beyond {
        true => first >= first_beyond,
        false if by_share.within == by_share.beyond => first < first_beyond,
        false => last < first_beyond,
    }
}

/// Divides the waiting tasks of a step into those within the share and those beyond it.
fn split(mut step: WaitingStep, by_share: ByShare, first_beyond: u32) -> Vec<WaitingStep> {
    let within = step.waiting.partition_point(|index| *index < first_beyond);
    let ByShare { within: urgency, beyond, due, .. } = by_share;
    if urgency == beyond {
        let due = due && within > 0;
        return vec![WaitingStep { urgency, due, beyond: within == 0, ..step }];
    }
    let rest = step.waiting.split_off(within);
    let rest =
        WaitingStep { urgency: beyond, due: false, beyond: true, waiting: rest, ..step.clone() };
    let first = WaitingStep { urgency, due, beyond: false, ..step };
    [first, rest].into_iter().filter(|part| !part.waiting.is_empty()).collect()
}
