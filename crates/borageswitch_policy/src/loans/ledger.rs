//! What is lent to others and what is held of others.
//!
//! What could go wrong is a slot used twice: by its owner, who believes that the loan has ended,
//! and by its holder, who believes that it lasts. The target then sees more requests than slots
//! and refuses some. Times prevent it: the holder counts the term from before its ask, starts
//! nothing after it, and says so to the owner as long as an earlier start still runs; the owner
//! counts from its later grant, twice as long, and takes a slot back only when the holder has
//! returned it or has been silent for that time.

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
/// Shorter, and slots go back and forth for nothing: with two seconds the ends of terms alone
/// lengthened the waiting. Longer, and slots stay longer with an entry whose load has fallen, where
/// others must find them by asking.
pub const TERM: Duration = Duration::from_secs(10);
/// How long the owner waits for word of a loan whose term has ended.
const GRACE: Duration = Duration::from_millis(2_000);
/// How often a holder says that a request still runs on a slot whose term has ended.
const HOLD_EVERY: Duration = Duration::from_millis(500);
/// A share is handed on only with at least so much of its term left.
const LEAST_TERM: Duration = Duration::from_millis(200);

/// Names a loan: its owner, and its number there.
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

/// A slot whose term has ended while a request still ran on it.
#[derive(Debug)]
struct Overdue {
    host: HostName,
    next_hold: Time,
}

/// What is lent and held at one entry for one service.
#[derive(Debug, Default)]
pub struct Ledger {
    lent: BTreeMap<u64, Lent>,
    held: BTreeMap<LoanKey, Held>,
    overdue: BTreeMap<LoanKey, Overdue>,
    next_loan: u64,
    /// No term ends before this.
    quiet_until: Time,
}

impl Ledger {
    /// Lends one own slot; the caller has counted it out.
    pub fn lend(&mut self, now: Time, me: &DaemonName, host: HostName, epoch: u64) -> SlotShare {
        self.next_loan += 1;
        let loan = self.next_loan;
        let until = now + TERM + GRACE;
        self.quiet_until = self.quiet_until.min(until);
        self.lent.insert(loan, Lent { host: host.clone(), epoch, until });
        SlotShare { owner: me.clone(), loan, host, epoch, term: TERM }
    }

    /// Takes a share that was granted to an ask sent at `asked`; false if it is of no use.
    pub fn hold(&mut self, now: Time, asked: Time, share: SlotShare) -> bool {
        let use_until = asked + share.term;
        let key = (share.owner, share.loan);
        if use_until <= now || self.held.contains_key(&key) || self.overdue.contains_key(&key) {
            return false;
        }
        self.quiet_until = self.quiet_until.min(use_until);
        self.held.insert(key, Held { host: share.host, epoch: share.epoch, use_until });
        true
    }

    /// Hands on a held share of this host with the term that is left, the longest first.
    pub fn hand_on(&mut self, now: Time, host: &HostName) -> Option<SlotShare> {
        let of_host = self.held.iter().filter(|(_, held)| held.host == *host);
        let (key, held) = of_host.max_by_key(|(_, held)| held.use_until)?;
        let (key, term) = (key.clone(), held.use_until.since(now));
        if term < LEAST_TERM {
            return None;
        }
        let held = self.held.remove(&key)?;
        let (owner, loan) = key;
        Some(SlotShare { owner, loan, host: held.host, epoch: held.epoch, term })
    }

