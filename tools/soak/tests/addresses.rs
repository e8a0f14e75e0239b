//! Runs that go on at the same time do not reach each other.

use std::{
    collections::BTreeSet,
    fs,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    sync::Arc,
};

use borageswitch_soak::{addresses::Reservation, site::Site};
use serde_json::Value;
use smol::Executor;

/// Puts the site of a seed together without starting its daemons, and gives its folder.
fn site(seed: u64) -> (Site, PathBuf) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("addresses-{seed}"));
    fs::create_dir_all(&dir).expect("the folder of the tests can be written");
    let ex = Arc::new(Executor::new());
    let site = Site::new(&ex, Path::new("not-started"), &dir, 2, 3).expect("loopback ports");
    (site, dir)
}

/// Every address in the settings of the daemons in `dir`.
fn addresses(dir: &Path) -> BTreeSet<IpAddr> {
    let settings = ["d0.jsonc", "d1.jsonc"].map(|name| {
        let text = fs::read_to_string(dir.join(name)).expect("a site writes settings");
        serde_json::from_str::<Value>(&text).expect("settings are JSON")
    });
    let parts = settings.iter().flat_map(|s| [&s["listen"], &s["platform"]]);
    let values = parts.flat_map(|part| part.as_object().expect("a part has fields").values());
    let parse = |value: &Value| value.as_str()?.parse::<SocketAddr>().ok();
    values.map(|value| parse(value).expect("an address").ip()).collect()
}

/// Guards against a daemon of one run that is given the port of a killed daemon of another run.
#[test]
fn two_runs_at_a_time_share_no_address() {
    let (_first, first_dir) = site(71014);
    let (_second, second_dir) = site(71016);

    let [first, second] = [first_dir, second_dir].map(|dir| addresses(&dir));

    assert!(first.is_disjoint(&second), "{first:?} and {second:?}");
    assert!(first.iter().chain(&second).all(IpAddr::is_loopback), "{first:?} and {second:?}");
}

/// Guards against requests to a killed daemon that reach whoever has been given its port since.
#[test]
fn a_port_that_a_daemon_gave_back_does_not_lead_to_another_run() {
    let (_first, first_dir) = site(71015);
    let (_second, second_dir) = site(71017);
    let [first, second] = [first_dir, second_dir]
        .map(|dir| addresses(&dir).pop_last().expect("settings have addresses"));
    let daemon = TcpListener::bind((first, 0)).expect("a free port");
    let known = daemon.local_addr().expect("a bound listener has an address");
    drop(daemon);

    let _other = TcpListener::bind((second, known.port())).expect("the port was given back");

    assert!(TcpStream::connect(known).is_err(), "{known} leads to the other run");
}

/// Guards against a daemon that outlives its run and meets the next run on the same address.
#[test]
fn an_address_stays_reserved_while_a_daemon_has_a_copy() {
    let run = Reservation::new().expect("a free address");
    let ip = run.ip();
    let daemon = run.to_fd().expect("a copy");
    drop(run);

    let next = Reservation::new().expect("a free address");

    assert_ne!(next.ip(), ip);
    drop(daemon);
}
