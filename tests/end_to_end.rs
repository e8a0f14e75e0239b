//! Real daemons, callers and stand-ins over loopback, through a wave and through failures.
//!
//! Verdicts count what callers received; no figure depends on how fast the machine is.

use std::{path::Path, time::Duration};

use borageswitch::settings::site as site_settings;
use borageswitch_local_site::{
    faults::Fault,
    report::Report,
    session::{self, SessionOptions},
    site::LocalSite,
};
use borageswitch_types::{
    fleet::{HostPhase, SiteConfig},
    names::HostName,
};

fn read_site(name: &str) -> SiteConfig {
    let path = format!("{}/examples/sites/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));
    site_settings::load(Path::new(&path)).unwrap_or_else(|problems| panic!("{problems}"))
}

/// The longest deadline of any request. When a daemon dies, a wave waits this long for requests that
/// the daemon may still have in flight; callers ask for 10 s.
const MAX_DEADLINE: Duration = Duration::from_secs(12);

fn make_options(name: &str, faults: &[Fault]) -> SessionOptions {
    let mut site = read_site(name);
    for service in site.services.values_mut() {
        service.limits.max_deadline = MAX_DEADLINE;
        service.limits.default_deadline = service.limits.default_deadline.min(MAX_DEADLINE);
    }
    let wave_hosts: Vec<HostName> = site.hosts.keys().step_by(8).cloned().collect();
    SessionOptions {
        name: name.to_owned(),
        site,
        daemons: 3,
        duration: Duration::from_secs(4),
        callers: 2,
        wave_hosts,
        boot_time: Duration::from_millis(300),
        faults: faults.to_vec(),
        seed: 7,
    }
}

fn run(options: &SessionOptions) -> Report {
    let report = session::run(options, |_| {}).unwrap_or_else(|err| panic!("{err}"));
    println!("{report}");
    report
}

/// Hosts are taken out, rebooted and taken back in while callers keep calling all three entries.
/// A caller whose request stood on a rebooted host, or got another one's answer, would notice.
#[test]
fn a_wave_cuts_no_request() {
    let options = make_options("spotless_ridge", &[]);

    let report = run(&options);

    assert_eq!(report.broken(), Vec::<String>::new());
    assert_eq!((report.wave_hosts, report.wave_failed), (options.wave_hosts.len(), 0));
}

/// One entry is replaced by plan and another dies without a word while a wave goes on. Callers of
/// the first notice nothing; those of the second lose what it had in flight, and nothing of it may
/// run twice.
#[test]
fn daemons_that_stop_and_vanish_double_nothing() {
    let options = make_options("terminal_market", &[Fault::DaemonStop, Fault::DaemonVanish]);

    let report = run(&options);

    assert_eq!(report.broken(), Vec::<String>::new());
}

/// The store goes away in the middle of a wave, and later carries writes out without answering.
/// Idempotent requests go on; a non-idempotent one is refused with a true "not run" or runs once.
#[test]
fn a_store_outage_reverts_and_doubles_nothing() {
    let options = make_options("terminal_market", &[Fault::StoreOutage, Fault::StoreLosesAnswers]);

    let report = run(&options);

    assert_eq!(report.broken(), Vec::<String>::new());
}

/// Open connections to a host and to the store go silent for good while new ones work: something in
/// between has lost track of them. Requests on them end, and the fleet goes on.
#[test]
fn silent_connections_are_replaced() {
    let options = make_options("spotless_ridge", &[Fault::SilentConnections, Fault::StoreSilent]);

    let report = run(&options);

    assert_eq!(report.broken(), Vec::<String>::new());
}

/// An idle daemon is asked to stop. Nothing is in flight, so nobody has anything to wait for; it
/// once waited for its whole stop timeout, because no report came that differed from the last.
#[test]
fn an_idle_daemon_stops_without_waiting() {
    let mut site = LocalSite::start(read_site("terminal_market"), 1, Duration::from_millis(300))
        .unwrap_or_else(|err| panic!("{err}"));
    let daemon = site.daemons.remove(0);
    let operator = daemon.operator();

    daemon.stopper().stop("the test is over");
    let began = std::time::Instant::now();
    daemon.wait();

    assert!(began.elapsed() < Duration::from_secs(25), "it waited for its stop timeout");
    drop(operator);
}

/// The platform is about to take a host away and shows it as leaving. Nobody has asked borageswitch to
/// do anything; without it looking at the list, requests would be cut when the host goes.
#[test]
fn a_host_that_the_platform_takes_away_is_held() {
    let mut site = LocalSite::start(read_site("spotless_ridge"), 1, Duration::from_millis(300))
        .unwrap_or_else(|err| panic!("{err}"));
    let host = site.config.hosts.keys().next().cloned().expect("the site has hosts");
    site.standin.host_list.set(host.clone(), Some(true));

    let is_held = || {
        let fleet = site.fleet()?;
        Some(matches!(fleet.hosts.get(&host)?.phase, HostPhase::Held { .. }))
    };
    let until = std::time::Instant::now() + Duration::from_secs(90);
    while is_held() != Some(true) && std::time::Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
    }

    assert_eq!(is_held(), Some(true));
    let daemon = site.daemons.remove(0);
    daemon.stopper().stop("the test is over");
    daemon.wait();
}
