//! The simulated store, and what the next leader would know if the term ended now.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
    sync::Arc,
};

use borageswitch_scheduler::{
    effect::Effect,
    job::Submission,
    ledger::{
        Ledger,
        record::{Outcome, Record, StoredAppend},
        snapshot::Snapshot,
    },
};
use borageswitch_types::names::{ExecutorName, JobName};

use super::Simulation;

/// When terms end.
#[derive(Clone, Copy, Debug)]
pub enum TermEnd {
    /// Once, after the append with this number is stored, before the leader learns of it.
    BeforeConfirmation(u64),
    /// Once, after the append with this number is confirmed and the effects that waited for it are
    /// released.
    AfterEffects(u64),
    /// The first term after its first append, the second after its second, and so on.
    EachAppendInTurn,
}

/// How long a simulation has no leader after a term ended at an append, in milliseconds.
const VACANCY: u64 = 50;

/// The stored submissions, appends and snapshot.
#[derive(Debug, Default)]
pub struct Store {
    submissions: BTreeMap<JobName, Arc<Submission>>,
    appends: BTreeMap<u64, StoredAppend>,
    snapshot: Snapshot,
    /// The last append.
    last: u64,
    /// The last append of the term before.
    last_of_previous_term: u64,
    terms: u64,
    /// All that was ever stored, applied in its order. No removal changes it.
    expected: Ledger,
    gone: BTreeSet<ExecutorName>,
    /// The number of checked effects of each kind.
    pub checked: BTreeMap<&'static str, usize>,
}

impl Store {
    pub fn submit(&mut self, submission: &Arc<Submission>) {
        self.submissions.insert(submission.job.clone(), submission.clone());
        self.expected.submit(submission.clone());
    }

    /// Stores an append and removes the submissions of some jobs.
    pub fn append(&mut self, number: u64, content: StoredAppend, removed: &[JobName]) {
        self.expected.apply_append(&content);
        for record in &content.records {
            if let Record::ExecutorGone { executor } = record {
                self.gone.insert(executor.clone());
            }
        }
        self.appends.insert(number, content);
        self.last = number;
        self.submissions.retain(|job, _| !removed.contains(job));
        *self.checked.entry("removal").or_default() += removed.len();
    }

    pub fn replace_snapshot(&mut self, snapshot: Snapshot, remove: &RangeInclusive<u64>) {
        self.snapshot = snapshot;
        self.appends.retain(|number, _| !remove.contains(number));
    }

    /// The ledger with which the next leader begins, and the number of its first append.
    pub fn restore(&self) -> (Ledger, u64) {
        let mut ledger = self.snapshot.clone().restore(self.submissions.values().cloned());
        let mut last = self.snapshot.through;
        for (number, content) in self.appends.range(self.snapshot.through + 1..) {
            assert_eq!(*number, last + 1, "an append is missing");
            ledger.apply_append(content);
            last = *number;
        }
        (ledger, last + 1)
    }

    /// The stored submissions of jobs that have ended.
    pub fn stale_submissions(&self, ledger: &Ledger) -> Vec<Arc<Submission>> {
        let ended = self.submissions.values().filter(|s| ledger.finished.contains_key(&s.job));
        ended.cloned().collect()
    }

    /// The number of appends that were ever stored.
    pub fn last_append(&self) -> u64 {
        self.last
    }

    /// Compares what the next leader would know with all that was stored.
    pub fn check(&self) -> Option<String> {
        let (restored, _) = self.restore();
        if restored == self.expected {
            return None;
        }
        let expected = &self.expected;
        let differs = |job: &&JobName| {
            restored.jobs.get(*job) != expected.jobs.get(*job)
                || restored.finished.get(*job) != expected.finished.get(*job)
        };
        let jobs: BTreeSet<&JobName> = [&restored, expected]
            .iter()
            .flat_map(|ledger| ledger.jobs.keys().chain(ledger.finished.keys()))
            .filter(differs)
            .collect();
        Some(format!("after append {} the next leader is wrong on {jobs:?}", self.last))
    }

    /// Checks that the next leader would know of an effect that is released now.
    pub fn check_effect(&mut self, effect: &Effect) -> Option<String> {
        let expected = &self.expected;
        let (kind, known) = match effect {
            Effect::Start(_, order) => {
                let job_ended = expected.finished.contains_key(&order.task.job);
                let task = expected.task(&order.task);
                ("start", task.map_or(job_ended, |task| task.last_run >= order.run))
            }
            Effect::Poll(to, order) if order.acknowledged > 0 => {
                let last_end = expected.last_ends.get(&to.executor).copied().unwrap_or_default();
                let is_gone = self.gone.contains(&to.executor);
                ("acknowledgement", order.acknowledged <= last_end || is_gone)
            }
            Effect::OrderHost(host, _) => {
                ("host order", expected.host_orders.min_ages().contains_key(host))
            }
            Effect::ReportWave { wave, completed: true } => {
                ("wave report", expected.completed_waves.contains(wave))
            }
            _ => return None,
        };
        *self.checked.entry(kind).or_default() += 1;
        (!known).then(|| format!("released before its record is stored: {effect:?}"))
    }

    /// Checks that the next leader would know of an outcome that is reported now.
    pub fn check_reported(&mut self, job: &JobName, outcome: Outcome) -> Option<String> {
        *self.checked.entry("outcome").or_default() += 1;
        let stored = self.expected.finished.get(job).map(|finished| finished.outcome);
        (stored != Some(outcome)).then(|| format!("{job} is reported as {outcome}, not {stored:?}"))
    }
}

impl Simulation {
    /// Ends the term if it is to end after this append, before the leader learns that it is stored.
    pub(super) fn ends_term_before_confirmation(&mut self, append: u64) -> bool {
        let ends = match self.term_end {
            Some(TermEnd::BeforeConfirmation(last)) => append == last,
            Some(TermEnd::EachAppendInTurn) => {
                self.is_last_in_turn() && self.store.terms.is_multiple_of(2)
            }
            Some(TermEnd::AfterEffects(_)) | None => false,
        };
        if ends {
            self.end_term();
        }
        ends
    }

    /// Ends the term if it is to end after the last append, whose effects are released by now.
    pub(super) fn end_term_after_effects(&mut self) {
        let ends = match self.term_end {
            Some(TermEnd::AfterEffects(last)) => self.store.last == last,
            Some(TermEnd::EachAppendInTurn) => self.is_last_in_turn(),
            Some(TermEnd::BeforeConfirmation(_)) | None => false,
        };
        if ends && self.leader.is_some() {
            self.end_term();
        }
    }

    fn is_last_in_turn(&self) -> bool {
        self.store.last > self.store.last_of_previous_term + self.store.terms
    }

    fn end_term(&mut self) {
        if !matches!(self.term_end, Some(TermEnd::EachAppendInTurn)) {
            self.term_end = None;
        }
        self.store.terms += 1;
        self.store.last_of_previous_term = self.store.last;
        self.crash_leader(VACANCY);
    }
}
