//! Takeover by a new leader.
//!
//! The ledger names the runs that earlier leaders assigned to each executor. The new leader learns
//! which of them exist by polling each executor with its own fencing token; from its response on,
//! an executor refuses all orders with an older token, including late ones. Tasks on executors that
//! do not respond wait until the longest inherited lease has expired; all others continue at once.

use std::{net::SocketAddr, sync::Arc};

use borageswitch_types::{
    Time,
    names::{DataCentreName, ExecutorName, PoolName},
};

use crate::{
    config::Config,
    event::Now,
    executor::Registration,
    incarnation,
    job::Size,
    ledger::{Ledger, host_orders::HostOrders, job::Job, record::Record},
    policy::{run_overhead::RunOverhead, runtime_estimates::RuntimeEstimates},
    reducer::{
        Limits, Scheduler,
        admission::Admission,
        advice::Advice,
        containment::Containment,
        executors::{Executor, HeldRun, Phase},
        failed_starts::FailedStarts,
        free_capacity::FreeCapacityByPool,
        gang_reservations::GangReservations,
        host_list::Fleet,
        lending::Lending,
        outbox::Outbox,
        pending_starts::PendingStarts,
        places::reserved_size,
        shares::Shares,
        stragglers::Stragglers,
        suspects::Suspects,
        waiting::{Waiting, charge_of},
        waves::Waves,
    },
    task::TaskKey,
};

impl Scheduler {
    /// Takes over with a ledger that includes all appends below `next_append`.
    pub fn recover(
        limits: Limits,
        now: Now,
        ledger: Ledger,
        next_append: u64,
        config: Arc<Config>,
        registrations: Vec<Registration>,
    ) -> Scheduler {
        let inherited_host_orders = ledger.host_orders.min_ages();
        let mut scheduler = Scheduler {
            limits,
            took_over_at: now.time,
            ledger,
            inherited_host_orders,
            config: Some(config),
            executors: registrations.into_iter().map(|r| Executor::new(r, now.time)).collect(),
            free_capacity: FreeCapacityByPool::default(),
            waiting: Waiting::default(),
            lasting_unplaced: Default::default(),
            job_buckets: Default::default(),
            shares: Shares::default(),
            quota_logged: Default::default(),
            poll_candidates: Default::default(),
            job_states: Default::default(),
            runtime_estimates: RuntimeEstimates::default(),
            run_overhead: RunOverhead::default(),
            outbox: Outbox::new(next_append),
            advice: Advice::default(),
            gang_reservations: GangReservations::default(),
            fleet: Fleet::default(),
            unavailable: Default::default(),
            waves: Waves::default(),
            lending: Lending::default(),
            admission: Admission::default(),
            dirty_pools: Default::default(),
            maybe_ended: Default::default(),
            ending_jobs: Default::default(),
            ended_executors: Vec::new(),
            suspects: Suspects::default(),
            containment: Containment::default(),
            failed_starts: FailedStarts::default(),
            stragglers: Stragglers::default(),
            pending_starts: PendingStarts::default(),
            last_sweep: Time::ZERO,
            last_slow_sweep: Time::ZERO,
            effects: Vec::new(),
        };
        if scheduler.ledger.host_orders != HostOrders::default() {
            scheduler.record(Record::TermBegan);
        }
        scheduler.inherit_ends();
        scheduler.refresh_job_states(now);
        scheduler.inherit_runs(now);
        scheduler.derive_containment(now);
        scheduler.derive_crash_history(now);
        scheduler.maybe_ended = scheduler.ledger.jobs.keys().cloned().collect();
        scheduler
    }

    /// Marks the ended runs in the ledger as stored, so that they are acknowledged.
    fn inherit_ends(&mut self) {
        let names: Vec<ExecutorName> = self.executors.keys().cloned().collect();
        for executor in names {
            let stored = self.ledger.last_ends.get(&executor).copied().unwrap_or(0);
            let Some(known) = self.executors.get_mut(&executor) else { continue };
            known.processed_end = stored;
            known.stored_end = stored;
        }
    }

