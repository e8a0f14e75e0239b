//! Maintenance waves.
//!
//! Hosts of the pools with the least work come first. A wave never has more hosts out of service at
//! once than the operator permits; a host counts until the platform lists it as up again.
//!
//! The platform may list a new host late. A host that was listed and no longer is has left; one that
//! was never listed may still appear, until the wave's time is over.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{HostName, PoolName},
};

use crate::{
    effect::Effect,
    event::Now,
    fleet::{HostEntry, HostState, WaveRequest},
    ledger::record::Record,
    reducer::{
        Scheduler,
        hosts::{Purpose, Stage},
    },
};

/// The waves that are not completed.
#[derive(Debug, Default)]
pub struct Waves {
    open: BTreeMap<u64, OpenWave>,
}

/// A wave that is not completed.
#[derive(Clone, Debug)]
struct OpenWave {
    request: WaveRequest,
    /// When this leader learned of the request in its present form.
    known_since: Time,
    /// The hosts of the wave that any list in this term has named.
    listed: BTreeSet<HostName>,
}

impl OpenWave {
    fn new(request: WaveRequest, now: Time) -> Self {
        Self { request, known_since: now, listed: BTreeSet::new() }
    }

    fn note_listed(&mut self, hosts: &BTreeMap<HostName, HostEntry>) {
        let listed = self.request.hosts.iter().filter(|host| hosts.contains_key(*host));
        self.listed.extend(listed.cloned());
    }

    /// Whether the time that the operator allows is over.
    fn is_overdue(&self, now: Time) -> bool {
        now.since(self.known_since) >= self.request.allowed
    }
}

impl Waves {
    /// Whether any wave is not completed.
    pub fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// The waves that are not completed.
    pub fn open(&self) -> impl Iterator<Item = u64> {
        self.open.keys().copied()
    }

    /// Records which hosts of open waves are listed.
    pub(super) fn note_listed(&mut self, hosts: &BTreeMap<HostName, HostEntry>) {
        for wave in self.open.values_mut() {
            wave.note_listed(hosts);
        }
    }

    /// The request for a wave that is not completed.
    pub fn request(&self, wave: u64) -> Option<&WaveRequest> {
        self.open.get(&wave).map(|wave| &wave.request)
    }
}

impl Scheduler {
    pub(super) fn wave_requested(&mut self, now: Now, request: WaveRequest) {
        let wave = request.wave;
        if self.ledger.completed_waves.contains(&wave) {
            self.effects.push(Effect::ReportWave { wave, completed: true });
            return;
        }
        if let Some(known) = self.waves.open.get_mut(&wave) {
            if known.request != request {
                known.request = request;
                known.known_since = now.time;
                known.note_listed(&self.fleet.hosts);
            }
            return;
        }
        self.log("wave-heard", wave, || {
            let hosts = request.hosts.len();
            format!(
                "hosts={hosts} at_once={} allowed_ms={}",
                request.max_down,
                request.allowed.as_millis()
            )
        });
        self.effects.push(Effect::ReportWave { wave, completed: false });
        let mut open = OpenWave::new(request, now.time);
        open.note_listed(&self.fleet.hosts);
        self.waves.open.insert(wave, open);
    }

    pub(super) fn advance_waves(&mut self, now: Now) {
        if self.fleet.listed.is_none_or(|listed| listed < self.took_over_at) {
            return;
        }
        let waves: Vec<OpenWave> = self.waves.open.values().cloned().collect();
        for wave in waves {
            self.advance_wave(now, &wave);
        }
    }

    fn advance_wave(&mut self, now: Now, wave: &OpenWave) {
        let due = self.due_hosts(&wave.request);
        if due.is_empty() {
            if self.never_listed(wave).is_empty() || wave.is_overdue(now.time) {
                self.complete(now, wave);
            }
            return;
        }
        let wave = &wave.request;
        let taken = self.count_unavailable(now, wave);
        let free = (wave.max_down as usize).saturating_sub(taken);
        if free == 0 {
            return;
        }
        let work = self.work_by_pool();
        let mut waiting: Vec<(u64, HostName)> = due
            .into_iter()
            // A host drained before it may be ordered would be idle for the rest of the pause.
            .filter(|host| {
                !self.fleet.withdrawals.contains_key(host) && !self.is_order_paused(now.time, host)
            })
            .filter(|host| self.fleet.hosts[host].state == HostState::Up)
            .map(|host| (work.get(&self.fleet.hosts[&host].pool).copied().unwrap_or(0), host))
            .collect();
        waiting.sort();
        for (_, host) in waiting.into_iter().take(free) {
            self.withdraw(now, &host, Purpose::Maintain(wave.wave));
        }
    }

