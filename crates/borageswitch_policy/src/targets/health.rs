//! Detects failing and slow targets (outlier ejection).
//!
//! Load pattern: one host fails every request, and fails fast. It always has a free slot, so
//! without ejection it attracts all work. Another host runs at a tenth of its speed: its slots hold
//! requests ten times as long.
//!
//! A failing host is ejected and probed by one request at a time, less and less often. Reasons for
//! the constants: three failures in a row happen by chance once in a million attempts where one in
//! a hundred fails. A host is compared with the others, so that a fault of the requests themselves
//! does not eject hosts. With nine entries and probes from one to thirty seconds apart, a host that
//! stays broken receives less than one request a second.

use std::time::Duration;

use borageswitch_types::Time;

/// Consecutive failures after which a host is ejected while the other hosts hardly fail.
const CONSECUTIVE_FAILURES: u32 = 3;
/// The other hosts hardly fail if their failure rate is at most this.
const MAX_NORMAL_FAILURE_RATE: f64 = 0.05;
/// The lowest failure rate at which a host is ejected.
const MIN_FAILURE_RATE: f64 = 0.5;
/// An outlier's failure rate is at least the others' rate times the first plus the second.
const OUTLIER: (f64, f64) = (2.0, 0.2);
/// The number of attempts that a failure rate needs to be significant.
const MIN_ATTEMPTS: f64 = 10.0;
/// The approximate number of attempts over which the failure rate is taken.
const FAILURE_WINDOW: f64 = 20.0;
/// A host is slow from the first of these multiples of the others' run time, and passes a probe
/// below the second multiple of the expected run time. With three times and eight runs, false
/// alarms among exponential run times cost a tenth more messages about slots at 90 % load.
const SLOW_RATIO: (f64, f64) = (4.0, 2.0);
/// The approximate number of runs over which speed is judged.
const SPEED_WINDOW: f64 = 12.0;
/// The largest ratio of run time to expected run time that counts for one request: a single run of
/// unusual length must not eject a host.
const MAX_RATIO: f64 = 10.0;
/// The first and the longest time between probes.
const PROBE_BOUNDS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Successful probes after which an ejected host is used normally again.
const REQUIRED_PASSES: u8 = 3;
/// After this time without an ejection the time between probes starts over.
const PROBE_WAIT_RESET: Duration = Duration::from_secs(60);
/// After this many further probe intervals, a probe may use a request that cannot be retried.
const PROBE_OVERDUE_FACTOR: u32 = 4;
/// The span of the failure report; the report covers between one and two of them.
const REPORT_SPAN: Duration = Duration::from_secs(5);

/// Why a host is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// It fails its requests.
    Failing,
    /// It runs far longer than the others.
    Slow,
}

/// What an attempt says about the health of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The host answered.
    Positive,
    /// The host failed or could not be reached.
    Negative,
    /// The attempt ended for a reason on the caller's side and says nothing about the host.
    Neutral,
}

#[derive(Debug)]
struct Ejection {
    reason: EjectionReason,
    since: Time,
    probe_at: Time,
    passes: u8,
}

/// Failure and speed statistics of one host.
#[derive(Debug)]
pub(super) struct Health {
    failed: f64,
    attempted: f64,
    consecutive_failures: u32,
    /// Run times over expected run times, summed over ended runs, and the number of these.
    slowness: f64,
    ended: f64,
    /// Sums over the requests in flight, from which the sum of their ages over expected run times
    /// follows.
    in_flight_rate: f64,
    in_flight_start: f64,
    in_flight: u32,
    ejection: Option<Ejection>,
    probe_wait: Duration,
    ejection_ended: Time,
    report: FailureReport,
}

#[derive(Debug, Default)]
struct FailureReport {
    since: Time,
    current: (u32, u32),
    previous: (u32, u32),
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failed: 0.0,
            attempted: 0.0,
            consecutive_failures: 0,
            slowness: 0.0,
            ended: 0.0,
            in_flight_rate: 0.0,
            in_flight_start: 0.0,
            in_flight: 0,
            ejection: None,
            probe_wait: PROBE_BOUNDS.0,
            ejection_ended: Time::ZERO,
            report: FailureReport::default(),
        }
    }
}

impl Health {
    /// Records a start; `rate` is one over the expected run time, see [`rate_of`].
    pub(super) fn record_start(&mut self, now: Time, rate: f64) {
        self.in_flight += 1;
        self.in_flight_rate += rate;
        self.in_flight_start += rate * now.as_micros() as f64;
    }

    /// Records the end of an attempt that began at `started` with that `rate`.
    pub(super) fn record_end(&mut self, now: Time, started: Time, rate: f64, signal: HealthSignal) {
        self.in_flight -= 1;
        self.in_flight_rate -= rate;
        self.in_flight_start -= rate * started.as_micros() as f64;
        if self.in_flight == 0 {
            // Sums of many floating-point parts drift, so they are reset when the host is idle.
            (self.in_flight_rate, self.in_flight_start) = (0.0, 0.0);
        }
        let ratio = (now.since(started).as_micros() as f64 * rate).min(MAX_RATIO);
        if rate > 0.0 {
            self.update_speed(ratio, signal);
        }
        self.update_failures(now, signal);
        if self.ejection.as_ref().is_some_and(|active| started >= active.since) {
            self.update_probe(now, ratio, signal);
        }
    }

