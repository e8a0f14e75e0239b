//! What each event makes of a job.

use std::time::Duration;

use borageswitch_types::{
    Time,
    fleet::Reason,
    names::{HostName, JobName, OperationId, TeamName},
};

use crate::placement::{
    CHECKPOINT_LIMIT, Effect, Event, Placement,
    hosts::HostRoom,
    job::{Job, JobRecord, JobState, Outcome, Size, StopReason},
    leases::Lease,
};

/// A job that has failed on so many hosts is given up.
const MOST_FAILURES: usize = 3;
/// A failed job waits so long before its second start; each further failure doubles it.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// A start without an answer is asked about this often.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// A job that will most likely end by itself within this time is left to it when its host leaves.
const LEFT_TO_END: Duration = Duration::from_secs(60);

impl Placement {
    pub(super) fn take_event(&mut self, now: Time, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submit { name, job } => self.submit(now, name, job, effects),
            Event::Cancel { name } => self.cancel(now, &name, effects),
            Event::CancelTeam { team } => self.cancel_team(now, &team, effects),
            Event::Recorded { name, operation } => self.recorded(now, &name, &operation, effects),
            Event::NotRecorded { name, operation } => self.not_recorded(now, &name, &operation),
            Event::Started { name, operation } => self.started(now, &name, &operation),
            Event::NotStarted { name, operation } => {
                self.not_started(now, &name, &operation, effects);
            }
            Event::Usage { name, operation, peak } => {
                self.usage(now, &name, &operation, peak, effects);
            }
            Event::Checkpointed { name, operation } => {
                self.checkpointed(&name, &operation, effects);
            }
            Event::Stopped { name, operation } => self.stopped(now, &name, &operation, effects),
            Event::Finished { name, operation, failure } => {
                self.finished(now, &name, &operation, failure, effects);
            }
            Event::HostSet { name, host } => self.host_set(now, name, host, effects),
            Event::KeptAlive { name, asked } => self.kept_alive(&name, asked),
            Event::HostGone { name } => self.host_gone(now, &name, effects),
            Event::QuotaSet { team, quota } => {
                self.quotas.insert(team, quota);
            }
            Event::Tick => self.tick(now, effects),
        }
    }

    fn submit(&mut self, now: Time, name: JobName, job: Job, effects: &mut Vec<Effect>) {
        if self.jobs.contains_key(&name) {
            return;
        }
        self.sequence += 1;
        let record = JobRecord {
            size: self.learned.size_of(&job),
            job,
            sequence: self.sequence,
            state: JobState::Waiting { since: now, not_before: now },
            peak: None,
            starts: 0,
            failed_on: Default::default(),
        };
        self.queue.insert(&record.job, record.sequence, &name);
        self.jobs.insert(name.clone(), record);
        if let Some(reason) = self.never(&name) {
            self.end(&name, Outcome::Refused { reason }, effects);
        }
    }

    /// Ends a job for good and answers at once.
    pub(super) fn end(&mut self, name: &JobName, outcome: Outcome, effects: &mut Vec<Effect>) {
        self.set_state(name, JobState::Ended(outcome.clone()));
        effects.push(Effect::Answer { name: name.clone(), outcome });
    }

    /// Puts a job back into the queue.
    pub(super) fn wait(&mut self, now: Time, name: &JobName) {
        self.set_state(name, JobState::Waiting { since: now, not_before: now });
    }

    fn cancel(&mut self, now: Time, name: &JobName, effects: &mut Vec<Effect>) {
        let Some(record) = self.jobs.get(name) else { return };
        match record.state {
            JobState::Waiting { .. } | JobState::Claiming { .. } => {
                let ran = record.starts > 0;
                self.end(name, Outcome::Cancelled { ran }, effects);
            }
            // The start has not left and will not: nothing is sent for an intent that is void.
            JobState::Intended { .. } => {
                self.end(name, Outcome::Cancelled { ran: false }, effects);
            }
            JobState::Starting { .. } | JobState::Running { .. } | JobState::Stopping { .. } => {
                self.begin_stop(now, name, StopReason::Cancelled, effects);
            }
            JobState::Ended(_) => {}
        }
    }

    fn cancel_team(&mut self, now: Time, team: &TeamName, effects: &mut Vec<Effect>) {
        let names: Vec<JobName> = self
            .jobs
            .iter()
            .filter(|(_, record)| {
                record.job.team == *team && !matches!(record.state, JobState::Ended(_))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.cancel(now, &name, effects);
        }
    }

    /// The state of a job, if it is still about this start.
    fn state_of(&self, name: &JobName, operation: &OperationId) -> Option<&JobState> {
        let state = &self.jobs.get(name)?.state;
        (state.operation() == Some(operation)).then_some(state)
    }

    fn recorded(
        &mut self,
        now: Time,
        name: &JobName,
        operation: &OperationId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(JobState::Intended { host, .. }) = self.state_of(name, operation) else { return };
        let host = host.clone();
        let operation = operation.clone();
        let starting = JobState::Starting { host: host.clone(), operation, since: now };
        self.set_state(name, starting);
        let Some(record) = self.jobs.get_mut(name) else { return };
        record.starts += 1;
        // A payroll run that is started twice pays twice. Whatever path led here, a second start
        // of such a job means that its first was taken for one that never happened.
        assert!(record.job.idempotent || record.starts == 1, "{name} would be started twice");
        let Some(operation) = record.state.operation().cloned() else { return };
        let size = record.size;
        self.leases.entry(host.clone()).or_insert_with(|| Lease::new(now)).note_sent(now);
        effects.push(Effect::Start { name: name.clone(), host, operation, size });
    }

    fn not_recorded(&mut self, now: Time, name: &JobName, operation: &OperationId) {
        if let Some(JobState::Intended { .. }) = self.state_of(name, operation) {
            self.wait(now, name);
        }
    }

    fn started(&mut self, now: Time, name: &JobName, operation: &OperationId) {
        let Some(JobState::Starting { host, .. }) = self.state_of(name, operation) else { return };
        let (host, operation) = (host.clone(), operation.clone());
        self.set_state(name, JobState::Running { host, operation, since: now });
    }

    /// The agent has not started the job and never will: this alone makes a start undone.
    fn not_started(
        &mut self,
        now: Time,
        name: &JobName,
        operation: &OperationId,
        effects: &mut Vec<Effect>,
    ) {
        let undone = matches!(
            self.state_of(name, operation),
            Some(JobState::Starting { .. } | JobState::Stopping { .. })
        );
        let Some(record) = self.jobs.get_mut(name).filter(|_| undone) else { return };
        record.starts -= 1;
        let cancelled =
            matches!(record.state, JobState::Stopping { why: StopReason::Cancelled, .. });
        if cancelled {
            self.end(name, Outcome::Cancelled { ran: false }, effects);
        } else {
            self.wait(now, name);
        }
    }

    /// A job that uses more than was reserved for it is believed at once; if its host is too full
    /// by now, the least urgent job that may run again has to go.
    fn usage(
        &mut self,
        now: Time,
        name: &JobName,
        operation: &OperationId,
        peak: Size,
        effects: &mut Vec<Effect>,
    ) {
        let Some(JobState::Running { host, .. }) = self.state_of(name, operation) else { return };
        let host = host.clone();
        let Some(record) = self.jobs.get_mut(name) else { return };
        record.peak = Some(record.peak.unwrap_or_default().largest(&peak));
        if peak.fits(&record.size) {
            return;
        }
        let size = record.size.largest(&peak);
        self.set_size(name, size);
        let Some(room) = self.hosts.get(&host).map(|host| host.room) else { return };
        if !self.held_on(&host).fits(&room) {
            self.lighten(now, &host, effects);
        }
    }

    fn lighten(&mut self, now: Time, host: &HostName, effects: &mut Vec<Effect>) {
        let able = self.jobs_on(host).filter_map(|name| {
            let record = self.jobs.get(name)?;
            let running = matches!(record.state, JobState::Running { .. });
            (running && record.job.idempotent).then_some((
                record.job.urgency,
                record.sequence,
                name.clone(),
            ))
        });
        if let Some((_, _, name)) = able.max() {
            self.begin_stop(now, &name, StopReason::HostFull, effects);
        }
    }

    /// Asks a job to end: with a checkpoint first, unless it has none or is not wanted any more.
    pub(super) fn begin_stop(
        &mut self,
        now: Time,
        name: &JobName,
        why: StopReason,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.jobs.get(name) else { return };
        let (Some(host), Some(operation)) = (record.state.host(), record.state.operation()) else {
            return;
        };
        let (host, operation) = (host.clone(), operation.clone());
        let checkpoints = record.job.checkpoints && why != StopReason::Cancelled;
        let state = JobState::Stopping {
            host: host.clone(),
            operation: operation.clone(),
            why,
            checkpoint_since: checkpoints.then_some(now),
        };
        self.set_state(name, state);
        let name = name.clone();
        effects.push(match checkpoints {
            true => Effect::Checkpoint { name, host, operation },
            false => Effect::Stop { name, host, operation },
        });
    }

    fn checkpointed(&mut self, name: &JobName, operation: &OperationId, effects: &mut Vec<Effect>) {
        let state = self.state_of(name, operation).cloned();
        if let Some(JobState::Stopping { host, why, checkpoint_since: Some(_), operation }) = state
        {
            let stopping = JobState::Stopping {
                host: host.clone(),
                operation: operation.clone(),
                why,
                checkpoint_since: None,
            };
            self.set_state(name, stopping);
            effects.push(Effect::Stop { name: name.clone(), host, operation });
        }
    }

    fn stopped(
        &mut self,
        now: Time,
        name: &JobName,
        operation: &OperationId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(JobState::Stopping { why, .. }) = self.state_of(name, operation) else { return };
        let why = *why;
        let Some(record) = self.jobs.get(name) else { return };
        if why == StopReason::Cancelled {
            return self.end(name, Outcome::Cancelled { ran: true }, effects);
        }
        // Only a job that may run again is ever asked to give way or to move.
        assert!(record.job.idempotent, "{name} was stopped though it must not run twice");
        self.wait(now, name);
    }

    fn finished(
        &mut self,
        now: Time,
        name: &JobName,
        operation: &OperationId,
        failure: Option<Reason>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.state_of(name, operation).cloned() else { return };
        let Some(host) = state.host().cloned() else { return };
        let Some(record) = self.jobs.get_mut(name) else { return };
        let Some(reason) = failure else {
            if let (JobState::Running { since, .. }, Some(peak)) = (state, record.peak) {
                self.learned.note(&record.job, peak, now.since(since));
            }
            self.hosts.note_success(&host);
            return self.end(name, Outcome::Done, effects);
        };
        record.failed_on.insert(host.clone());
        let failures = record.failed_on.len();
        let idempotent = record.job.idempotent;
        let nowhere_left =
            self.hosts.of_pool(&record.job.pool).all(|(name, _)| record.failed_on.contains(name));
        self.hosts.note_failure(now, &host, &record.job.team, &record.job.kind);
        if !idempotent || nowhere_left || failures >= MOST_FAILURES {
            return self.end(name, Outcome::Failed { reason }, effects);
        }
        let backoff = FIRST_BACKOFF * 2_u32.pow(failures as u32 - 1);
        self.set_state(name, JobState::Waiting { since: now, not_before: now + backoff });
    }

    fn host_set(&mut self, now: Time, name: HostName, host: HostRoom, effects: &mut Vec<Effect>) {
        let leaves = host.leaving;
        self.hosts.set(name.clone(), host);
        if leaves {
            self.vacate(now, &name, effects);
        }
    }

    /// Has the jobs of a host that is to stop end, or go on elsewhere from a checkpoint.
    fn vacate(&mut self, now: Time, host: &HostName, effects: &mut Vec<Effect>) {
        for name in self.jobs_on(host).cloned().collect::<Vec<_>>() {
            let Some(record) = self.jobs.get(&name) else { continue };
            match record.state {
                JobState::Claiming { .. } => self.wait(now, &name),
                JobState::Running { since, .. } => {
                    let rest = self.learned.time_of(&record.job).saturating_sub(now.since(since));
                    let movable = record.job.idempotent && record.job.checkpoints;
                    if movable && rest > LEFT_TO_END {
                        self.begin_stop(now, &name, StopReason::HostLeaves, effects);
                    }
                }
                _ => {}
            }
        }
    }

    fn host_gone(&mut self, now: Time, host: &HostName, effects: &mut Vec<Effect>) {
        self.hosts.remove(host);
        self.leases.remove(host);
        for name in self.jobs_on(host).cloned().collect::<Vec<_>>() {
            let Some(record) = self.jobs.get(&name) else { continue };
            let cancelled =
                matches!(record.state, JobState::Stopping { why: StopReason::Cancelled, .. });
            // While the intent is being recorded no start has left this holder.
            let unsent =
                matches!(record.state, JobState::Claiming { .. } | JobState::Intended { .. });
            if cancelled {
                self.end(&name, Outcome::Cancelled { ran: true }, effects);
            } else if record.job.idempotent || unsent {
                self.wait(now, &name);
            } else {
                let reason = format!("{host} was lost after the start and it must not run twice");
                self.end(&name, Outcome::Unknown { reason: reason.into() }, effects);
            }
        }
    }

    /// Bounds the waits: a checkpoint that takes too long is given up, a start without an answer
    /// is asked about.
    fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.renew_leases(now, effects);
        let names: Vec<JobName> = self.held.unsettled.iter().cloned().collect();
        for name in names {
            let Some(record) = self.jobs.get_mut(&name) else { continue };
            match &mut record.state {
                JobState::Stopping { host, operation, checkpoint_since, .. }
                    if checkpoint_since.is_some_and(|at| now.since(at) >= CHECKPOINT_LIMIT) =>
                {
                    *checkpoint_since = None;
                    let (host, operation) = (host.clone(), operation.clone());
                    effects.push(Effect::Stop { name, host, operation });
                }
                JobState::Starting { host, operation, since } if now.since(*since) >= ASK_AGAIN => {
                    *since = now;
                    let (host, operation) = (host.clone(), operation.clone());
                    effects.push(Effect::Ask { name, host, operation });
                }
                _ => {}
            }
        }
    }

    fn renew_leases(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.leases.retain(|host, _| self.held.jobs.contains_key(host));
        let mut lapsed = Vec::new();
        for (host, lease) in &mut self.leases {
            if lease.has_lapsed(now) {
                lapsed.push(host.clone());
            } else if lease.is_due(now) {
                lease.note_sent(now);
                effects.push(Effect::KeepAlive { host: host.clone(), asked: now });
            }
        }
        for host in lapsed {
            self.host_gone(now, &host, effects);
        }
    }

    fn kept_alive(&mut self, host: &HostName, asked: Time) {
        if let Some(lease) = self.leases.get_mut(host) {
            lease.note_confirmed(asked);
        }
    }
}
