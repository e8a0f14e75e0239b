use std::{sync::Arc, time::Duration};

use borageswitch_types::{
    Time,
    names::{DataCentreName, JobName, PoolName, QueueName},
    time::UnixMillis,
};

use super::UnplaceableSizes;
use crate::{
    config::{Config, Pool, Queue},
    effect::PollOrder,
    event::{Event, Now, PollResponse},
    executor::{Registration, Report},
    job::{JobSpec, Size, Step, Submission},
    ledger::Ledger,
    reducer::{Limits, Scheduler},
    task::TaskKey,
};

fn size(cpu_milli: u64, memory_mb: u64) -> Size {
    Size { cpu_milli, memory_mb, accelerators: 0 }
}

#[test]
fn a_long_backlog_leaves_only_the_smallest_unplaceable_sizes() {
    // Guards against decisions that take longer the longer the backlog is. A pool is full, and
    // thousands of tasks of all sizes wait: a size that does not fit rules out all larger ones, so
    // that hosts are not checked again for each of them.
    let mut unplaceable = UnplaceableSizes::default();
    for cores in (1..2_000).rev() {
        unplaceable.add(size(cores, 2 * cores));
    }

    assert_eq!(unplaceable.sizes, [size(1, 2)]);
    assert!(unplaceable.rules_out(&size(1, 2)));
    assert!(unplaceable.rules_out(&size(900, 900)));
}

#[test]
fn a_size_that_is_smaller_in_one_dimension_is_not_ruled_out() {
    let mut unplaceable = UnplaceableSizes::default();
    unplaceable.add(size(4_000, 500));
    unplaceable.add(size(500, 4_000));

    assert!(!unplaceable.rules_out(&size(3_000, 3_000)));
    assert!(unplaceable.rules_out(&size(4_000, 4_000)));
}

fn at(millis: u64) -> Now {
    Now { time: Time::from_millis(millis), wall: UnixMillis(1_700_000_000_000 + millis) }
}

/// A pool of two hosts, and a leader whose responses are slow.
fn slow_leader() -> Scheduler {
    let queue = Queue {
        name: QueueName::from("runs"),
        authority: "site.example".into(),
        prefix: "/runs/".into(),
        pool: PoolName::from("payroll"),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        allowance: Duration::from_millis(600),
        timeout: Duration::from_secs(3),
        advisor: None,
    };
    let pool = Pool { name: queue.pool.clone(), enforces_capacity: true, standby: false };
    let config = Arc::new(Config::new(1, [queue], [pool]));
    let executors = ["e1", "e2"].map(|name| Registration {
        executor: name.into(),
        pool: PoolName::from("payroll"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreName::from("dc"),
        draining: false,
        remaining: None,
        capacity: size(16_000, 16_000),
        labels: Vec::new(),
    });
    let mut leader = Scheduler::recover(
        Limits::default(),
        at(1_000),
        Ledger::default(),
        1,
        config,
        executors.to_vec(),
    );
    leader.settle(at(1_000));
    for executor in ["e1", "e2"] {
        let order = PollOrder { until_ms: None, acknowledged: 0, wait: Duration::ZERO };
        let response = PollResponse::Report(Report { clock_ms: 5, ..Report::default() });
        let sent = at(1_000).time;
        leader
            .handle(at(1_005), Event::Polled { executor: executor.into(), sent, order, response });
    }
    leader.pending_starts.add_blocked_pool(at(3_500).time, &PoolName::from("payroll"));
    leader
}

#[test]
fn a_late_task_at_its_last_chance_is_placed_once() {
    // Guards against a task that runs twice at a time: a slow leader places urgent steps, of which
    // late ones at their last chance are a part, and then late steps.
    let mut leader = slow_leader();
    let step = Step {
        count: 1,
        size: size(1_000, 1_000),
        estimate: Duration::from_millis(200),
        ..Step::default()
    };
    let job = JobName::from("0000000000000001");
    let queue = leader.config.as_ref().unwrap().queues.values().next().unwrap().clone();
    let submission = Submission {
        job: job.clone(),
        queue,
        // Of use until 2,760 ms after this.
        accepted: at(1_300).wall,
        spec: JobSpec { payload: "text".into(), steps: vec![step], schedule: None },
        caller: None,
    };
    leader.handle(at(3_600), Event::Submitted(Arc::new(submission)));

    leader.settle(at(3_600));

    let task = TaskKey { job, occurrence: 0, step: 0, index: 0 };
    assert_eq!(leader.ledger.task(&task).unwrap().last_run, 1);
}