    /// Returns the ratio of run time to expected run time. Requests in flight are included, since a
    /// host that does not respond has no ended runs to judge it by.
    pub(super) fn slowness(&self, now: Time) -> f64 {
        let ages = self.in_flight_rate * now.as_micros() as f64 - self.in_flight_start;
        let most = MAX_RATIO * f64::from(self.in_flight);
        (1.0 + self.slowness + ages.clamp(0.0, most)) / (1.0 + self.ended)
    }

    pub(super) fn is_slow(&self, now: Time, others: f64) -> bool {
        self.ejection.is_none() && self.slowness(now) >= SLOW_RATIO.0 * others.max(1.0)
    }

    /// Returns whether the host fails so much more than the others that it should be ejected.
    pub(super) fn is_failing(&self, others: (f64, f64)) -> bool {
        let share = others.0 / others.1.max(1.0);
        if self.consecutive_failures >= CONSECUTIVE_FAILURES && share <= MAX_NORMAL_FAILURE_RATE {
            return true;
        }
        let own = self.failed / self.attempted.max(1.0);
        let outlier = own >= MIN_FAILURE_RATE.max(share * OUTLIER.0 + OUTLIER.1);
        self.attempted >= MIN_ATTEMPTS && self.consecutive_failures > 0 && outlier
    }

    /// Returns the decaying counts of failed and of all attempts.
    pub(super) fn attempts(&self) -> (f64, f64) {
        (self.failed, self.attempted)
    }

    pub(super) fn ejection_reason(&self) -> Option<EjectionReason> {
        self.ejection.as_ref().map(|active| active.reason)
    }

    pub(super) fn eject(&mut self, now: Time, reason: EjectionReason) {
        if now.since(self.ejection_ended) > PROBE_WAIT_RESET {
            self.probe_wait = PROBE_BOUNDS.0;
        }
        let probe_at = now + self.probe_wait;
        self.ejection = Some(Ejection { reason, since: now, probe_at, passes: 0 });
    }

    /// Returns whether one request may now be sent as a probe.
    pub(super) fn needs_probe(&self, now: Time, can_retry: bool) -> bool {
        let Some(active) = &self.ejection else { return false };
        let overdue = now >= active.probe_at + self.probe_wait * PROBE_OVERDUE_FACTOR;
        let harmless = can_retry || active.reason == EjectionReason::Slow;
        self.in_flight == 0 && now >= active.probe_at && (harmless || overdue)
    }

    /// Returns the share of failed requests in thousandths, or `None` without recent requests.
    pub(super) fn failure_permille(&mut self, now: Time) -> Option<u16> {
        self.report.rotate(now);
        let failed = self.report.current.0 + self.report.previous.0;
        let all = self.report.current.1 + self.report.previous.1;
        (all > 0).then(|| (failed * 1_000 / all) as u16)
    }

    fn update_speed(&mut self, ratio: f64, signal: HealthSignal) {
        // A failure may end early and says nothing about speed. An abandoned attempt ran at least
        // this long.
        if signal == HealthSignal::Negative {
            return;
        }
        let keep = 1.0 - 1.0 / SPEED_WINDOW;
        if signal == HealthSignal::Positive {
            self.slowness = self.slowness * keep + ratio;
            self.ended = self.ended * keep + 1.0;
        } else {
            self.slowness += ratio;
        }
    }

    fn update_failures(&mut self, now: Time, signal: HealthSignal) {
        let bad = match signal {
            HealthSignal::Positive => 0,
            HealthSignal::Negative => 1,
            HealthSignal::Neutral => return,
        };
        let keep = 1.0 - 1.0 / FAILURE_WINDOW;
        self.failed = self.failed * keep + f64::from(bad);
        self.attempted = self.attempted * keep + 1.0;
        self.consecutive_failures = if bad == 1 { self.consecutive_failures + 1 } else { 0 };
        self.report.rotate(now);
        self.report.current.0 += bad;
        self.report.current.1 += 1;
    }

    fn update_probe(&mut self, now: Time, ratio: f64, signal: HealthSignal) {
        let Some(active) = &mut self.ejection else { return };
        let fast = ratio < SLOW_RATIO.1;
        match signal {
            HealthSignal::Neutral if fast => {}
            HealthSignal::Positive if fast || active.reason == EjectionReason::Failing => {
                active.passes += 1;
                active.probe_at = now;
            }
            _ => {
                active.passes = 0;
                self.probe_wait = (self.probe_wait * 2).min(PROBE_BOUNDS.1);
                active.probe_at = now + self.probe_wait;
            }
        }
        if active.passes >= REQUIRED_PASSES {
            self.end_ejection(now);
        }
    }

    fn end_ejection(&mut self, now: Time) {
        self.ejection = None;
        self.ejection_ended = now;
        (self.failed, self.attempted, self.consecutive_failures) = (0.0, 0.0, 0);
        (self.slowness, self.ended) = (0.0, 0.0);
    }
}

impl FailureReport {
    fn rotate(&mut self, now: Time) {
        let passed = now.since(self.since);
        if passed < REPORT_SPAN {
            return;
        }
        self.previous = if passed < REPORT_SPAN * 2 { self.current } else { (0, 0) };
        self.current = (0, 0);
        self.since = now;
    }
}

/// Returns one over the expected run time in microseconds, or zero if the run time is unknown.
///
/// Expected run times below a millisecond count as one millisecond, because network jitter
/// dominates there.
pub(super) fn rate_of(expected: Option<Duration>) -> f64 {
    expected.map_or(0.0, |expected| 1.0 / (expected.as_micros() as f64).max(1_000.0))
}
