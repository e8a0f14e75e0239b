//! Incidents of several faults in a row: an outage of the store with a takeover at its end, lost
//! responses, gaps of the watch, losses of power of all leaders, and leaders that run behind.

use borageswitch_types::names::{ExecutorName, JobName};

use super::{Simulation, processor::Processor};

/// The shortest and the longest outage of the store that begins an incident, in milliseconds.
const MIN_OUTAGE_MS: u64 = 5_000;
const MAX_OUTAGE_MS: u64 = 6_000;
/// The longest time from the end of the outage to the next leader, in milliseconds.
const MAX_ELECTION_MS: u64 = 50;
/// The longest time for which the leader is out of office before the end of the outage, in
/// milliseconds.
const MAX_VACANCY_MS: u64 = 1_500;
/// For how long responses are lost after an outage, in milliseconds, and their share.
const RESPONSE_LOSS_MS: u64 = 3_000;
const LOST_PER_MILLE: u32 = 800;
/// The shortest and the longest time from an outage to the second one, in milliseconds.
const MIN_SECOND_OUTAGE_AFTER_MS: u64 = 8_000;
const MAX_SECOND_OUTAGE_AFTER_MS: u64 = 33_000;
/// The shortest and the longest second outage, and loss of power of all leaders, in milliseconds.
const MIN_SECOND_OUTAGE_MS: u64 = 2_000;
const MAX_SECOND_OUTAGE_MS: u64 = 3_000;
/// For how long after an outage lists of hosts are older than its end, in milliseconds.
const OLD_LISTS_MS: u64 = 2_000;
/// How much older than the end of the outage such a list is at most, in milliseconds.
const MAX_AGE_BEFORE_RETURN_MS: u64 = 1_000;
/// The shortest and the longest gap of the watch: a removal that is announced at its beginning may
/// be over when it ends. In milliseconds.
const MIN_WATCH_GAP_MS: u64 = 3_000;
const MAX_WATCH_GAP_MS: u64 = 5_000;
/// The shortest and the longest time between two crashes of executors of one job, in milliseconds.
const MIN_TURN_MS: u64 = 200;
const MAX_TURN_MS: u64 = 1_500;
/// The shortest and the longest time for which an executor fails what it starts, in milliseconds.
const MIN_FAILING_MS: u64 = 2_000;
const MAX_FAILING_MS: u64 = 6_000;
/// The most executors that fail what they start at once.
const MAX_FAILING_EXECUTORS: usize = 3;
/// The greatest difference between a leader's wall clock and the true time, in milliseconds.
const MAX_CLOCK_DIFFERENCE_MS: i64 = 3_000;
/// The shortest and the longest time for which a leader runs behind, in milliseconds.
const MIN_BEHIND_MS: u64 = 1_000;
const MAX_BEHIND_MS: u64 = 4_000;
/// How long a call and an event take a leader that runs behind, in microseconds.
const BEHIND_MICROS_PER_CALL: i64 = 3_000;
const BEHIND_MICROS_PER_EVENT: i64 = 2_000;

/// A part of an incident that comes later.
#[derive(Clone, Debug)]
enum Scheduled {
    /// The leader ends; the next one takes over once the store is back.
    LeaderEnds,
    /// The store is away for a second time.
    SecondOutage,
    /// An executor crashes.
    Crash(ExecutorName),
}

/// The state of the incidents.
#[derive(Clone, Debug, Default)]
pub(super) struct Incidents {
    scheduled: Vec<(u64, Scheduled)>,
    responses_lost_until: u64,
    watch_gap_until: u64,
    behind_until: u64,
    /// When the store is back after the outage of the last incident, whatever else happens.
    pub(super) store_back_at: u64,
    /// How much the leader's wall clock is ahead, in milliseconds.
    pub(super) clock_ahead: i64,
}

