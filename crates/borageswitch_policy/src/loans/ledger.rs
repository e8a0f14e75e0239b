//! Records the slots lent to other entries and borrowed from them.
//!
//! The failure to prevent is a slot used twice: by its owner, after it considers the loan ended,
//! and by its holder, before it does. The target then receives more requests than it has slots and
//! refuses some. The terms of the loan prevent this. The holder counts the term from the time at
//! which it sent its slot request, starts no request after the term, and notifies the owner for as
//! long as an earlier request still runs. The owner counts from its later grant and adds a grace
//! period. It takes a slot back only when the holder has returned it or has sent no notice for that
//! time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{DaemonName, HostName},
    slots::SlotShare,
};

/// How long a loan may be used.
///
/// A shorter term moves slots back and forth for nothing: with two seconds the ends of terms alone
/// lengthened the waiting. A longer term leaves slots longer with an entry whose load has fallen,
/// where others must find them by slot requests.
pub const LOAN_TERM: Duration = Duration::from_secs(10);
/// How long the owner waits for a notice from the holder after the term of a loan.
const GRACE_PERIOD: Duration = Duration::from_millis(2_000);
/// The interval at which a holder notifies the owner that a request still runs on an overdue slot.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);
/// A share is transferred only with at least this much of its term left.
const MIN_TRANSFER_TERM: Duration = Duration::from_millis(200);

/// Identifies a loan by its owner and the owner's number for it.
pub type LoanKey = (DaemonName, u64);

#[derive(Debug)]
struct Lent {
    host: HostName,
    epoch: u64,
    until: Time,
}

#[derive(Debug)]
struct Held {
    host: HostName,
    epoch: u64,
    use_until: Time,
}

/// A slot whose term has ended while a request still runs on it.
#[derive(Debug)]
struct Overdue {
    host: HostName,
    next_notice: Time,
}

/// The loans given and taken by one entry for one service.
#[derive(Debug, Default)]
pub struct Ledger {
    lent: BTreeMap<u64, Lent>,
    held: BTreeMap<LoanKey, Held>,
    overdue: BTreeMap<LoanKey, Overdue>,
    next_loan: u64,
    /// No loan or held share expires before this time.
    next_expiry: Time,
}

impl Ledger {
    /// Lends one own slot; the calling code has already removed it from the usable slots.
    pub fn lend(&mut self, now: Time, me: &DaemonName, host: HostName, epoch: u64) -> SlotShare {
        self.next_loan += 1;
        let loan = self.next_loan;
        let until = now + LOAN_TERM + GRACE_PERIOD;
        self.next_expiry = self.next_expiry.min(until);
        self.lent.insert(loan, Lent { host: host.clone(), epoch, until });
        SlotShare { owner: me.clone(), loan, host, epoch, term: LOAN_TERM }
    }

    /// Accepts a share that was granted to a slot request sent at `requested`; returns false if it
    /// cannot be used.
    pub fn accept(&mut self, now: Time, requested: Time, share: SlotShare) -> bool {
        let use_until = requested + share.term;
        let key = (share.owner, share.loan);
        if use_until <= now || self.held.contains_key(&key) || self.overdue.contains_key(&key) {
            return false;
        }
        self.next_expiry = self.next_expiry.min(use_until);
        self.held.insert(key, Held { host: share.host, epoch: share.epoch, use_until });
        true
    }

    /// Transfers the held share of this host that has the most time left, with its remaining term.
    pub fn transfer(&mut self, now: Time, host: &HostName) -> Option<SlotShare> {
        let of_host = self.held.iter().filter(|(_, held)| held.host == *host);
        let (key, held) = of_host.max_by_key(|(_, held)| held.use_until)?;
        let (key, term) = (key.clone(), held.use_until.since(now));
        if term < MIN_TRANSFER_TERM {
            return None;
        }
        let held = self.held.remove(&key)?;
        let (owner, loan) = key;
        Some(SlotShare { owner, loan, host: held.host, epoch: held.epoch, term })
    }

    /// Returns whether a loan or share may have expired, at the cost of one comparison.
    pub fn may_have_expired(&self, now: Time) -> bool {
        now >= self.next_expiry
    }