    /// The hosts of a wave that still exist and whose maintenance has not begun.
    pub(super) fn due_hosts(&self, wave: &WaveRequest) -> Vec<HostName> {
        let begun = self.ledger.maintained.get(&wave.wave);
        let begun: BTreeSet<&HostName> = begun.into_iter().flatten().collect();
        let is_begun = |host: &HostName| begun.contains(host);
        let due = wave.hosts.iter().filter(|host| !is_begun(host));
        due.filter(|host| self.fleet.hosts.contains_key(*host)).cloned().collect()
    }

    /// The hosts of a wave whose maintenance has not begun and that no list in this term has named.
    fn never_listed<'a>(&self, wave: &'a OpenWave) -> Vec<&'a HostName> {
        let begun = self.ledger.maintained.get(&wave.request.wave);
        let is_begun = |host: &HostName| begun.is_some_and(|begun| begun.contains(host));
        let unlisted = wave.request.hosts.iter().filter(|host| !wave.listed.contains(*host));
        unlisted.filter(|host| !is_begun(host)).collect()
    }

    /// How many hosts count as out of service for the wave: those that are, those that are about to
    /// be, and those that an earlier leader's order may still take away or has taken away. Without
    /// the last, a new leader could order the next host while such an order is in flight or lists
    /// are older than it, and exceed the limit by one.
    fn count_unavailable(&self, now: Now, wave: &WaveRequest) -> usize {
        let begun = self.ledger.maintained.get(&wave.wave);
        let begun: BTreeSet<&HostName> = begun.into_iter().flatten().collect();
        let is_begun = |host: &HostName| begun.contains(host);
        let counts = |host: &&HostName| {
            let chosen = self.fleet.withdrawals.get(*host).is_some_and(|withdrawal| {
                withdrawal.purpose == Purpose::Maintain(wave.wave)
                    || matches!(withdrawal.stage, Stage::Away { .. })
            });
            let away = self.fleet.hosts.get(*host).is_some_and(|entry| {
                matches!(
                    entry.state,
                    HostState::InMaintenance | HostState::Unknown | HostState::Unreadable
                )
            });
            let ordered = self.is_order_paused(now.time, host) && !is_begun(host);
            let inherited = || self.may_be_away(now.time, host, is_begun(host));
            chosen || away || ordered || inherited()
        };
        wave.hosts.iter().filter(counts).count()
    }

    /// The work of each pool per host, in thousandths of a core.
    fn work_by_pool(&self) -> BTreeMap<PoolName, u64> {
        let work = |pool: &PoolName| {
            let members = self.executors.of_pool(pool).map(|(_, known)| known.used().cpu_milli);
            let (count, taken) =
                members.fold((0, 0_u64), |(n, all), taken| (n + 1, all.saturating_add(taken)));
            taken.checked_div(count).unwrap_or(0)
        };
        self.executors.pools().map(|pool| (pool.clone(), work(pool))).collect()
    }

    fn complete(&mut self, now: Now, open: &OpenWave) {
        let wave = open.request.wave;
        self.waves.open.remove(&wave);
        let never_listed = self.never_listed(open).len();
        let begun = self.ledger.maintained.get(&wave).map_or(0, Vec::len);
        let list_age = self.fleet.listed.map_or(Duration::ZERO, |listed| now.time.since(listed));
        self.log("wave-completed", wave, || {
            let (hosts, age_ms) = (open.request.hosts.len(), list_age.as_millis());
            format!("hosts={hosts} begun={begun} never_listed={never_listed} list_age_ms={age_ms}")
        });
        self.record(Record::WaveCompleted { wave });
        self.outbox.defer_wave_report(wave);
    }
}
