//! Explanations of the scheduler's state for operators.
//!
//! Nothing is decided here: each line names the inputs of a decision that is made elsewhere.

use std::collections::BTreeMap;

use borageswitch_types::names::{CallerName, HostName, JobName, PoolName};

use crate::{
    event::Now,
    job::{Size, Step},
    ledger::job::{Job, Occurrence, StepState},
    policy::{advice, crash_attribution::SuspicionLevel, order::Urgency},
    reducer::{
        Scheduler,
        executors::Executor,
        places::{fits_labels, reserved_size},
        shares::report::ShareDump,
        waiting::charge_of,
    },
    task::StepKey,
};

/// The most runs that are listed for one step: a response has to fit into one message, and nobody
/// reads thousands of lines.
const MAX_LISTED_RUNS: usize = 50;

/// The object of an operator's request for an explanation.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum Subject {
    /// A job.
    #[display("job {_0}")]
    Job(JobName),
    /// A host.
    #[display("host {_0}")]
    Host(HostName),
    /// A maintenance wave.
    #[display("wave {_0}")]
    Wave(u64),
}

/// A summary of the leader's state.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct StateDump {
    /// How long the leader has led, in milliseconds.
    pub leads_for_ms: u64,
    /// The version of the configuration in force.
    pub config_version: Option<u64>,
    /// The number of jobs that have not ended, by pool.
    pub open_jobs: BTreeMap<PoolName, usize>,
    /// The number of ended jobs whose outcome is still kept.
    pub ended_jobs: usize,
    /// A line for each executor.
    pub executors: Vec<String>,
    /// The number of hosts in the platform's list.
    pub hosts: usize,
    /// The age of the host list in milliseconds.
    pub hosts_age_ms: Option<u64>,
    /// A line for each host that is being taken out of service, with the purpose and the stage.
    pub withdrawals: Vec<String>,
    /// Maintenance waves that are not completed.
    pub open_waves: Vec<u64>,
    /// The number of runs that executors have or may have.
    pub runs: usize,
    /// The callers that use any capacity or have waiting tasks, with their quota and share.
    pub callers: BTreeMap<CallerName, CallerDump>,
}

/// A summary of one caller's use.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct CallerDump {
    /// The capacity that its tasks use.
    pub used: Size,
    /// The capacity that they may use at once; 0 sets no limit.
    pub quota: Size,
    /// Its share, in jobs a second.
    pub weight: f64,
    /// The number of start orders for its tasks without a response.
    pub on_way: u32,
    /// The capacity that its waiting tasks need.
    pub waiting: Size,
    /// The age of its oldest job with waiting tasks, in milliseconds.
    pub waits_for_ms: u64,
    /// What it is due of each pool in which shares are in force.
    pub shares: BTreeMap<PoolName, ShareDump>,
}

impl Scheduler {
    /// Explains the state of a job, host or wave, one statement per line; empty if it is unknown.
    pub fn explain(&self, now: Now, subject: &Subject) -> Vec<String> {
        match subject {
            Subject::Job(job) => self.explain_job(now, job),
            Subject::Host(host) => self.explain_host(now, host),
            Subject::Wave(wave) => self.explain_wave(*wave),
        }
    }

    /// Summarises the leader's state.
    pub fn dump(&self, now: Now) -> StateDump {
        let mut open_jobs: BTreeMap<PoolName, usize> = BTreeMap::new();
        for job_state in self.job_states.values() {
            *open_jobs.entry(job_state.pool.clone()).or_default() += 1;
        }
        let executors = self.executors.iter().map(|(name, known)| {
            let (runs, free) = (known.runs.len(), known.free().cpu_milli);
            let pool = &known.registration.pool;
            let state = unschedulable_reason(known, now).unwrap_or("open");
            format!("{name}: pool={pool} state={state} runs={runs} free_cpu_milli={free}")
        });
        let withdrawals = self.fleet.withdrawals.iter().map(|(host, withdrawal)| {
            format!("{host}: {:?}, {:?}", withdrawal.purpose, withdrawal.stage)
        });
        StateDump {
            leads_for_ms: now.time.since(self.took_over_at).as_millis() as u64,
            config_version: self.config.as_ref().map(|config| config.version),
            open_jobs,
            ended_jobs: self.ledger.finished.len(),
            executors: executors.collect(),
            hosts: self.fleet.hosts.len(),
            hosts_age_ms: self.fleet.listed.map(|at| now.time.since(at).as_millis() as u64),
            withdrawals: withdrawals.collect(),
            open_waves: self.waves.open().collect(),
            runs: self.executors.values().map(|known| known.runs.len()).sum(),
            callers: self.dump_callers(now),
        }
    }

