//! The load patterns by which the decisions are judged, each with its measured figure.
//!
//! Tests run them with one seed against a limit; benchmarks run them with several seeds and compare
//! them with the baseline.

use std::time::Duration;

use super::{
    plan::{Engine, Fault, Plan, PlannedFault, Stream},
    report::SiteReport,
    site::run,
};
use crate::dispatch::Priority;

/// The mean run time of an ordinary request.
pub const MEAN_RUN: Duration = Duration::from_millis(50);

/// Returns the requests a second that keep this part of ten targets' slots busy.
pub fn rate(load: f64) -> f64 {
    load * 80.0 / MEAN_RUN.as_secs_f64()
}

fn ordinary(load: f64) -> Stream {
    Stream::new("usual", rate(load), MEAN_RUN)
}

fn permanent(target: Option<usize>, fault: Fault) -> PlannedFault {
    PlannedFault { target, fault, from: Duration::ZERO, until: Duration::MAX }
}

/// Three times as many requests as can run, from callers that wait two seconds: successful
/// responses a second as a share of capacity.
pub fn overload_goodput(seed: u64, entries: usize, engine: Engine) -> (f64, SiteReport) {
    let mut stream = ordinary(3.0);
    stream.deadline = Duration::from_secs(2);
    let mut plan = Plan::new(seed, vec![stream]);
    plan.entries = entries;
    let report = run(&plan, engine);
    (report.goodput(5, 30) / rate(1.0), report)
}

/// Fifty callers at 60 % of capacity, then one more caller that sends twenty times a caller's part
/// on top: the others' 99th percentile of response time, as a multiple of that without it.
pub fn hot_caller_ratio(seed: u64, engine: Engine) -> (f64, SiteReport) {
    let without = run(&Plan::new(seed, vec![ordinary(0.6)]), engine);
    let mut hot = Stream::new("hot", rate(0.6) / 50.0 * 20.0 + rate(0.6), MEAN_RUN);
    hot.callers = 1;
    let with = run(&Plan::new(seed, vec![ordinary(0.6), hot]), engine);
    (response_ratio(&with, &without, "usual"), with)
}

/// One target of ten at a tenth of its speed, at 70 % of capacity: the 99th percentile of response
/// time, as a multiple of that of healthy targets.
pub fn slow_target_ratio(seed: u64, entries: usize, engine: Engine) -> (f64, SiteReport) {
    let mut plan = Plan::new(seed, vec![ordinary(0.7)]);
    plan.entries = entries;
    let healthy = run(&plan, engine);
    plan.faults = vec![permanent(Some(3), Fault::Slow(10.0))];
    let with = run(&plan, engine);
    (response_ratio(&with, &healthy, "usual"), with)
}

/// Short requests at 30 % of capacity, then also requests that run a hundred times as long at 60 %,
/// with a burst of them: the short requests' 99th percentile of response time, as a multiple of
/// that without the long ones.
pub fn long_among_short_ratio(seed: u64, engine: Engine) -> (f64, SiteReport) {
    let short = Stream::new("short", rate(0.3), MEAN_RUN);
    let mut long = Stream::new("long", rate(0.6) / 100.0, MEAN_RUN * 100);
    long.kind = 2;
    long.deadline = Duration::from_secs(120);
    let mut burst = Stream::new("burst", 40.0, MEAN_RUN * 100);
    (burst.kind, burst.deadline) = (2, Duration::from_secs(120));
    (burst.from, burst.until) = (Duration::from_secs(10), Duration::from_secs(13));
    let without = run(&Plan::new(seed, vec![short.clone()]), engine);
    let with = run(&Plan::new(seed, vec![short, long, burst]), engine);
    (response_ratio(&with, &without, "short"), with)
}

/// A host that fails every request after a millisecond, at 70 % of capacity: the share of requests
/// that failed after the first second, in thousandths.
pub fn failing_host_permille(
    seed: u64,
    entries: usize,
    fault: Fault,
    engine: Engine,
) -> (f64, SiteReport) {
    let mut stream = ordinary(0.7);
    stream.retryable = false;
    let mut plan = Plan::new(seed, vec![stream]);
    plan.entries = entries;
    plan.warm_up = Duration::from_secs(1);
    plan.faults = vec![permanent(Some(3), fault)];
    let report = run(&plan, engine);
    let group = report.group("usual");
    (group.failed_after_warm_up as f64 * 1_000.0 / group.offered_after_warm_up as f64, report)
}

/// Every target breaks every connection for five seconds: attempts as a multiple of the requests.
pub fn outage_attempt_ratio(seed: u64, engine: Engine) -> (f64, SiteReport) {
    let mut plan = Plan::new(seed, vec![ordinary(0.5)]);
    let (from, until) = (Duration::from_secs(10), Duration::from_secs(15));
    plan.faults = vec![PlannedFault { target: None, fault: Fault::Breaks, from, until }];
    let report = run(&plan, engine);
    (report.attempts as f64 / report.group("usual").offered as f64, report)
}

/// Half load, and four times capacity for one second: the share of successful responses in time.
pub fn burst_success_share(seed: u64, engine: Engine) -> (f64, SiteReport) {
    let mut burst = Stream::new("burst", rate(4.0), MEAN_RUN);
    (burst.from, burst.until) = (Duration::from_secs(10), Duration::from_secs(11));
    let report = run(&Plan::new(seed, vec![ordinary(0.5), burst]), engine);
    let groups = [report.group("usual"), report.group("burst")];
    let good: u64 = groups.iter().map(|group| group.good).sum();
    let offered: u64 = groups.iter().map(|group| group.offered).sum();
    (good as f64 / offered as f64, report)
}

/// At 70 % of capacity a batch of twenty thousand requests arrives within four seconds and is
/// cancelled two seconds later: the others' 99th percentile of response time, as a multiple of that
/// without it.
pub fn cancelled_wave_ratio(seed: u64, engine: Engine) -> (f64, SiteReport) {
    let without = run(&Plan::new(seed, vec![ordinary(0.7)]), engine);
    let mut wave = Stream::new("wave", 5_000.0, MEAN_RUN);
    (wave.callers, wave.priority) = (1, Priority::Batch);
    wave.deadline = Duration::from_secs(300);
    (wave.from, wave.until) = (Duration::from_secs(10), Duration::from_secs(14));
    wave.cancelled_at = Some(Duration::from_secs(16));
    let with = run(&Plan::new(seed, vec![ordinary(0.7), wave]), engine);
    (response_ratio(&with, &without, "usual"), with)
}

/// Normal and batch work at three times capacity, and a little urgent work: the wait that 99.9 % of
/// the urgent requests did not exceed, in seconds.
pub fn urgent_wait(seed: u64, engine: Engine) -> (f64, SiteReport) {
    let mut batch = Stream::new("batch", rate(1.0), MEAN_RUN);
    (batch.priority, batch.deadline) = (Priority::Batch, Duration::from_secs(60));
    let mut urgent = Stream::new("urgent", rate(0.1), MEAN_RUN);
    urgent.priority = Priority::Urgent;
    let report = run(&Plan::new(seed, vec![ordinary(2.0), batch, urgent]), engine);
    (report.group("urgent").wait(99.9).as_secs_f64(), report)
}

fn response_ratio(with: &SiteReport, without: &SiteReport, group: &str) -> f64 {
    let p99 = |report: &SiteReport| report.group(group).response(99.0).as_secs_f64();
    p99(with) / p99(without)
}
