//! Divides the capacity of a pool among callers when not all of their work can be served.
//!
//! One caller submits several times its usual load for some seconds. By their deadlines its jobs
//! are as urgent as all others, so every caller's jobs are late, those of the smallest callers the
//! most. A limit on the jobs that a caller submits per second does not prevent this: it ignores how
//! large the jobs are, what the caller's tasks already use, and how much others leave unused.
//!
//! So each caller is due the part of the pool that its weight gives it (weighted max-min fairness).
//! What a caller does not need goes to the others at once. Where several resources are limiting, a
//! caller's part is that of the resource of which it needs the largest part of the pool (dominant
//! resource fairness).
//!
//! The division is made anew every 50 ms. By its present use alone, a caller whose tasks are short
//! would seem to have had nothing each time that they end. The recent past therefore counts as
//! well: the sum of a caller's past and present use is what is divided by weight.

use std::time::Duration;

use crate::job::Size;

/// The time after which past use counts half. It is about the duration of a load peak of short
/// jobs: what a caller used in the peak before does not count in this one.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Differences of this size, in parts of a pool, come from rounding.
const ROUNDING: f64 = 1e-9;
/// The least weight in relation to the largest one. Smaller weights count as this, which keeps all
/// sums exact enough for [`ROUNDING`].
const MIN_WEIGHT: f64 = 1e-6;
/// Past use of less than a fiftieth of a core, 20 MB and a fiftieth of an accelerator is forgotten:
/// what a task of one core used, some 11 s after its end.
const NEGLIGIBLE: Amounts = [20.0, 20.0, 0.02];
/// A rate below this is what rounding leaves when all that made it up has been subtracted.
const MIN_RATE: f64 = 1e-12;

/// An amount of each resource.
type Amounts = [f64; 3];

/// The past use of a caller: the mean over the past, in which older use counts less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PastUse(Amounts);

impl PastUse {
    /// The past use of a caller that has used `used` for long.
    pub fn steady(used: &Size) -> Self {
        Self(amounts(used))
    }

    /// Accounts for a period in which the caller used `used`; see [`part_kept`].
    pub fn advance(&mut self, used: &Size, part_kept: f64) {
        for (past, used) in self.0.iter_mut().zip(amounts(used)) {
            *past = used + (*past - used) * part_kept;
        }
    }

    /// Returns whether the past use is too small to matter.
    pub fn is_negligible(&self) -> bool {
        self.0.iter().zip(NEGLIGIBLE).all(|(past, negligible)| *past < negligible)
    }
}

/// Returns the part of past use that still counts after a period.
pub fn part_kept(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

/// What a caller uses and requests in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claim {
    /// The weight of the caller. A caller of weight 0 is due only what all others leave.
    pub weight: f64,
    /// What its tasks use.
    pub used: Size,
    /// What its waiting tasks would use.
    pub waiting: Size,
    /// Its past use.
    pub past: PastUse,
}

impl Claim {
    /// What the caller uses and requests, as a part of the pool by its dominant resource.
    fn requested(&self, capacity: &Size) -> f64 {
        dominant(&parts_of(&(self.used + self.waiting), capacity))
    }
}

/// What is left of the part of a pool that a caller is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    /// The part of the pool that the caller is due, by its dominant resource; infinite if it is due
    /// all that it could request.
    due: f64,
    /// What the caller's runs and its waiting tasks within the share take, as parts of the pool.
    taken: Amounts,
    capacity: Size,
}

impl Entitlement {
    /// The part of the pool that the caller gets: what it is due, but at most what it requests.
    pub fn granted(&self, claim: &Claim) -> f64 {
        self.due.min(claim.requested(&self.capacity))
    }

    /// What the caller requests beyond what it is due, as a part of the pool.
    pub fn excess(&self, claim: &Claim) -> f64 {
        let excess = claim.requested(&self.capacity) - self.due;
        if excess > ROUNDING { excess } else { 0.0 }
    }

