//! Learns what jobs of a kind really take.
//!
//! Load pattern: teams declare sizes and run times that are far off, mostly too large, sometimes
//! too small. Placed as declared, hosts stand half empty or run out of memory. The largest of the
//! last few runs of a kind, with a margin, follows a change of the work within as many runs and
//! does not forget the last large one at once, as an average would.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use borageswitch_types::{fleet::Reason, names::TeamName};

use crate::placement::job::{Job, Size};

/// Runs of a kind that are remembered.
const REMEMBERED: usize = 8;
/// Before so many runs what the team declares counts.
const ENOUGH: usize = 3;
/// The largest remembered use counts with this margin, in hundredths.
const MARGIN_PERCENT: u64 = 120;

/// What one run has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Run {
    peak: Size,
    time: Duration,
}

/// What the last runs of each kind have used.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Learned {
    kinds: BTreeMap<TeamName, BTreeMap<Reason, VecDeque<Run>>>,
}

impl Learned {
    fn runs(&self, job: &Job) -> Option<&VecDeque<Run>> {
        self.kinds.get(&job.team)?.get(&job.kind).filter(|runs| runs.len() >= ENOUGH)
    }

    /// What to reserve for a job.
    ///
    /// Accelerators are given whole and stay as declared: a job that uses one less by chance still
    /// asks its host for all of them.
    pub fn size_of(&self, job: &Job) -> Size {
        let Some(runs) = self.runs(job) else { return job.declared };
        let peak = runs.iter().fold(Size::default(), |peak, run| peak.largest(&run.peak));
        Size { accelerators: job.declared.accelerators, ..peak.percent(MARGIN_PERCENT) }
    }

    /// How long a job will most likely run at the most.
    pub fn time_of(&self, job: &Job) -> Duration {
        let longest = self.runs(job).and_then(|runs| runs.iter().map(|run| run.time).max());
        longest.unwrap_or(job.declared_run)
    }

    /// Notes a run that has ended by itself.
    pub fn note(&mut self, job: &Job, peak: Size, time: Duration) {
        let kinds = self.kinds.entry(job.team.clone()).or_default();
        let runs = kinds.entry(job.kind.clone()).or_default();
        runs.push_back(Run { peak, time });
        if runs.len() > REMEMBERED {
            runs.pop_front();
        }
    }
}
