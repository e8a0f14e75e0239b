//! Tells targets that fail or crawl from those that serve.
//!
//! The load pattern: one host fails everything it starts, and fails fast. It always has a free
//! slot, so without this module it draws all work. Another host runs at a tenth of its speed: its
//! slots hold requests ten times as long.
//!
//! A host that fails is set aside and probed by one request at a time, less and less often. The
//! grounds for the figures: three failures in a row happen by chance once in a million tries where
//! one in a hundred fails; a host is compared with the others, so that a fault of the requests
//! themselves does not set hosts aside. With nine entries and probes from one to thirty seconds
//! apart, a host that stays broken sees less than one request a second.

use std::time::Duration;

use borageswitch_types::Time;

/// Failures in a row after which a host is set aside while the others hardly fail.
const FAILURES_IN_A_ROW: u32 = 3;
/// The others hardly fail below this share.
const OTHERS_FINE: f64 = 0.05;
/// The share of failures from which a host is set aside, at least.
const FAILING_SHARE: f64 = 0.5;
/// How far above the others' share a host's must be.
const OUTLIER: (f64, f64) = (2.0, 0.2);
/// Tries needed before a share means anything.
const LEAST_TRIES: f64 = 10.0;
/// Over how many tries the share is taken, about.
const MEMORY: f64 = 20.0;
/// A host is slow from this many times the others' run time, and no longer below the second. With
/// three times and eight runs, false alarms among exponential run times cost a tenth more messages
/// about slots at 90 % load.
const SLOW_RATIO: (f64, f64) = (4.0, 2.0);
/// Over how many runs speed is judged, about.
const SPEED_MEMORY: f64 = 12.0;
/// One request speaks for at most this many times its expected run time: a single run of unusual
/// length must not condemn a host.
const MOST_OF_ONE: f64 = 10.0;
/// The first and the longest time between probes.
const PROBE_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Probes that must go well before a host is used as before.
const PASSES: u8 = 3;
/// After this time without trouble the time between probes starts afresh.
const TROUBLE_FORGOTTEN: Duration = Duration::from_secs(60);
/// After this many times the wait, a probe is made even with a request that cannot be tried again.
const PROBE_OVERDUE: u32 = 4;
/// The span of the failure report; it covers between one and two of them.
const REPORT_SPAN: Duration = Duration::from_secs(5);

/// Why a host is not used like the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It fails what it starts.
    Failing,
    /// It runs far longer than the others.
    Slow,
}

/// How a try speaks for or against a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered.
    Good,
    /// It failed, or could not be reached.
    Bad,
    /// The try ended for a reason of the caller's, and says nothing.
    Neutral,
}

#[derive(Debug)]
struct SetAside {
    trouble: Trouble,
    since: Time,
    probe_at: Time,
    passes: u8,
}

/// What is known of one host's health.
#[derive(Debug)]
pub(super) struct Health {
    failed: f64,
    tried: f64,
    in_a_row: u32,
    /// Run times over expected run times, summed over ended runs and over their number.
    slowness: f64,
    ended: f64,
    /// Of the requests in flight: the sums by which their ages over expected run times follow.
    in_flight_rate: f64,
    in_flight_start: f64,
    in_flight: u32,
    set_aside: Option<SetAside>,
    probe_wait: Duration,
    trouble_ended: Time,
    report: Report,
}

#[derive(Debug, Default)]
struct Report {
    since: Time,
    now: (u32, u32),
    before: (u32, u32),
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failed: 0.0,
            tried: 0.0,
            in_a_row: 0,
            slowness: 0.0,
            ended: 0.0,
            in_flight_rate: 0.0,
            in_flight_start: 0.0,
            in_flight: 0,
            set_aside: None,
            probe_wait: PROBE_BOUNDS.0,
            trouble_ended: Time::ZERO,
            report: Report::default(),
        }
    }
}

impl Health {
    /// Takes note of a start; `rate` is one over the expected run time, see [`rate_of`].
    pub(super) fn started(&mut self, now: Time, rate: f64) {
        self.in_flight += 1;
        self.in_flight_rate += rate;
        self.in_flight_start += rate * now.as_micros() as f64;
    }

    /// Takes note of the end of a try that was `started` then with that `rate`.
    pub(super) fn ended(&mut self, now: Time, started: Time, rate: f64, verdict: Verdict) {
        self.in_flight -= 1;
        self.in_flight_rate -= rate;
        self.in_flight_start -= rate * started.as_micros() as f64;
        if self.in_flight == 0 {
            // Sums of many parts drift; an idle host is the moment to start them afresh.
            (self.in_flight_rate, self.in_flight_start) = (0.0, 0.0);
        }
        let ratio = (now.since(started).as_micros() as f64 * rate).min(MOST_OF_ONE);
        if rate > 0.0 {
            self.judge_speed(ratio, verdict);
        }
        self.judge_failure(now, verdict);
        if self.set_aside.as_ref().is_some_and(|aside| started >= aside.since) {
            self.judge_probe(now, ratio, verdict);
        }
    }

