//! Settings that are right, and each way in which they can be wrong.

use std::path::Path;

use crate::{daemon, site};

fn daemon_text() -> String {
    r#"{
        // A daemon of the site in Midrand.
        "region": "gauteng",
        "data_centre": "midrand",
        "listen": {
            "callers": "127.0.0.1:8080",
            "operators": "127.0.0.1:8081",
            "peers": "127.0.0.1:8082",
            "observe": "127.0.0.1:8083",
        },
        "platform": { "store": ["127.0.0.1:9000"], "host_list": "127.0.0.1:9001" },
        "site_key": "0123456789abcdef",
    }"#
    .to_owned()
}

fn site_text() -> String {
    r#"{
        "entries_expected": 3,
        "power_cap": "2 kW",
        "host_kinds": {
            "small": {
                "slots": 8, "connections": 64,
                "draw": { "peak": "300 W", "throttled": "150 W", "boot": "360 W" },
            },
        },
        "pools": { "docks": { "wanted_hosts": 3 } },
        "services": { "docks": { "pool": "docks", "promised_slots": 16, "survives": "rack" } },
        "racks": [
            { "data_centre": "detroit", "rack": "r1", "kind": "small",
              "hosts": [{ "name": "h1", "pool": "docks", "target": "10.0.0.1:80", "agent": "10.0.0.1:81" }] },
            { "data_centre": "detroit", "rack": "r2", "kind": "small",
              "hosts": [{ "name": "h2", "pool": "docks", "target": "10.0.0.2:80", "agent": "10.0.0.2:81" }] },
            { "data_centre": "chicago", "rack": "r1", "kind": "small",
              "hosts": [{ "name": "h3", "pool": "docks", "target": "10.0.0.3:80", "agent": "10.0.0.3:81" }] },
        ],
        "teams": { "dispatch": { "weight": 2, "slot_quota": 8 } },
        "callers": { "truck-desk": "dispatch" },
    }"#
    .to_owned()
}

fn problems_of_daemon(text: &str) -> String {
    daemon::parse(Path::new("daemon.jsonc"), text).expect_err("the text is wrong").to_string()
}

fn problems_of_site(text: &str) -> String {
    site::parse(Path::new("site.jsonc"), text).expect_err("the text is wrong").to_string()
}

#[test]
fn right_settings_are_read() {
    let daemon = daemon::parse(Path::new("daemon.jsonc"), &daemon_text()).expect("it is right");
    let site = site::parse(Path::new("site.jsonc"), &site_text()).expect("it is right");

    assert_eq!(daemon.region.as_str(), "gauteng");
    assert_eq!(site.hosts.len(), 3);
    assert_eq!(site.power_cap.0, 2_000);
}

#[test]
fn a_written_site_reads_the_same_again() {
    let site = site::parse(Path::new("site.jsonc"), &site_text()).expect("it is right");

    let again = site::parse(Path::new("again.jsonc"), &site::to_text(&site)).expect("it is right");

    assert_eq!(again, site);
}

/// Somebody writes a file with several mistakes. If only the first were named, the daemon would
/// have to be started once for each of them.
#[test]
fn every_mistake_is_named_at_once() {
    let text = daemon_text()
        .replace("\"gauteng\"", "\"Gauteng West\"")
        .replace("8081", "8080")
        .replace("\"site_key\": \"0123456789abcdef\"", "\"site_key\": \"short\", \"sight_key\": 1")
        .replace("\"host_list\"", "\"call_timeout\": \"5 parsecs\", \"host_list\"");

    let problems = problems_of_daemon(&text);

    insta::assert_snapshot!(problems);
}

/// Operators declare more than the hosts can keep. Accepting it would break the budget on the day
/// the first rack fails.
#[test]
fn impossible_budgets_and_power_are_refused() {
    let text = site_text()
        .replace("\"promised_slots\": 16", "\"promised_slots\": 17")
        .replace("2 kW", "900 W");

    let problems = problems_of_site(&text);

    insta::assert_snapshot!(problems);
}

/// Two hosts share an address by a copied line. Each would get the other's requests.
#[test]
fn clashing_addresses_and_dangling_names_are_refused() {
    let text = site_text()
        .replace("10.0.0.2:80", "10.0.0.1:80")
        .replace("\"truck-desk\": \"dispatch\"", "\"truck-desk\": \"nobody\"")
        .replace(
            "{ \"name\": \"h3\", \"pool\": \"docks\"",
            "{ \"name\": \"h3\", \"pool\": \"decks\"",
        );

    let problems = problems_of_site(&text);

    insta::assert_snapshot!(problems);
}

#[test]
fn a_file_that_is_no_json_is_refused() {
    insta::assert_snapshot!(problems_of_site("{ \"pools\": "));
    insta::assert_snapshot!(problems_of_site("[]"));
}

proptest::proptest! {
    /// Whatever stands in a file, the daemon answers with problems and never panics.
    #[test]
    fn no_text_panics(text in ".{0,200}") {
        let _ = daemon::parse(Path::new("daemon.jsonc"), &text);
        let _ = site::parse(Path::new("site.jsonc"), &text);
    }

    /// A right file with one character changed is either still right or refused.
    #[test]
    fn no_changed_character_panics(at in 0_usize..1_000, with in proptest::char::any()) {
        let mut chars: Vec<char> = site_text().chars().collect();
        let at = at % chars.len();
        chars[at] = with;
        let text: String = chars.into_iter().collect();
        let _ = site::parse(Path::new("site.jsonc"), &text);
    }
}

#[test]
fn the_example_sites_are_right() {
    for name in ["spotless_ridge", "terminal_market"] {
        let path = format!("{}/../../examples/sites/{name}.jsonc", env!("CARGO_MANIFEST_DIR"));

        let site = site::load(Path::new(&path)).unwrap_or_else(|problems| panic!("{problems}"));

        assert_eq!((site.hosts.len(), site.services.len()), (48, 5));
    }
}