impl Simulation {
    pub(super) fn inject_incidents(&mut self) {
        if self.rare_chance(self.faults.incident) {
            self.begin_incident();
        }
        if self.rare_chance(self.faults.leaders_lose_power) {
            self.cut_power_of_leaders();
        }
        if self.rare_chance(self.faults.announcement_gap) {
            self.incidents.watch_gap_until =
                self.now + self.rng.u64(MIN_WATCH_GAP_MS..MAX_WATCH_GAP_MS);
            self.trace(|| format!("no registrations until {}", self.incidents.watch_gap_until));
            self.announce_removal();
        }
        if self.rare_chance(self.faults.crashes_in_turn) {
            self.schedule_crashes_in_turn();
        }
        if self.rare_chance(self.faults.failing_executors) {
            self.let_executors_fail();
        }
        if self.faults.leader_behind > 0 {
            self.slow_leader_down();
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.incidents.scheduled)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.incidents.scheduled = later;
        let due: Vec<(u64, Scheduled)> = due;
        due.into_iter().for_each(|(_, scheduled)| self.carry_out(scheduled));
    }

    /// The store is away, and the leader loses its authority shortly before the store is back.
    /// Responses are lost right after, and half a minute later the store is away again.
    fn begin_incident(&mut self) {
        let back_at = self.now + self.rng.u64(MIN_OUTAGE_MS..MAX_OUTAGE_MS);
        self.store_outage_until = self.store_outage_until.max(back_at);
        let back_at = self.store_outage_until;
        self.trace(|| format!("incident: the store is away until {back_at}"));
        self.expire_registrations();
        self.expire_registrations_of_ended();
        if self.rng.bool() {
            self.announce_removal();
        }
        let leader_ends = back_at - self.rng.u64(1..MAX_VACANCY_MS);
        let second = back_at + self.rng.u64(MIN_SECOND_OUTAGE_AFTER_MS..MAX_SECOND_OUTAGE_AFTER_MS);
        self.incidents.scheduled.push((leader_ends, Scheduled::LeaderEnds));
        self.incidents.scheduled.push((second, Scheduled::SecondOutage));
        self.incidents.responses_lost_until = back_at + RESPONSE_LOSS_MS;
        self.incidents.store_back_at = back_at;
    }

