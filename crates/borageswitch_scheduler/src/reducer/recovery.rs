//! A new leader takes over.
//!
//! It knows from the ledger which runs its predecessor assigned where. What of them runs, it learns
//! by looking at each executor under its own token: an executor that has answered refuses every
//! order that carries an older one, also those that arrive late. Tasks on executors that do not
//! answer wait until the longest lease of the predecessor has ended; all others go on at once.

use std::{net::SocketAddr, sync::Arc};

use borageswitch_types::{
    Time,
    names::{DataCentreName, ExecutorName, PoolName},
};

use crate::{
    config::Config,
    event::Now,
    executor::Registration,
    job::Size,
    ledger::{Ledger, host_orders::HostOrders, job::Job, record::Record},
    policy::learned::Learned,
    reducer::{
        Limits, Scheduler,
        advice::Advice,
        executors::{Executor, Held, Phase},
        failed_starts::FailedStarts,
        free_capacity::FreeCapacityByPool,
        gang_reservations::GangReservations,
        host_list::Fleet,
        lending::Lending,
        outbox::Outbox,
        pending_starts::PendingStarts,
        places::reserved_size,
        stragglers::Stragglers,
        suspects::Suspects,
        waiting::{Waiting, charge_of},
        waves::Waves,
    },
    task::TaskKey,
};

impl Scheduler {
    /// Takes over with a ledger, whose last append was one less than `next_append`.
    pub fn recover(
        limits: Limits,
        now: Now,
        ledger: Ledger,
        next_append: u64,
        config: Arc<Config>,
        registrations: Vec<Registration>,
    ) -> Scheduler {
        let inherited_host_orders = ledger.host_orders.ages();
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
            job_rates: Default::default(),
            quota_logged: Default::default(),
            poll_candidates: Default::default(),
            times: Default::default(),
            learned: Learned::default(),
            outbox: Outbox::new(next_append),
            advice: Advice::default(),
            gang_reservations: GangReservations::default(),
            fleet: Fleet::default(),
            unavailable: Default::default(),
            waves: Waves::default(),
            lending: Lending::default(),
            dirty_pools: Default::default(),
            maybe_ended: Default::default(),
            ending_jobs: Default::default(),
            ended_executors: Vec::new(),
            suspects: Suspects::default(),
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
        scheduler.renew_times(now);
        scheduler.inherit_runs(now);
        scheduler.maybe_ended = scheduler.ledger.jobs.keys().cloned().collect();
        scheduler
    }

    /// Whatever the ledger holds now is stored, so it may be acknowledged.
    fn inherit_ends(&mut self) {
        let names: Vec<ExecutorName> = self.executors.keys().cloned().collect();
        for executor in names {
            let stored = self.ledger.seen.get(&executor).copied().unwrap_or(0);
            let Some(known) = self.executors.get_mut(&executor) else { continue };
            known.taken_end = stored;
            known.stored_end = stored;
        }
    }

    fn inherit_runs(&mut self, now: Now) {
        let until = now.time + self.limits.inherited_lease;
        let mut inherited = Vec::new();
        for job in self.ledger.jobs.values() {
            collect_assigned(job, &mut inherited);
        }
        for (task, executor, run) in inherited {
            let held = self.held_for(now.time, &task, run, Phase::Inherited);
            let Some(held) = held else { continue };
            let Some(pool) = self.pool_of(&task.job).cloned() else { continue };
            self.inherit_run(now, &executor, pool, &task, held, until);
        }
        for (task, left) in self.ledger.leftovers.clone() {
            let held = Held {
                size: left.size,
                charge: Some(left.charge),
                ..Held::new(left.run, Phase::Inherited, now.time)
            };
            self.inherit_run(now, &left.executor, PoolName::from(""), &task, held, until);
            self.order_stop(now, &left.executor, &task);
        }
        self.inherit_restarts(now);
    }

    /// Executors that have started again since an earlier leader gave them their runs.
    fn inherit_restarts(&mut self, now: Now) {
        let later = |name: &ExecutorName| {
            let latest = self.executors.latest_life(name).filter(|latest| *latest != name);
            Some((name.clone(), latest?.clone()))
        };
        let restarted: Vec<_> = self.executors.keys().filter_map(later).collect();
        for (before, next) in restarted {
            self.carry_over(now, &before, &next);
        }
    }

    /// Takes in a run that an earlier leader has ordered. Its executor may not be registered any
    /// more, and the run go on there all the same.
    fn inherit_run(
        &mut self,
        now: Now,
        executor: &ExecutorName,
        pool: PoolName,
        task: &TaskKey,
        held: Held,
        until: Time,
    ) {
        if self.executors.get(executor).is_none() {
            let mut unregistered = Executor::new(unknown_registration(executor, pool), now.time);
            let stored = self.ledger.seen.get(executor).copied().unwrap_or(0);
            unregistered.present = false;
            unregistered.hearsay = true;
            unregistered.taken_end = stored;
            unregistered.stored_end = stored;
            self.executors.insert(unregistered);
        }
        self.executors.hold(executor, task, held);
        self.watch_suspect(now, executor, task);
        if let Some(known) = self.executors.get_mut(executor) {
            known.inherited_until = Some(until);
        }
    }

    /// What is to be known of a run of a task.
    pub(super) fn held_for(
        &self,
        now: Time,
        task: &TaskKey,
        run: u32,
        phase: Phase,
    ) -> Option<Held> {
        let job = self.ledger.jobs.get(&task.job)?;
        let step = job.step(task.step)?;
        Some(Held {
            size: reserved_size(step),
            charge: charge_of(job, step),
            lasting: step.lasting,
            fills: step.fills,
            target_tail: step.target_tail,
            ..Held::new(run, phase, now)
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

/// Stands for an executor that is named in the ledger but not registered; nothing is sent to it.
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