    /// Whether a term may have ended, at the cost of one comparison.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.quiet_until
    }

    /// Ends what has come to its end: the hosts whose own slots come back for want of word, and
    /// the held shares that may no longer be used.
    pub fn expire(&mut self, now: Time) -> Expired {
        let lapsed: Vec<u64> = keys_where(&self.lent, |lent| lent.until <= now);
        let ended: Vec<LoanKey> = keys_where(&self.held, |held| held.use_until <= now);
        let own = lapsed.iter().filter_map(|loan| self.lent.remove(loan)).map(|lent| lent.host);
        let expired = Expired {
            own: own.collect(),
            held: ended.into_iter().filter_map(|key| self.end(key)).collect(),
        };
        let lent = self.lent.values().map(|lent| lent.until);
        let held = self.held.values().map(|held| held.use_until);
        self.quiet_until = lent.chain(held).min().unwrap_or(Time::MAX);
        expired
    }

    /// Ends every held share before its term: the members have changed, and with them the owners.
    pub fn end_all(&mut self) -> Vec<(LoanKey, HostName)> {
        let keys: Vec<LoanKey> = self.held.keys().cloned().collect();
        keys.into_iter().filter_map(|key| self.end(key)).collect()
    }

    /// Keeps in mind that a request still runs on an ended share; word goes to its owner at once.
    pub fn keep_overdue(&mut self, now: Time, key: LoanKey, host: HostName) {
        self.overdue.insert(key, Overdue { host, next_hold: now });
    }

    /// An overdue share of this host, if there is one, now given back.
    pub fn settle_overdue(&mut self, host: &HostName) -> Option<LoanKey> {
        let mut of_host = self.overdue.iter().filter(|(_, overdue)| overdue.host == *host);
        let key = of_host.next().map(|(key, _)| key.clone())?;
        self.overdue.remove(&key);
        Some(key)
    }

    /// How many overdue shares of this host there are.
    pub fn overdue_on(&self, host: &HostName) -> u32 {
        self.overdue.values().filter(|overdue| overdue.host == *host).count() as u32
    }

    /// The hosts with overdue shares.
    pub fn overdue_hosts(&self) -> BTreeSet<HostName> {
        self.overdue.values().map(|overdue| overdue.host.clone()).collect()
    }

    /// The overdue shares of which the owner must hear now.
    pub fn due_holds(&mut self, now: Time) -> Vec<LoanKey> {
        let mut due = Vec::new();
        for (key, overdue) in &mut self.overdue {
            if overdue.next_hold <= now {
                overdue.next_hold = now + HOLD_EVERY;
                due.push(key.clone());
            }
        }
        due
    }

    /// An own loan has come back: the host whose slot it is.
    pub fn returned(&mut self, loan: u64) -> Option<HostName> {
        self.lent.remove(&loan).map(|lent| lent.host)
    }

    /// An own loan lasts on.
    pub fn prolong(&mut self, now: Time, loan: u64) {
        if let Some(lent) = self.lent.get_mut(&loan) {
            lent.until = lent.until.max(now + GRACE);
        }
    }

    /// Waits for word of each own loan no longer than after its term: a holder may have gone with
    /// the old members, and the others speak up for what still runs.
    pub fn shorten(&mut self, now: Time) {
        for lent in self.lent.values_mut() {
            lent.until = lent.until.min(now + GRACE);
        }
        self.quiet_until = self.quiet_until.min(now + GRACE);
    }

    /// Drops everything about hosts and epochs that are no longer current.
    pub fn retain<F>(&mut self, is_current: F)
    where
        F: Fn(&HostName, u64) -> bool,
    {
        self.lent.retain(|_, lent| is_current(&lent.host, lent.epoch));
        self.held.retain(|_, held| is_current(&held.host, held.epoch));
    }

    /// How many own slots are lent, and how many of others are held, in use or idle.
    pub fn counts(&self) -> (usize, usize) {
        (self.lent.len(), self.held.len())
    }

    fn end(&mut self, key: LoanKey) -> Option<(LoanKey, HostName)> {
        let held = self.held.remove(&key)?;
        Some((key, held.host))
    }
}

/// What [`Ledger::expire`] has ended.
#[derive(Debug, Default)]
pub struct Expired {
    /// Hosts whose own slots are taken back, one for each loan.
    pub own: Vec<HostName>,
    /// Held shares that may no longer be used.
    pub held: Vec<(LoanKey, HostName)>,
}

fn keys_where<K, V, F>(map: &BTreeMap<K, V>, mut is_met: F) -> Vec<K>
where
    K: Clone + Ord,
    F: FnMut(&V) -> bool,
{
    map.iter().filter(|(_, value)| is_met(value)).map(|(key, _)| key.clone()).collect()
}
