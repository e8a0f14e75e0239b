//! Whole sessions of the operators' command line, and what it does when daemons fail it.

mod fixture;

use borageswitch::{
    types::{Fleet, fleet::Revision, names::DaemonName},
    wire::operator::OperatorAnswer,
};

use crate::fixture::{Daemon, Site, nobody, run, run_at};

/// Applies the small site, so that a test begins with a fleet.
fn with_site() -> (Daemon, Site) {
    let daemon = Daemon::start();
    let site = Site::write();
    let applied = daemon.run(&["config", "apply", site.path(), "--operation-id", "op-0"]);
    assert_eq!(applied.code, 0, "{applied:?}");
    (daemon, site)
}

/// A transcript of commands, one after the other.
fn session(daemon: &Daemon, commands: &[&str]) -> String {
    commands.iter().map(|line| daemon.run_line(line).transcript(line)).collect()
}

#[test]
fn pools_services_and_hosts() {
    let (daemon, _site) = with_site();

    let transcript = session(
        &daemon,
        &[
            "fleet get",
            "pool list",
            "service list",
            "host list",
            "host list --pool spare",
            "team list",
            "pool set night --hosts 0 --operation-id op-1",
            "service set billing --slots 8 --operation-id op-2 --reason less",
            "team set guests --weight 1 --slot-quota 2 --operation-id op-3",
            "caller set walk-in --team guests --operation-id op-4",
            "host move s1 --to billing --operation-id op-5",
            "host hold b1 --operation-id op-6 --reason fan",
            "power cap 5kW --operation-id op-7",
            "entries set 9 --operation-id op-8",
            "host list",
            "pool list --output json",
            "team list",
        ],
    );

    insta::assert_snapshot!(transcript);
}

#[test]
fn a_wave() {
    let (daemon, _site) = with_site();

    let transcript = session(
        &daemon,
        &[
            "wave start patch --host b1 --host b2 --max-batch 1 --trial 5s --operation-id op-1",
            "wave list",
            "wave pause patch --operation-id op-2 --output json",
            "wave list --output json",
            "wave resume patch --operation-id op-3",
            "wave abort patch --operation-id op-4",
            "wave list",
        ],
    );

    insta::assert_snapshot!(transcript);
}

#[test]
fn refusals() {
    let (daemon, _site) = with_site();

    let transcript = session(
        &daemon,
        &[
            "pool remove billing --operation-id op-1",
            "host move b1 --to nowhere --operation-id op-2",
            "host remove b1 --operation-id op-3",
            "wave pause none --operation-id op-4",
            "power cap 1W --operation-id op-5",
            "pool set night --hosts 1 --expected-revision 0 --operation-id op-6",
            "service set new --slots 3 --operation-id op-7",
            "pool set new --operation-id op-8",
        ],
    );

    insta::assert_snapshot!(transcript);
}

#[test]
fn bad_input_names_the_argument() {
    let daemon = Daemon::start();

    let transcript = session(
        &daemon,
        &[
            "host move H1 --to b",
            "host move h1",
            "pool set a --hosts many",
            "power cap 5",
            "wait soon",
            "wave start w --trial quickly",
            "entries set 0",
            "host hold h1 --operation-id Not/An/Id",
            "config apply no-such-file.jsonc",
            "--endpoint localhost fleet get",
            "frobnicate",
        ],
    );

    insta::assert_snapshot!(transcript);
}

#[test]
fn a_wrong_site_file_names_every_field_and_changes_nothing() {
    let daemon = Daemon::start();
    let site = Site::write_text(
        r#"{ "entries_expected": 0, "power_cap": "much", "pools": {}, "services": {}, "racks": [] }"#,
    );

    let ran = daemon.run(&["config", "apply", site.path()]);

    assert_eq!(ran.code, 2);
    assert!(ran.err.contains("entries_expected") && ran.err.contains("power_cap"), "{}", ran.err);
    assert_eq!(daemon.revision(), Revision(0));
}

/// An operator gets no answer and repeats the command with the same id. The change must be made
/// once: a second wave or a second move would take hosts out that nobody meant.
#[test]
fn a_repeated_operation_is_carried_out_once() {
    let (daemon, _site) = with_site();
    let command = ["host", "hold", "b1", "--operation-id", "op-1"];

    let first = daemon.run(&command);
    let again = daemon.run(&command);

    assert_eq!((first.code, again.code), (0, 0));
    assert_eq!(first.out, again.out);
    assert_eq!(daemon.revision(), Revision(2));
}

#[test]
fn an_operation_id_is_made_up_and_shown_before_the_change() {
    let (daemon, _site) = with_site();

    let ran = daemon.run(&["host", "hold", "b1"]);
    let other = daemon.run(&["host", "release", "b1"]);

    assert!(ran.err.starts_with("operation id: ctl-"), "{}", ran.err);
    assert_ne!(ran.err, other.err);
}