    fn explain_job(&self, now: Now, name: &JobName) -> Vec<String> {
        if let Some(ended) = self.ledger.finished.get(name) {
            let age = now.wall.0.saturating_sub(ended.at.0);
            let mut lines =
                vec![format!("{} {age} ms ago, of queue {}", ended.outcome, ended.queue)];
            lines.extend(self.ledger.given_up.get(name).map(ToString::to_string));
            return lines;
        }
        let (Some(job), Some(job_state)) = (self.ledger.jobs.get(name), self.job_states.get(name))
        else {
            return Vec::new();
        };
        let age = now.time.since(job_state.accepted).as_millis();
        let queue = &job.submission.queue.name;
        let mut lines =
            vec![format!("accepted {age} ms ago, queue {queue}, pool {}", job_state.pool)];
        if job.progress.open.is_empty() {
            lines.push(format!("{} occurrences have begun, none is due", job.progress.begun));
        }
        lines.extend(self.explain_suspects(name));
        for (&occurrence, open) in &job.progress.open {
            let urgency = Urgency::of(&self.view_of(job, job_state, occurrence), now.time);
            lines.push(format!("occurrence {occurrence}: urgency {:?}", urgency.class()));
            for (number, state) in open.steps.iter().enumerate() {
                let key = StepKey { job: name.clone(), occurrence, step: number as u16 };
                lines.extend(self.explain_step(now, job, open, &key, state));
            }
        }
        lines
    }

    /// Lists the tasks of a job under which executors have crashed, and how they are treated.
    fn explain_suspects(&self, name: &JobName) -> Vec<String> {
        let suspects = self.ledger.suspects_of(name).take(MAX_LISTED_RUNS);
        let lines = suspects.map(|(task, crashes)| {
            let treated = match SuspicionLevel::of(crashes) {
                SuspicionLevel::Clear => "scheduled like others",
                SuspicionLevel::Suspect => "kept away from other suspects",
                SuspicionLevel::Isolated => {
                    "started apart from all suspects, while executors of its pool hardly crash"
                }
                SuspicionLevel::Poison => "not started any more",
            };
            let listed: Vec<String> = crashes.iter().map(ToString::to_string).collect();
            format!("{task} is {treated}; executors crashed under it: {}", listed.join("; "))
        });
        lines.collect()
    }

    fn explain_step(
        &self,
        now: Now,
        job: &Job,
        open: &Occurrence,
        key: &StepKey,
        state: &StepState,
    ) -> Vec<String> {
        let Some(step) = job.step(key.step) else { return Vec::new() };
        let number = key.step;
        let all = state.tasks.len();
        if state.is_done() {
            return vec![format!("step {number}: all {all} tasks are done")];
        }
        if !job.is_unblocked(open, step) {
            return vec![format!("step {number}: waits for the steps {:?}", step.after)];
        }
        let waiting = state.tasks.iter().filter(|task| task.is_waiting()).count();
        let failures: u32 = state.tasks.iter().map(|task| u32::from(task.failures)).sum();
        let runs = all - state.done as usize - waiting;
        let mut lines = vec![format!(
            "step {number}: {} of {all} tasks done, {runs} assigned, {waiting} waiting, \
             {failures} failures",
            state.done
        )];
        let assigned = state.tasks.iter().enumerate().filter_map(|(index, task)| {
            let assigned = task.assigned.as_ref()?;
            let (run, executor) = (assigned.run, &assigned.executor);
            Some(format!("step {number}: task {index} is run {run} on {executor}"))
        });
        lines.extend(assigned.take(MAX_LISTED_RUNS));
        let failed = self.ledger.counted_ends.of_step(key).map(|(task, ends)| {
            let ends: Vec<String> = ends.iter().map(ToString::to_string).collect();
            format!("step {number}: task {} has failed: {}", task.index, ends.join("; "))
        });
        lines.extend(failed.take(MAX_LISTED_RUNS));
        let backing_off =
            |index: &u32| self.failed_starts.is_backing_off(now.time, &key.task(*index));
        let backing_off = (0..step.count).filter(backing_off).count();
        if backing_off > 0 {
            lines.push(format!("step {number}: {backing_off} tasks wait after starts that failed"));
        }
        if waiting > 0 {
            lines.extend(self.explain_share(key));
            lines.push(self.explain_waiting(now, key, step));
        }
        lines
    }