    /// How many times the expected run time this host takes, the requests in flight included: a
    /// host that answers nothing has no ended runs to judge it by.
    pub(super) fn slowness(&self, now: Time) -> f64 {
        let ages = self.in_flight_rate * now.as_micros() as f64 - self.in_flight_start;
        let most = MOST_OF_ONE * f64::from(self.in_flight);
        (1.0 + self.slowness + ages.clamp(0.0, most)) / (1.0 + self.ended)
    }

    pub(super) fn is_slow(&self, now: Time, others: f64) -> bool {
        self.set_aside.is_none() && self.slowness(now) >= SLOW_RATIO.0 * others.max(1.0)
    }

    /// Whether the host fails so much more than the others that it should be set aside.
    pub(super) fn is_failing(&self, others: (f64, f64)) -> bool {
        let share = others.0 / others.1.max(1.0);
        if self.in_a_row >= FAILURES_IN_A_ROW && share <= OTHERS_FINE {
            return true;
        }
        let own = self.failed / self.tried.max(1.0);
        let outlier = own >= FAILING_SHARE.max(share * OUTLIER.0 + OUTLIER.1);
        self.tried >= LEAST_TRIES && self.in_a_row > 0 && outlier
    }

    /// Failed and all tries, lately.
    pub(super) fn tries(&self) -> (f64, f64) {
        (self.failed, self.tried)
    }

    pub(super) fn trouble(&self) -> Option<Trouble> {
        self.set_aside.as_ref().map(|aside| aside.trouble)
    }

    pub(super) fn set_aside(&mut self, now: Time, trouble: Trouble) {
        if now.since(self.trouble_ended) > TROUBLE_FORGOTTEN {
            self.probe_wait = PROBE_BOUNDS.0;
        }
        let probe_at = now + self.probe_wait;
        self.set_aside = Some(SetAside { trouble, since: now, probe_at, passes: 0 });
    }

    /// Whether one request may now be sent to find out how the host fares.
    pub(super) fn wants_probe(&self, now: Time, can_try_again: bool) -> bool {
        let Some(aside) = &self.set_aside else { return false };
        let overdue = now >= aside.probe_at + self.probe_wait * PROBE_OVERDUE;
        let harmless = can_try_again || aside.trouble == Trouble::Slow;
        self.in_flight == 0 && now >= aside.probe_at && (harmless || overdue)
    }

    /// Share of failed requests in thousandths, if there were any requests lately.
    pub(super) fn failure_permille(&mut self, now: Time) -> Option<u16> {
        self.report.turn(now);
        let failed = self.report.now.0 + self.report.before.0;
        let all = self.report.now.1 + self.report.before.1;
        (all > 0).then(|| (failed * 1_000 / all) as u16)
    }

    fn judge_speed(&mut self, ratio: f64, verdict: Verdict) {
        // A failure may end early and says nothing of speed; a try given up ran at least so long.
        if verdict == Verdict::Bad {
            return;
        }
        let keep = 1.0 - 1.0 / SPEED_MEMORY;
        if verdict == Verdict::Good {
            self.slowness = self.slowness * keep + ratio;
            self.ended = self.ended * keep + 1.0;
        } else {
            self.slowness += ratio;
        }
    }

    fn judge_failure(&mut self, now: Time, verdict: Verdict) {
        let bad = match verdict {
            Verdict::Good => 0,
            Verdict::Bad => 1,
            Verdict::Neutral => return,
        };
        let keep = 1.0 - 1.0 / MEMORY;
        self.failed = self.failed * keep + f64::from(bad);
        self.tried = self.tried * keep + 1.0;
        self.in_a_row = if bad == 1 { self.in_a_row + 1 } else { 0 };
        self.report.turn(now);
        self.report.now.0 += bad;
        self.report.now.1 += 1;
    }

    fn judge_probe(&mut self, now: Time, ratio: f64, verdict: Verdict) {
        let Some(aside) = &mut self.set_aside else { return };
        let fast = ratio < SLOW_RATIO.1;
        match verdict {
            Verdict::Neutral if fast => {}
            Verdict::Good if fast || aside.trouble == Trouble::Failing => {
                aside.passes += 1;
                aside.probe_at = now;
            }
            _ => {
                aside.passes = 0;
                self.probe_wait = (self.probe_wait * 2).min(PROBE_BOUNDS.1);
                aside.probe_at = now + self.probe_wait;
            }
        }
        if aside.passes >= PASSES {
            self.reopen(now);
        }
    }

    fn reopen(&mut self, now: Time) {
        self.set_aside = None;
        self.trouble_ended = now;
        (self.failed, self.tried, self.in_a_row) = (0.0, 0.0, 0);
        (self.slowness, self.ended) = (0.0, 0.0);
    }
}

impl Report {
    fn turn(&mut self, now: Time) {
        let passed = now.since(self.since);
        if passed < REPORT_SPAN {
            return;
        }
        self.before = if passed < REPORT_SPAN * 2 { self.now } else { (0, 0) };
        self.now = (0, 0);
        self.since = now;
    }
}

/// One over the expected run time in microseconds, or nothing when it was never learned.
///
/// Below a millisecond the network's own noise decides, so nothing shorter is expected.
pub(super) fn rate_of(expected: Option<Duration>) -> f64 {
    expected.map_or(0.0, |expected| 1.0 / (expected.as_micros() as f64).max(1_000.0))
}
