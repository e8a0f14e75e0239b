//! What teams are promised of their jobs, on a few hosts in virtual time.

mod randomised;
mod world;

use std::time::Duration;

use borageswitch_types::names::{PoolName, TeamName};

use self::world::{HOST, World, host_name, job, payroll, size};
use crate::placement::{
    Event, TeamQuota, URGENT_START,
    hosts::HostRoom,
    job::{Job, Outcome, Size, Urgency},
};

#[test]
fn jobs_run_to_their_end() {
    let mut world = World::new(2, 1);
    for n in 0..20 {
        world.submit(&format!("j{n}"), job("sales", 4, Urgency::Normal));
    }

    world.run_for(Duration::from_secs(300));

    assert_eq!(world.answers.len(), 20);
    assert!(world.answers.values().all(|outcome| *outcome == Outcome::Done));
}

/// All hosts are full of work that can wait when urgent work comes in. Callers must see it start
/// within 2.4 s, and the work that gave way must still be done.
#[test]
fn urgent_work_starts_in_time_on_full_hosts() {
    let mut world = World::new(4, 2);
    world.run = Duration::from_secs(600);
    for n in 0..40 {
        world.submit(&format!("low{n}"), job("sales", 4, Urgency::Low));
    }
    world.run_for(Duration::from_secs(10));
    let submitted = world.now;

    for n in 0..8 {
        world.submit(&format!("urgent{n}"), job("pay", 4, Urgency::Urgent));
    }
    world.run_for(Duration::from_secs(5));

    for n in 0..8 {
        let started = world.first_start.get(format!("urgent{n}").as_str()).copied();
        let waited = started.expect("it has started").since(submitted);
        // The agent takes up to 300 ms more to have it run.
        assert!(waited + Duration::from_millis(300) <= URGENT_START, "urgent{n}: {waited:?}");
    }
}

/// The same load in one line, first come first served: what the urgent work would wait.
#[test]
fn without_urgency_the_same_work_would_wait_for_minutes() {
    let mut world = World::new(4, 2);
    world.run = Duration::from_secs(600);
    for n in 0..40 {
        world.submit(&format!("low{n}"), job("sales", 4, Urgency::Low));
    }
    world.run_for(Duration::from_secs(10));

    world.submit("plain", job("sales", 4, Urgency::Low));
    world.run_for(Duration::from_secs(120));

    assert!(!world.first_start.contains_key("plain"));
}