    /// Explains why no executor takes a waiting task of a step: counts the executors by reason.
    fn explain_waiting(&self, now: Now, key: &StepKey, step: &Step) -> String {
        let Some(pool) = self.pool_of(&key.job) else { return "no pool is known".to_owned() };
        if let Some(line) = self.explain_quota(key, step) {
            return line;
        }
        let advisor = self.ledger.jobs.get(&key.job).and_then(|job| self.advisor_of(job));
        if advisor.is_some_and(|times| !advice::is_useful(&times)) {
            return "its queue's advisor answers too late, or for too short a time".to_owned();
        }
        let size = reserved_size(step);
        let mut counts: BTreeMap<&'static str, usize> = BTreeMap::new();
        let members = self.executors.iter().filter(|(_, e)| e.registration.pool == *pool);
        for (executor, known) in members {
            let why = match unschedulable_reason(known, now) {
                Some(why) => why,
                None if !known.free().holds(&size) => "without room",
                None if !fits_labels(step, known) => "without the label",
                None if !self.may_run_on(now, key, step, executor, 0) => {
                    "with as many of the step as allowed, or not permitted by the advisor"
                }
                None => "suitable",
            };
            *counts.entry(why).or_default() += 1;
        }
        let counts: Vec<String> = counts.iter().map(|(why, n)| format!("{n} {why}")).collect();
        let counts = if counts.is_empty() { "none".to_owned() } else { counts.join(", ") };
        let (cpu, memory) = (size.cpu_milli, size.memory_mb);
        let never =
            if self.is_feasible(pool, step) { "" } else { "; no listed host could ever run it" };
        format!(
            "a task needs {cpu} thousandths of a core and {memory} MB; executors: {counts}{never}"
        )
    }

    /// Explains that a step waits for its caller's quota, if it does.
    fn explain_quota(&self, key: &StepKey, step: &Step) -> Option<String> {
        let charge = charge_of(self.ledger.jobs.get(&key.job)?, step)?;
        let quota = self.quota_of(&charge.caller)?;
        let used = self.executors.usage().of(&charge.caller);
        let starts = self.startable_of(&charge, step.gang, step.count as usize);
        (starts == 0).then(|| {
            format!(
                "its caller {} is at its quota: uses {}, may use {}, a task needs {}, {} orders \
                 are unanswered",
                charge.caller, used.size, quota, charge.size, used.in_flight
            )
        })
    }

    fn explain_host(&self, now: Now, host: &HostName) -> Vec<String> {
        let Some(entry) = self.fleet.hosts.get(host) else { return Vec::new() };
        let age = self.fleet.listed.map_or(0, |at| now.time.since(at).as_millis());
        let mut lines = vec![format!("pool {}, {}, listed {age} ms ago", entry.pool, entry.state)];
        if let Some(withdrawal) = self.fleet.withdrawals.get(host) {
            lines.push(format!("taken out for {:?}: {:?}", withdrawal.purpose, withdrawal.stage));
        }
        if self.is_order_paused(now.time, host) {
            lines.push("an earlier leader ordered it about of late; no order yet".to_owned());
        }
        let Some(executor) = &entry.executor else {
            lines.push("it has no executor".to_owned());
            return lines;
        };
        let Some(known) = self.executors.get(executor) else {
            lines.push(format!("its executor {executor} is not registered"));
            return lines;
        };
        let state = unschedulable_reason(known, now).unwrap_or("open");
        lines.push(format!("executor {executor} is {state}, {} runs", known.runs.len()));
        let runs = known.runs.iter();
        lines.extend(runs.map(|(task, held)| format!("{task} run {}: {:?}", held.run, held.phase)));
        lines
    }

    fn explain_wave(&self, wave: u64) -> Vec<String> {
        if self.ledger.completed_waves.contains(&wave) {
            return vec!["completed".to_owned()];
        }
        let Some(request) = self.waves.request(wave) else { return Vec::new() };
        let due = self.due_hosts(request);
        let (all, most) = (request.hosts.len(), request.max_down);
        let mut lines = vec![format!("{} of {all} hosts are due, {most} at once", due.len())];
        lines.extend(due.iter().map(|host| match self.fleet.withdrawals.get(host) {
            Some(withdrawal) => format!("{host}: {:?}, {:?}", withdrawal.purpose, withdrawal.stage),
            None => format!("{host}: not chosen yet"),
        }));
        lines
    }
}

/// Why nothing new is placed on an executor at present; `None` if it accepts runs.
fn unschedulable_reason(known: &Executor, now: Now) -> Option<&'static str> {
    if known.accepts_runs(now.time) {
        return None;
    }
    Some(if !known.is_registered {
        "not registered"
    } else if known.registration.draining {
        "draining"
    } else if known.host_draining {
        "being emptied"
    } else if known.polling.failures > 0 {
        "silent"
    } else if !known.fenced {
        "not looked at yet"
    } else if now.time < known.isolated_until {
        "left alone with a task under which executors crash"
    } else if known.has_orphan_runs {
        "running what nobody wants"
    } else if now.time < known.full_until {
        "full by its own account"
    } else {
        "distrusted"
    })
}