#[test]
fn a_wait_returns_when_the_change_is_in_force() {
    let (daemon, _site) = with_site();

    let ran = daemon.run(&["host", "hold", "b1", "--wait=2s", "--operation-id", "op-1"]);

    assert_eq!(ran.code, 0);
    assert_eq!(ran.out, "accepted as revision 2\nrevision 2 is in force everywhere\n");
}

/// A daemon is cut off and goes on by the old configuration. The operator must not be told that the
/// new one is in force, but who lags.
#[test]
fn a_wait_names_who_lags_and_fails() {
    let (daemon, site) = with_site();
    daemon.lag(&[DaemonName::from("d2"), DaemonName::from("d5")]);

    let ran = daemon.run(&["config", "apply", site.path(), "--wait", "--operation-id", "op-1"]);

    assert_eq!(ran.code, 7);
    assert!(ran.out.starts_with("accepted as revision "), "{}", ran.out);
    assert!(ran.err.ends_with("is not in force everywhere; lagging: d2, d5\n"), "{}", ran.err);
}

#[test]
fn the_next_endpoint_is_asked_when_the_first_is_gone() {
    let daemon = Daemon::start();

    let ran = run_at(&[nobody(), daemon.address()], &["fleet", "get"]);

    assert_eq!(ran.code, 0, "{ran:?}");
}

#[test]
fn without_a_daemon_the_endpoints_are_named() {
    let ran = run_at(&[nobody()], &["fleet", "get"]);

    assert_eq!(ran.code, 5);
    assert!(ran.err.contains(&nobody().to_string()), "{}", ran.err);
}

/// The daemon that takes the change ends before it answers, and no other is left. Whether the change
/// was made is open; the operator is told so, with the id that makes repeating safe.
#[test]
fn a_lost_answer_is_undecided_and_names_the_id() {
    let daemon = Daemon::start();
    daemon.answer(OperatorAnswer::Undecided { detail: "the store is slow".into() });

    let ran = daemon.run(&["host", "hold", "b1", "--operation-id", "op-1"]);

    assert_eq!(ran.code, 6);
    assert!(ran.err.contains("repeat the same command with --operation-id op-1"), "{}", ran.err);
}

/// The first daemon cannot settle a change that it may have made. The second is asked with the same
/// id, so the change is made once and the operator gets its revision.
#[test]
fn an_undecided_change_is_settled_by_the_next_daemon() {
    let (daemon, _site) = with_site();
    let unsure = Daemon::start();
    unsure.answer(OperatorAnswer::Undecided { detail: "the store is slow".into() });
    let command = ["host", "hold", "b1", "--operation-id", "op-1"];
    daemon.run(&command);

    let ran = run_at(&[unsure.address(), daemon.address()], &command);

    assert_eq!((ran.code, &*ran.out), (0, "accepted as revision 2\n"));
}

/// Two operators change one field each of the same pool at the same time. Neither may undo what the
/// other did.
#[test]
fn two_operators_who_set_one_field_each_keep_both() {
    let (daemon, _site) = with_site();
    let at = daemon.address();

    let one = std::thread::spawn(move || {
        for n in 0..4 {
            run_at(&[at], &["pool", "set", "billing", "--priority", &n.to_string()]);
        }
    });
    for n in 0..4 {
        daemon.run(&["pool", "set", "billing", "--hosts", &n.to_string()]);
    }
    one.join().unwrap();

    let fleet: Fleet = daemon.fleet();
    assert_eq!(fleet.pools["billing"].priority, 3);
    assert_eq!(fleet.pools["billing"].wanted_hosts, 3);
}

#[test]
fn explanations_and_dumps_are_shown() {
    let daemon = Daemon::start();
    let lines = vec!["h1 waits".into(), "the budget of billing is used up".into()];
    daemon.answer(OperatorAnswer::Explanation(lines));
    let explained = daemon.run(&["explain", "host", "h1"]);
    daemon.answer(OperatorAnswer::Json(r#"{"revision":4}"#.to_owned()));
    let dumped = daemon.run(&["dump"]);
    daemon.answer(OperatorAnswer::NotFound);
    let unknown = daemon.run(&["explain", "request", "r-7"]);

    assert_eq!(explained.out, "h1 waits\nthe budget of billing is used up\n");
    assert_eq!(dumped.out, "{\n  \"revision\": 4\n}\n");
    assert_eq!(
        (unknown.code, &*unknown.err),
        (3, "error: not found: what was asked about is not known\n")
    );
}

#[test]
fn help_is_no_error() {
    let ran = run(&["--help"]);

    assert_eq!(ran.code, 0);
    assert!(ran.out.contains("config") && ran.err.is_empty());
}

/// The page of commands is written from the commands themselves, so that a new one cannot be
/// forgotten.
#[test]
fn the_page_of_commands_is_complete() {
    let page = include_str!("../../docs/operators/commands.md");

    let reference = fixture::reference();

    assert!(page.ends_with(&reference), "the page ends with another reference than\n{reference}");
}
