//! Carries a fault out, and takes it back.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::platform::PlatformFaults;
use borageswitch_platform_standin::operator;
use borageswitch_scheduler::fleet::WaveRequest;
use rustix::process::Signal;
use smol::Timer;

use crate::{
    plan::{Fault, Planned, Size, Who},
    process::Daemon,
    proxy::Link,
    site::{self, Site},
};

/// How much later everything passes on a slow link.
const SLOW_LINK: Duration = Duration::from_millis(60);
/// How much later a slow store answers: fifty times its usual 4 ms.
const SLOW_STORE: Duration = Duration::from_millis(200);
/// How long a daemon may take to end: its whole stop time and a busy machine.
const END_PATIENCE: Duration = Duration::from_secs(30);
/// How often it is looked whether it has.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// How many hosts a wave may have down at once.
pub const WAVE_MOST: u32 = 2;

/// What faults there were that the promises need to know of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// What went against a promise while the fault lasted.
    pub broken: Vec<String>,
}

/// Carries one fault out, from its beginning to its end.
pub async fn carry_out(site: Arc<Site>, size: Size, planned: Planned) -> Outcome {
    Timer::after(planned.at).await;
    let lasts = planned.lasts;
    let mut outcome = Outcome::default();
    match planned.fault {
        Fault::Kill(who) => with_daemon(&site, who, |daemon| kill(daemon, lasts)).await,
        Fault::KillAll => kill_all(&site, lasts).await,
        Fault::Terminate(who) => {
            if let Some(daemon) = find(&site, who) {
                outcome.broken.extend(terminate(daemon).await);
            }
        }
        Fault::Pause(who) => with_daemon(&site, who, |daemon| pause(daemon, lasts)).await,
        Fault::Reload(who) => {
            if let Some(daemon) = find(&site, who) {
                daemon.signal(Signal::HUP);
            }
        }
        Fault::StoreRefuses => {
            store_fault(&site, lasts, |faults, on| faults.store_refuses = on).await;
        }
        Fault::StoreLosesAnswers => {
            store_fault(&site, lasts, |faults, on| faults.store_loses_answers = on).await;
        }
        Fault::StoreSlow => {
            let delay = |on| if on { SLOW_STORE } else { Duration::ZERO };
            store_fault(&site, lasts, |faults, on| faults.store_delay = delay(on)).await;
        }
        Fault::StoreForgets => site.platform.forget_history(),
        Fault::StoreSilentForAll => {
            site.store_links.iter().for_each(|link| link.set(Link::Silent));
            Timer::after(lasts).await;
            site.store_links.iter().for_each(|link| link.set(Link::Open));
        }
        Fault::StoreSilent(who) => store_link(&site, who, Link::Silent, lasts).await,
        Fault::StoreOneWay(who) => store_link(&site, who, Link::OneWay, lasts).await,
        Fault::StoreLoses(who) => {
            if let Some(number) = site.find(who) {
                site.store_links[number].lose_open();
            }
        }
        Fault::StoreReset(who) => {
            if let Some(number) = site.find(who) {
                site.store_links[number].reset_open();
            }
        }
        Fault::HostLate(host) => host_link(&site, host, Link::Silent, lasts).await,
        Fault::AnswersLost => {
            site.host_links.iter().for_each(|link| link.set(Link::OneWay));
            Timer::after(lasts).await;
            site.host_links.iter().for_each(|link| link.set(Link::Open));
        }
        Fault::HostOneWay(host) => host_link(&site, host, Link::OneWay, lasts).await,
        Fault::HostSlow(host) => host_link(&site, host, Link::Slow(SLOW_LINK), lasts).await,
        Fault::HostCrashes(host) => site.platform.crash_host(&site::host_name(host), lasts),
        Fault::HostLeaves(host) => {
            let host = site::host_name(host);
            site.platform.drain_host(&host);
            Timer::after(lasts).await;
            site.platform.crash_host(&host, lasts);
        }
        Fault::NewQueue => site.add_queue(),
        Fault::Wave => ask_for_wave(&site, &size),
    }
    outcome
}

/// Ends every fault that may still be on.
pub fn heal(site: &Site) {
    site.platform.set_faults(PlatformFaults::default());
    site.store_links.iter().chain(&site.host_links).for_each(|link| link.set(Link::Open));
    for daemon in &site.daemons {
        daemon.signal(Signal::CONT);
        start(daemon);
    }
}

fn find(site: &Site, who: Who) -> Option<&Daemon> {
    site.daemons.get(site.find(who)?)
}

async fn with_daemon<'a, F, O>(site: &'a Site, who: Who, act: F)
where
    F: FnOnce(&'a Daemon) -> O,
    O: Future<Output = ()>,
{
    if let Some(daemon) = find(site, who) {
        act(daemon).await;
    }
}

fn start(daemon: &Daemon) {
    if let Err(err) = daemon.start() {
        log::error!("{} cannot be started: {err}", daemon.name);
    }
}

async fn kill(daemon: &Daemon, down: Duration) {
    daemon.kill();
    Timer::after(down).await;
    start(daemon);
}

async fn kill_all(site: &Site, down: Duration) {
    site.daemons.iter().for_each(Daemon::kill);
    Timer::after(down).await;
    site.daemons.iter().for_each(start);
}

/// Gives what was wrong with the end.
async fn terminate(daemon: &Daemon) -> Option<String> {
    let number = daemon.terminate();
    let began = Instant::now();
    while !daemon.has_ended(number) {
        if began.elapsed() > END_PATIENCE {
            // It may be paused all the while by another fault; then it cannot end.
            return Some(format!("{} has not ended after {END_PATIENCE:?}", daemon.name));
        }
        Timer::after(LOOK_AGAIN).await;
    }
    start(daemon);
    None
}

async fn pause(daemon: &Daemon, lasts: Duration) {
    daemon.signal(Signal::STOP);
    Timer::after(lasts).await;
    daemon.signal(Signal::CONT);
}

async fn store_fault<F>(site: &Site, lasts: Duration, set: F)
where
    F: Fn(&mut PlatformFaults, bool),
{
    site.platform.change_faults(|faults| set(faults, true));
    Timer::after(lasts).await;
    site.platform.change_faults(|faults| set(faults, false));
}

async fn store_link(site: &Site, who: Who, link: Link, lasts: Duration) {
    let Some(number) = site.find(who) else { return };
    site.store_links[number].set(link);
    Timer::after(lasts).await;
    site.store_links[number].set(Link::Open);
}

async fn host_link(site: &Site, host: usize, link: Link, lasts: Duration) {
    site.host_links[host].set(link);
    Timer::after(lasts).await;
    site.host_links[host].set(Link::Open);
}

/// Every other host is due.
fn ask_for_wave(site: &Site, size: &Size) {
    let wave = site.next_wave();
    let hosts = (0..size.hosts).skip(wave as usize % 2).step_by(2).map(site::host_name);
    let request = WaveRequest {
        wave,
        hosts: hosts.collect(),
        allowed: Duration::from_secs(60),
        max_down: WAVE_MOST,
    };
    site.platform.put(&operator::wave_key(wave), operator::encode_wave(&request));
}