    fn carry_out(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::LeaderEnds => self.end_leader_with_unanswered_append(0),
            Scheduled::SecondOutage if self.rng.bool() => self.cut_power_of_leaders(),
            Scheduled::SecondOutage => {
                let until = self.now + self.rng.u64(MIN_SECOND_OUTAGE_MS..MAX_SECOND_OUTAGE_MS);
                self.store_outage_until = self.store_outage_until.max(until);
                self.trace(|| format!("the store is away until {}", self.store_outage_until));
            }
            Scheduled::Crash(executor) => {
                if !self.dead.contains(&executor) {
                    self.trace(|| format!("{executor} crashes in turn"));
                    self.crash(&executor);
                }
            }
        }
    }

    fn cut_power_of_leaders(&mut self) {
        let pause = self.rng.u64(MIN_SECOND_OUTAGE_MS..MAX_SECOND_OUTAGE_MS);
        self.store_outage_until = self.store_outage_until.max(self.now + pause);
        self.trace(|| format!("all leaders lose power for {pause} ms"));
        self.end_leader_with_unanswered_append(pause);
    }

    /// Ends the leader. The store may have carried out its last appends, whose answers are lost.
    fn end_leader_with_unanswered_append(&mut self, pause: u64) {
        if self.leader.is_none() {
            return;
        }
        let token = self.token;
        let pending = std::mem::take(&mut self.pending_appends);
        let written = self.rng.usize(..=pending.len());
        let sent = pending.into_iter().filter(|(of, ..)| *of == token);
        for (_, append, content, forget) in sent.take(written) {
            self.trace(|| format!("append {append} is written without an answer"));
            self.store.append(append, content, &forget);
            self.violations.extend(self.store.check());
        }
        let until_back = self.store_outage_until.saturating_sub(self.now);
        let pause = pause.max(until_back) + self.rng.u64(..MAX_ELECTION_MS);
        self.trace(|| format!("leader ends, the next one at {}", self.now + pause));
        self.crash_leader(pause);
    }

    /// The executors that run the tasks of one lasting job crash one after the other.
    fn schedule_crashes_in_turn(&mut self) {
        let lasting: Vec<JobName> = self
            .submissions
            .values()
            .filter(|submission| submission.spec.is_lasting())
            .map(|submission| submission.job.clone())
            .collect();
        if lasting.is_empty() {
            return;
        }
        let job = lasting[self.rng.usize(..lasting.len())].clone();
        let runs = |executor: &ExecutorName| {
            !self.dead.contains(executor)
                && self.executors[executor].active.keys().any(|task| task.job == job)
        };
        let victims: Vec<ExecutorName> =
            self.executors.keys().filter(|executor| runs(executor)).cloned().collect();
        self.trace(|| format!("{} executors of {job} crash in turn", victims.len()));
        let mut at = self.now;
        for victim in victims {
            at += self.rng.u64(MIN_TURN_MS..MAX_TURN_MS);
            self.incidents.scheduled.push((at, Scheduled::Crash(victim)));
        }
    }

    fn let_executors_fail(&mut self) {
        let mut alive: Vec<ExecutorName> =
            self.executors.keys().filter(|name| !self.dead.contains(*name)).cloned().collect();
        let count = self.rng.usize(1..=MAX_FAILING_EXECUTORS);
        self.rng.shuffle(&mut alive);
        for name in alive.into_iter().take(count) {
            let until = self.now + self.rng.u64(MIN_FAILING_MS..MAX_FAILING_MS);
            self.trace(|| format!("{name} fails what it starts until {until}"));
            if let Some(executor) = self.executors.get_mut(&name) {
                executor.fails_until = until;
            }
        }
    }

    /// Makes the leader take time for its calls and events for some seconds.
    fn slow_leader_down(&mut self) {
        if self.rare_chance(self.faults.leader_behind) {
            self.incidents.behind_until = self.now + self.rng.u64(MIN_BEHIND_MS..MAX_BEHIND_MS);
            self.trace(|| format!("the leader runs behind until {}", self.incidents.behind_until));
        }
        let is_behind = self.now < self.incidents.behind_until;
        let processor = self.processor.get_or_insert_with(|| Processor::new(0, 0));
        match is_behind {
            true => processor.set_costs(BEHIND_MICROS_PER_CALL, BEHIND_MICROS_PER_EVENT),
            false => processor.set_costs_to_usual(),
        }
    }

    /// Whether the response to a call that is sent now is lost after an outage.
    pub(super) fn loses_response(&mut self) -> bool {
        self.now < self.incidents.responses_lost_until
            && self.now >= self.incidents.store_back_at
            && self.rng.u32(..1_000) < LOST_PER_MILLE
    }

    /// Whether the leader learns of no registration now because its watch has a gap.
    pub(super) fn is_in_watch_gap(&self) -> bool {
        self.now < self.incidents.watch_gap_until
    }

    /// The age of a list of hosts that is older than the end of an outage, shortly after it.
    pub(super) fn age_before_return(&mut self) -> Option<u64> {
        let since = self.now.checked_sub(self.incidents.store_back_at)?;
        (self.incidents.store_back_at > 0 && since < OLD_LISTS_MS)
            .then(|| since + self.rng.u64(..MAX_AGE_BEFORE_RETURN_MS))
    }

    /// Draws the difference of the next leader's wall clock.
    pub(super) fn draw_leader_clock(&mut self) {
        if self.faults.leader_clocks {
            self.incidents.clock_ahead =
                self.rng.i64(-MAX_CLOCK_DIFFERENCE_MS..MAX_CLOCK_DIFFERENCE_MS);
        }
    }

    /// Ends all incidents. The wall clock of the present leader stays as it is.
    pub(super) fn clear_incidents(&mut self) {
        let clock_ahead = self.incidents.clock_ahead;
        self.incidents = Incidents { clock_ahead, ..Incidents::default() };
        self.executors.values_mut().for_each(|executor| executor.fails_until = 0);
        if let Some(processor) = &mut self.processor {
            processor.set_costs_to_usual();
        }
    }
}
