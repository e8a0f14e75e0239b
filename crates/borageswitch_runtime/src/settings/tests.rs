//! Times that are derived from the guarantees of sites of several sizes.

use super::*;

fn settings(promises: &str) -> Settings {
    let text = format!(
        r#"{{
            "name": "d1", "data_centre": "dc",
            "listen": {{
                "callers": "127.0.0.1:1", "probes": "127.0.0.1:2", "peers": "127.0.0.1:3",
                "metrics": "127.0.0.1:4"
            }},
            "platform": {{ "store": "127.0.0.1:5", "hosts": "127.0.0.1:6" }},
            "promises": {promises}
        }}"#
    );
    parse(Path::new("test"), &text).expect("the settings are right")
}

#[test]
fn a_change_of_the_configuration_is_read_in_time_over_a_connection_that_went_silent() {
    for apply in [2_000, 3_000, 5_000] {
        let wait = settings(&format!(r#"{{ "config_apply_ms": {apply} }}"#)).config_watch_timeout();

        assert!(wait <= Duration::from_millis(apply) * 3 / 4, "{wait:?} of {apply} ms");
    }
}

#[test]
fn a_strict_site_confirms_keys_often_enough_to_accept_valid_ones() {
    let promises = r#"{ "config_apply_ms": 9000, "keys_strict": true, "keys_hold_ms": 5000 }"#;

    let wait = settings(promises).config_watch_timeout();

    assert!(2 * wait < Duration::from_millis(5_000 - 600), "{wait:?}");
}

#[test]
fn jobs_are_refused_on_overload_only_where_the_settings_say_so() {
    // A site that is upgraded must not begin to refuse jobs without a decision of its operator.
    let default = settings("{}");

    assert!(!default.limits().refuses_jobs);
}