    /// Takes what `tasks` independent tasks of one size need, and returns how many of them are
    /// within the share. The last one may exceed the share by a part of its size: a caller whose
    /// share is smaller than a task would otherwise never be within it.
    pub fn take(&mut self, size: &Size, tasks: usize) -> usize {
        let parts = parts_of(size, &self.capacity);
        let until_due = parts.iter().zip(&self.taken).filter(|(part, _)| **part > 0.0);
        let until_due =
            until_due.map(|(part, taken)| ((self.due - taken) / part - ROUNDING).ceil());
        let fitting = until_due.fold(f64::INFINITY, f64::min).max(0.0);
        let within = if fitting < tasks as f64 { fitting as usize } else { tasks };
        add(&mut self.taken, &parts, within as f64);
        within
    }

    /// Gives back what a run used that has ended.
    pub fn give_back(&mut self, size: &Size) {
        add(&mut self.taken, &parts_of(size, &self.capacity), -1.0);
    }

    /// Charges a run that was started although it is beyond the share.
    pub fn charge(&mut self, size: &Size) {
        add(&mut self.taken, &parts_of(size, &self.capacity), 1.0);
    }

    /// Takes what a gang needs, and returns whether it is within the share; see [`Self::take`].
    pub fn take_gang(&mut self, size: &Size, tasks: usize) -> bool {
        self.take(&size.times(tasks as u64), 1) == 1
    }
}

/// The division of a pool among callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Division {
    /// What each claim is entitled to, in their order.
    pub entitlements: Vec<Entitlement>,
    capacity: Size,
    largest_weight: f64,
    /// What a caller without use is due per unit of the largest weight.
    level: f64,
    /// What a caller of weight 0 is due.
    unweighted_level: f64,
}

impl Division {
    /// Divides `capacity`, which includes what the callers use, among them.
    pub fn of(capacity: &Size, claims: &[Claim]) -> Self {
        let weights = claims.iter().map(|claim| claim.weight).filter(|weight| is_positive(*weight));
        let largest_weight = weights.reduce(f64::max).unwrap_or(1.0);
        let lines = claims.iter().map(|claim| Line::new(capacity, claim, largest_weight));
        let mut lines: Vec<Line> = lines.collect();
        let mut taken = Amounts::default();
        let (mut weighted, mut unweighted): (Vec<&mut Line>, Vec<&mut Line>) =
            lines.iter_mut().partition(|line| line.is_weighted);
        let level = fill(&mut weighted, &mut taken);
        let unweighted_level = fill(&mut unweighted, &mut taken);
        let entitlements = claims.iter().zip(&lines).map(|(claim, line)| Entitlement {
            due: line.due(),
            taken: parts_of(&claim.used, capacity),
            capacity: *capacity,
        });
        let entitlements = entitlements.collect();
        Self { entitlements, capacity: *capacity, largest_weight, level, unweighted_level }
    }

    /// What a caller is entitled to that had no claim at the time of the division.
    pub fn newcomer(&self, weight: f64) -> Entitlement {
        let due = match is_positive(weight) {
            true => self.level * relative(weight, self.largest_weight),
            false => self.unweighted_level,
        };
        Entitlement { due, taken: Amounts::default(), capacity: self.capacity }
    }
}

/// A claim while the level rises up to which the callers are served. At each level, a caller's past
/// and present use together are the level times its weight, but it gets no more than it requests.
#[derive(Debug)]
struct Line {
    is_weighted: bool,
    weight: f64,
    /// The past use, by the dominant resource.
    past: f64,
    /// The level at which the caller begins to get anything.
    start: f64,
    /// The level at which it has all that it requests.
    end: f64,
    /// What it takes of each resource per unit of the level, as parts of the pool.
    rate: Amounts,
    /// The level at which a resource that it needs is exhausted.
    stopped: f64,
}

impl Line {
    fn new(capacity: &Size, claim: &Claim, largest_weight: f64) -> Self {
        let is_weighted = is_positive(claim.weight);
        let weight = if is_weighted { relative(claim.weight, largest_weight) } else { 1.0 };
        let wanted = parts_of(&(claim.used + claim.waiting), capacity);
        let demand = dominant(&wanted);
        let past = dominant(&parts_of_amounts(&claim.past.0, capacity));
        let rate = if demand > 0.0 { wanted.map(|part| part * weight / demand) } else { wanted };
        Self {
            is_weighted,
            weight,
            past,
            start: past / weight,
            end: (past + demand) / weight,
            rate,
            stopped: f64::INFINITY,
        }
    }