    /// Removes expired entries: own loans without a notice from the holder, whose slots come back,
    /// and held shares that may no longer be used.
    pub fn expire(&mut self, now: Time) -> Expired {
        let expired_loans: Vec<u64> = keys_where(&self.lent, |lent| lent.until <= now);
        let ended: Vec<LoanKey> = keys_where(&self.held, |held| held.use_until <= now);
        let own =
            expired_loans.iter().filter_map(|loan| self.lent.remove(loan)).map(|lent| lent.host);
        let expired = Expired {
            own: own.collect(),
            held: ended.into_iter().filter_map(|key| self.end(key)).collect(),
        };
        let lent = self.lent.values().map(|lent| lent.until);
        let held = self.held.values().map(|held| held.use_until);
        self.next_expiry = lent.chain(held).min().unwrap_or(Time::MAX);
        expired
    }

    /// Ends every held share before its term: the members have changed, and with them the owners.
    pub fn end_all(&mut self) -> Vec<(LoanKey, HostName)> {
        let keys: Vec<LoanKey> = self.held.keys().cloned().collect();
        keys.into_iter().filter_map(|key| self.end(key)).collect()
    }

    /// Records that a request still runs on an ended share; the owner is to be notified at once.
    pub fn mark_overdue(&mut self, now: Time, key: LoanKey, host: HostName) {
        self.overdue.insert(key, Overdue { host, next_notice: now });
    }

    /// Removes and returns an overdue share of this host, to be returned to its owner.
    pub fn take_overdue(&mut self, host: &HostName) -> Option<LoanKey> {
        let mut of_host = self.overdue.iter().filter(|(_, overdue)| overdue.host == *host);
        let key = of_host.next().map(|(key, _)| key.clone())?;
        self.overdue.remove(&key);
        Some(key)
    }

    /// Returns the number of overdue shares of this host.
    pub fn overdue_on(&self, host: &HostName) -> u32 {
        self.overdue.values().filter(|overdue| overdue.host == *host).count() as u32
    }

    /// Returns the hosts with overdue shares.
    pub fn overdue_hosts(&self) -> BTreeSet<HostName> {
        self.overdue.values().map(|overdue| overdue.host.clone()).collect()
    }

    /// Returns the overdue shares whose owners have to be notified now.
    pub fn due_notices(&mut self, now: Time) -> Vec<LoanKey> {
        let mut due = Vec::new();
        for (key, overdue) in &mut self.overdue {
            if overdue.next_notice <= now {
                overdue.next_notice = now + NOTICE_INTERVAL;
                due.push(key.clone());
            }
        }
        due
    }

    /// Records that an own loan was returned, and returns the host of its slot.
    pub fn record_return(&mut self, loan: u64) -> Option<HostName> {
        self.lent.remove(&loan).map(|lent| lent.host)
    }

    /// Extends an own loan whose holder still uses it.
    pub fn extend(&mut self, now: Time, loan: u64) {
        if let Some(lent) = self.lent.get_mut(&loan) {
            lent.until = lent.until.max(now + GRACE_PERIOD);
        }
    }

    /// Limits the wait for each own loan to the grace period: its holder may have left with the old
    /// members, and the remaining holders send notices for requests that still run.
    pub fn shorten_waits(&mut self, now: Time) {
        for lent in self.lent.values_mut() {
            lent.until = lent.until.min(now + GRACE_PERIOD);
        }
        self.next_expiry = self.next_expiry.min(now + GRACE_PERIOD);
    }

    /// Drops the loans and shares of hosts and epochs that are no longer current.
    pub fn retain<F>(&mut self, is_current: F)
    where
        F: Fn(&HostName, u64) -> bool,
    {
        self.lent.retain(|_, lent| is_current(&lent.host, lent.epoch));
        self.held.retain(|_, held| is_current(&held.host, held.epoch));
    }

    /// Returns how many own slots are lent, and how many slots of others are held, in use or idle.
    pub fn counts(&self) -> (usize, usize) {
        (self.lent.len(), self.held.len())
    }

    fn end(&mut self, key: LoanKey) -> Option<(LoanKey, HostName)> {
        let held = self.held.remove(&key)?;
        Some((key, held.host))
    }
}

/// The loans and shares that [`Ledger::expire`] removed.
#[derive(Debug, Default)]
pub struct Expired {
    /// Hosts whose own slots are taken back, one for each loan.
    pub own: Vec<HostName>,
    /// Held shares that may no longer be used.
    pub held: Vec<(LoanKey, HostName)>,
}

fn keys_where<K, V, F>(map: &BTreeMap<K, V>, mut predicate: F) -> Vec<K>
where
    K: Clone + Ord,
    F: FnMut(&V) -> bool,
{
    map.iter().filter(|(_, value)| predicate(value)).map(|(key, _)| key.clone()).collect()
}