    fn inherit_runs(&mut self, now: Now) {
        let until = now.time + self.limits.inherited_lease;
        let ages = self.ledger.recent_starts.max_ages(now.wall);
        let mut inherited = Vec::new();
        for job in self.ledger.jobs.values() {
            collect_assigned(job, &mut inherited);
        }
        for (task, executor, run) in inherited {
            let held = self.held_for(now.time, &task, run, Phase::Inherited);
            let Some(mut held) = held else { continue };
            held.inherited_age = ages.get(&(task.clone(), run)).copied();
            held.inherited_survival = self.ledger.survival_of(&task, run);
            let Some(pool) = self.pool_of(&task.job).cloned() else { continue };
            self.inherit_run(now, &executor, pool, &task, held, until);
        }
        for (task, left) in self.ledger.lingering_runs.clone() {
            let held = HeldRun {
                size: left.size,
                charge: Some(left.charge),
                ..HeldRun::new(left.run, Phase::Inherited, now.time)
            };
            self.inherit_run(now, &left.executor, PoolName::from(""), &task, held, until);
            self.order_stop(now, &left.executor, &task);
        }
        self.inherit_restarts(now);
    }

    /// Handles executors that are registered as other incarnations than those to which an earlier
    /// leader assigned runs. The answer of each one tells whether it has restarted.
    fn inherit_restarts(&mut self, now: Now) {
        let registered = self.executors.iter().filter(|(_, known)| known.is_registered);
        let registered: Vec<ExecutorName> = registered.map(|(name, _)| name.clone()).collect();
        for executor in registered {
            let Some(before) = self.executors.other_incarnations(&executor).pop() else { continue };
            if self.executors.get(&executor).is_some_and(|known| !known.runs.is_empty()) {
                // An earlier leader has used it, so it is no odd entry.
                self.carry_over_to_latest(now, &executor, &before);
                continue;
            }
            if incarnation::started_at(&executor).is_none() {
                // An executor that reports its start time always does so.
                self.carry_over(now, &executor, &before);
                continue;
            }
            self.executors.mark_unconfirmed(&executor, &before);
        }
    }

    fn carry_over_to_latest(&mut self, now: Now, executor: &ExecutorName, other: &ExecutorName) {
        match self.executors.latest_incarnation(executor) == Some(executor) {
            true => self.carry_over(now, other, executor),
            false => self.carry_over(now, executor, other),
        }
    }

    /// Adds a run that an earlier leader assigned. The run may go on even if its executor is no
    /// longer registered.
    fn inherit_run(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        pool: PoolName,
        task: &TaskKey,
        held: HeldRun,
        until: Time,
    ) {
        if self.executors.get(executor).is_none() {
            let mut unregistered = Executor::new(unknown_registration(executor, pool), now.time);
            let stored = self.ledger.last_ends.get(executor).copied().unwrap_or(0);
            unregistered.is_registered = false;
            unregistered.known_from_ledger_only = true;
            unregistered.processed_end = stored;
            unregistered.stored_end = stored;
            self.executors.insert(unregistered);
        }
        self.executors.insert_run(executor, task, held);
        self.track_suspect(now, executor, task);
        if let Some(known) = self.executors.get_mut(executor) {
            known.inherited_until = Some(until);
        }
    }

    /// The entry for a run of a task in the given phase; `None` if the task is unknown.
    pub(super) fn held_for(
        &self,
        now: Time,
        task: &TaskKey,
        run: u32,
        phase: Phase,
    ) -> Option<HeldRun> {
        let job = self.ledger.jobs.get(&task.job)?;
        let step = job.step(task.step)?;
        Some(HeldRun {
            size: reserved_size(step),
            charge: charge_of(job, step),
            lasting: step.lasting,
            best_effort: step.best_effort,
            target_tail: step.target_tail,
            ..HeldRun::new(run, phase, now)
        })
    }
}

fn collect_assigned(job: &Job, into: &mut Vec<(TaskKey, ExecutorName, u32)>) {
    let name = &job.submission.job;
    for (&occurrence, open) in &job.progress.open {
        for (step, state) in open.steps.iter().enumerate() {
            for (index, task) in state.tasks.iter().enumerate() {
                let Some(assigned) = &task.assigned else { continue };
                let key = TaskKey {
                    job: name.clone(),
                    occurrence,
                    step: step as u16,
                    index: index as u32,
                };
                into.push((key, assigned.executor.clone(), assigned.run));
            }
        }
    }
}

/// The registration of an executor that the ledger names but that is not registered, with an
/// address that no order can reach.
fn unknown_registration(executor: &ExecutorName, pool: PoolName) -> Registration {
    Registration {
        executor: executor.clone(),
        pool,
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        data_centre: DataCentreName::from(""),
        draining: false,
        remaining: None,
        capacity: Size::default(),
        labels: Vec::new(),
    }
}
