//! When the tasks of a silent host have stopped for certain.
//!
//! Load pattern: a host or its network goes silent while its tasks run on. Started again elsewhere
//! at once, a task would run twice. An agent stops its tasks by itself when their lease ends, so a
//! holder that asks for no renewal any more knows when they have stopped. One renewal covers all
//! tasks of a host, so that this traffic grows with hosts, not with jobs.

use std::time::Duration;

use borageswitch_types::Time;

/// How long an agent lets tasks run without a renewal.
pub const LEASE: Duration = Duration::from_secs(30);
/// A renewal is asked for this often.
pub const RENEWAL: Duration = Duration::from_secs(10);
/// By how much an agent's clock may be slow over one lease, and how late a renewal may arrive.
pub const LEASE_MARGIN: Duration = Duration::from_secs(5);

/// What a holder knows of the lease of a host's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Lease {
    /// When something that renews the lease was last sent; it may have arrived unconfirmed.
    sent: Time,
    /// When the last renewal that was confirmed had been sent.
    confirmed: Time,
}

impl Lease {
    /// The lease of a host to which a start is being sent.
    pub fn new(now: Time) -> Self {
        Self { sent: now, confirmed: now }
    }

    /// Notes that something which renews the lease is being sent.
    pub fn note_sent(&mut self, now: Time) {
        self.sent = now;
    }

    /// Notes that the renewal sent at `asked` has arrived.
    pub fn note_confirmed(&mut self, asked: Time) {
        self.confirmed = self.confirmed.max(asked);
    }

    /// Whether a renewal should be sent now: not to a host that has been silent for a whole lease,
    /// since its tasks could then never be known to have stopped.
    pub fn is_due(&self, now: Time) -> bool {
        now.since(self.sent) >= RENEWAL && !self.is_silent(now)
    }

    /// Whether a further start may be sent.
    pub fn is_silent(&self, now: Time) -> bool {
        now.since(self.confirmed) >= LEASE
    }

    /// Whether all tasks of the host have stopped for want of a renewal.
    pub fn has_lapsed(&self, now: Time) -> bool {
        self.is_silent(now) && now.since(self.sent) >= LEASE + LEASE_MARGIN
    }
}