#[test]
fn a_job_that_can_never_run_is_refused_with_what_it_lacks() {
    let mut world = World::new(2, 3);
    let small = TeamQuota { weight: 1, limit: size(8) };
    world.tell(Event::QuotaSet { team: TeamName::from("grades"), quota: small });
    let accelerators = Size { accelerators: 3, ..size(1) };

    world.submit("wide", job("sales", 64, Urgency::Normal));
    world.submit("fast", Job { declared: accelerators, ..job("sales", 1, Urgency::Normal) });
    world.submit("over", job("grades", 9, Urgency::Normal));
    world.submit("lost", job("nobody", 1, Urgency::Normal));
    let elsewhere = Job { pool: PoolName::from("moon"), ..job("sales", 1, Urgency::Normal) };
    world.submit("moon", elsewhere);

    let reasons: Vec<String> = ["wide", "fast", "over", "lost", "moon"]
        .map(|name| world.outcome(name).expect("answered at once").to_string())
        .to_vec();
    insta::assert_snapshot!(reasons.join("\n"), @r"
    refused: it needs more processors than any host of pool 'batch' has
    refused: it needs more accelerators than any host of pool 'batch' has
    refused: it needs more processors than team 'grades' may hold
    refused: team 'nobody' has no quota
    refused: pool 'moon' has no host
    ");
}

/// A part of each host is kept for urgent work. A job that needs a whole host must run all the same.
#[test]
fn a_job_as_large_as_a_host_runs_on_an_empty_one() {
    let mut world = World::new(1, 12);
    world.submit("small", job("sales", 2, Urgency::Normal));
    world.submit("whole", Job { kind: "whole".into(), ..job("grades", 16, Urgency::Normal) });

    world.run_for(Duration::from_secs(200));

    assert_eq!(world.outcome("whole"), Some(&Outcome::Done));
}

/// One host fails each job within a second and is always free. Without a guard it would draw and
/// fail all the work there is.
#[test]
fn a_host_that_fails_everything_is_set_aside() {
    let mut world = World::new(8, 4);
    world.broken.insert(host_name(0));
    world.run = Duration::from_secs(20);
    for n in 0..200 {
        let kind = format!("kind{}", n % 5);
        let one = Job { kind: kind.as_str().into(), ..job("sales", 4, Urgency::Normal) };
        world.submit(&format!("j{n}"), one);
    }

    world.run_for(Duration::from_secs(400));

    let done = world.answers.values().filter(|outcome| **outcome == Outcome::Done).count();
    assert_eq!(done, 200, "{:?}", world.answers.values().find(|o| **o != Outcome::Done));
    let wasted: u32 = world.started.values().map(|starts| starts - 1).sum();
    assert!(wasted < 20, "{wasted} starts were wasted");
}

/// Sales submits a thousand jobs. Grades must not wait behind them.
#[test]
fn a_team_with_many_jobs_holds_up_no_other() {
    let mut world = World::new(4, 5);
    for n in 0..1_000 {
        world.submit(&format!("s{n:04}"), job("sales", 4, Urgency::Normal));
    }
    for n in 0..10 {
        world.submit(&format!("g{n}"), job("grades", 4, Urgency::Normal));
    }

    world.run_for(Duration::from_secs(180));

    let grades = world.answers.keys().filter(|name| name.as_str().starts_with('g')).count();
    assert_eq!(grades, 10);
}

/// A team cancels all it has submitted. Each waiting job is answered at once, each running one
/// once it has stopped, and the room goes to others.
#[test]
fn cancellations_in_bulk_are_answered_and_free_their_room() {
    let mut world = World::new(4, 6);
    world.run = Duration::from_secs(3_600);
    for n in 0..2_000 {
        world.submit(&format!("s{n:04}"), job("sales", 4, Urgency::Normal));
    }
    world.run_for(Duration::from_secs(5));
    let running = world.started.len();

    world.tell(Event::CancelTeam { team: TeamName::from("sales") });
    let at_once = world.answers.len();
    world.run_for(Duration::from_secs(5));

    assert!(running > 0);
    assert_eq!((at_once, world.answers.len()), (2_000 - running, 2_000));
    assert!((0..4).all(|at| world.placement.held_on(&host_name(at)) == Size::default()));
}

/// What teams declare is eight times what their jobs use. After a few runs more jobs fit.
#[test]
fn sizes_are_learned_from_what_runs_have_used() {
    let mut world = World::new(1, 7);
    for n in 0..4 {
        world.submit(&format!("first{n}"), job("sales", 8, Urgency::Normal));
    }
    world.run_for(Duration::from_secs(240));

    for n in 0..12 {
        world.submit(&format!("then{n}"), job("sales", 8, Urgency::Normal));
    }
    world.run_for(Duration::from_secs(2));

    let together = world.tasks.len();
    assert!(together > 8, "{together} run together, where one did");
}

/// A host has to stop for a wave. Its jobs go on elsewhere from a checkpoint; one that must not
/// run twice is left to its end.
#[test]
fn a_leaving_host_checkpoints_its_jobs_and_leaves_payroll_alone() {
    let mut world = World::new(1, 8);
    world.run = Duration::from_secs(300);
    let long = Duration::from_secs(600);
    world.submit("pay", Job { declared_run: long, ..payroll(4) });
    world.submit("report", Job { declared_run: long, ..job("sales", 4, Urgency::Normal) });
    world.run_for(Duration::from_secs(2));
    let room = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
    world.tell(Event::HostSet { name: host_name(1), host: room.clone() });

    let leaving = HostRoom { leaving: true, ..room };
    world.tell(Event::HostSet { name: host_name(0), host: leaving });
    world.run_for(Duration::from_secs(3));

    assert_eq!(world.tasks["pay"].host, host_name(0));
    assert_eq!(world.tasks["report"].host, host_name(1));
    world.run_for(Duration::from_secs(600));
    assert_eq!((world.outcome("pay"), world.started["pay"]), (Some(&Outcome::Done), 1));
}

/// The host of a payroll run goes silent after the start. Whether people are paid cannot be told,
/// so the run must not start again; a report simply starts elsewhere, but only after the lease of
/// the first one has lapsed.
#[test]
fn a_silent_host_makes_payroll_unknown_and_moves_reports() {
    let mut world = World::new(1, 9);
    world.run = Duration::from_secs(600);
    world.submit("pay", payroll(4));
    world.submit("report", job("sales", 4, Urgency::Normal));
    world.run_for(Duration::from_secs(2));
    let room = HostRoom { pool: PoolName::from("batch"), room: HOST, leaving: false };
    world.tell(Event::HostSet { name: host_name(1), host: room });

    world.silent.insert(host_name(0));
    world.run_for(Duration::from_secs(20));
    let early = world.started["report"];
    world.run_for(Duration::from_secs(100));

    assert!(matches!(world.outcome("pay"), Some(Outcome::Unknown { .. })));
    assert_eq!((early, world.started["report"], world.started["pay"]), (1, 2, 1));
}

/// A large job waits for room while small ones keep passing it. After two minutes room is kept.
#[test]
fn a_large_job_is_not_passed_for_ever() {
    let mut world = World::new(1, 10);
    world.run = Duration::from_secs(20);
    for n in 0..200 {
        let small =
            Job { kind: format!("k{n}").as_str().into(), ..job("sales", 3, Urgency::Normal) };
        world.submit(&format!("s{n:03}"), small);
    }
    let large = Job { kind: "large".into(), ..job("grades", 14, Urgency::Normal) };
    world.submit("large", large);

    world.run_for(Duration::from_secs(240));

    assert!(world.started.contains_key("large"));
    assert!(world.placement.waiting() > 0, "others still waited");
}

#[test]
fn a_repeated_submit_starts_nothing_more() {
    let mut world = World::new(1, 11);
    world.submit("pay", payroll(1));
    world.submit("pay", payroll(1));
    world.run_for(Duration::from_secs(120));
    world.submit("pay", payroll(1));
    world.run_for(Duration::from_secs(120));

    assert_eq!((world.outcome("pay"), world.started["pay"]), (Some(&Outcome::Done), 1));
}
