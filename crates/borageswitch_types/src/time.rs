//! Time as the reducer and the policies see it.
//!
//! No decision reads a clock. Each event carries the [`Time`] at which it is handled, so that the
//! same events give the same decisions in the daemon, in golden sessions and in randomised runs.

use std::{
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

/// A point on the monotonic clock of one process, in microseconds since an arbitrary start.
///
/// Two processes' times cannot be compared: what crosses a connection is a [`Duration`].
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);
    /// Later than every other point: the deadline of something that never ends.
    pub const MAX: Time = Time(u64::MAX);

    /// The point `micros` microseconds after the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The point `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time since `earlier`, or nothing if `earlier` lies in the future.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

impl Sub<Time> for Time {
    type Output = Duration;

    fn sub(self, rhs: Time) -> Duration {
        self.since(rhs)
    }
}

/// Milliseconds since 1970 by the host's wall clock.
///
/// Used only where another machine must judge a time, such as the not-after time of a command to
/// a host, and always with a margin for clocks that differ.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);