    /// What the caller takes at a level.
    fn amounts(&self, level: f64) -> Amounts {
        let risen = (level.min(self.end) - self.start).max(0.0);
        self.rate.map(|rate| rate * risen)
    }

    /// The part of the pool that the caller is due.
    fn due(&self) -> f64 {
        (self.stopped * self.weight - self.past).max(0.0)
    }
}

/// Raises the level of all lines until each has what it requests or a resource that it needs is
/// exhausted. Adds what they get to `taken`, and returns the level at which the first resource was
/// exhausted.
fn fill(lines: &mut [&mut Line], taken: &mut Amounts) -> f64 {
    let mut turns: Vec<(f64, usize, f64)> = Vec::with_capacity(lines.len() * 2);
    for (number, line) in lines.iter().enumerate() {
        turns.extend([(line.start, number, 1.0), (line.end, number, -1.0)]);
    }
    turns.sort_by(|a, b| a.0.total_cmp(&b.0));
    let exhausted = taken.iter().any(|taken| *taken > 1.0 - ROUNDING);
    let mut first = if exhausted { 0.0 } else { f64::INFINITY };
    while let Some((level, resource)) = next_exhausted(lines, &turns, taken) {
        first = first.min(level);
        let stopping = lines.iter_mut().filter(|l| l.stopped.is_infinite());
        for line in stopping.filter(|line| line.rate[resource] > 0.0) {
            line.stopped = level;
            add(taken, &line.amounts(level), 1.0);
        }
    }
    for line in lines.iter().filter(|line| line.stopped.is_infinite()) {
        add(taken, &line.amounts(f64::INFINITY), 1.0);
    }
    first
}

/// The lowest level at which a resource is exhausted by lines that have not been stopped, and that
/// resource.
fn next_exhausted(
    lines: &[&mut Line],
    turns: &[(f64, usize, f64)],
    taken: &Amounts,
) -> Option<(f64, usize)> {
    let (mut taken, mut rate, mut level) = (*taken, Amounts::default(), 0.0);
    for &(turn, number, sign) in turns {
        let line = &lines[number];
        if line.stopped.is_finite() {
            continue;
        }
        let reached = (0..rate.len()).filter(|&r| rate[r] > MIN_RATE).filter_map(|r| {
            let left = (1.0 - taken[r]).max(0.0) / rate[r];
            (level + left < turn - ROUNDING).then_some((level + left, r))
        });
        if let Some(exhausted) = reached.min_by(|a, b| a.0.total_cmp(&b.0)) {
            return Some(exhausted);
        }
        add(&mut taken, &rate, turn - level);
        add(&mut rate, &line.rate, sign);
        level = turn;
    }
    None
}

fn add(sum: &mut Amounts, amounts: &Amounts, times: f64) {
    for (sum, amount) in sum.iter_mut().zip(amounts) {
        *sum += amount * times;
    }
}

fn relative(weight: f64, largest: f64) -> f64 {
    (weight / largest).max(MIN_WEIGHT)
}

fn is_positive(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}

fn amounts(size: &Size) -> Amounts {
    [size.cpu_milli as f64, size.memory_mb as f64, size.accelerators as f64]
}

fn parts_of(size: &Size, capacity: &Size) -> Amounts {
    parts_of_amounts(&amounts(size), capacity)
}

/// The parts of a pool. A resource that the pool does not have limits nobody.
fn parts_of_amounts(needed: &Amounts, capacity: &Size) -> Amounts {
    let mut parts = amounts(capacity);
    for (part, needed) in parts.iter_mut().zip(needed) {
        *part = if *part > 0.0 { needed / *part } else { 0.0 };
    }
    parts
}

fn dominant(parts: &Amounts) -> f64 {
    parts.iter().copied().fold(0.0, f64::max)
}

#[cfg(test)]
mod tests;
