use std::{env, fs, path::PathBuf, process};

use super::{SettingsChange, SettingsWatcher};
use crate::settings;

fn text(store: &str, level: &str) -> String {
    format!(
        r#"{{
            "name": "d1", "data_centre": "here", "log_level": "{level}",
            "listen": {{ "callers": "127.0.0.1:1", "probes": "127.0.0.1:2",
                         "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4" }},
            "platform": {{ "store": "{store}", "hosts": "127.0.0.1:6" }},
            "promises": {{}}
        }}"#
    )
}

fn watch(name: &str) -> (PathBuf, SettingsWatcher) {
    let path = env::temp_dir().join(format!("borageswitch-{name}-{}.jsonc", process::id()));
    fs::write(&path, text("127.0.0.1:5", "info")).unwrap();
    let settings = settings::load(&path).unwrap();
    (path.clone(), SettingsWatcher::new(&path, settings))
}

#[test]
fn a_file_that_changes_without_a_signal_is_noticed() {
    // The platform moves its store and rewrites the settings without a signal. A daemon that
    // reloads only on a signal would call the old address until its restart.
    let (path, mut watcher) = watch("moved");
    assert_eq!(watcher.poll().unwrap(), None);

    fs::write(&path, text("127.0.0.1:55", "debug")).unwrap();
    let change: SettingsChange = watcher.poll().unwrap().unwrap();

    assert_eq!(change.applied, ["platform", "log_level"]);
    assert_eq!(change.settings.platform.store.port(), 55);
    assert_eq!(watcher.poll().unwrap(), None);
    fs::remove_file(path).unwrap();
}

#[test]
fn a_file_with_an_error_changes_nothing_and_is_reported_once() {
    let (path, mut watcher) = watch("mistaken");

    fs::write(&path, text("nowhere", "info")).unwrap();
    let problems = watcher.poll().unwrap_err();

    assert!(problems.to_string().contains("store"), "{problems}");
    assert_eq!(watcher.poll().unwrap(), None);
    fs::write(&path, text("127.0.0.1:5", "info")).unwrap();
    assert_eq!(watcher.poll().unwrap(), None);
    fs::remove_file(path).unwrap();
}

#[test]
fn changes_that_need_a_restart_are_reported() {
    let (path, mut watcher) = watch("deferred");

    let changed = text("127.0.0.1:5", "info").replace("127.0.0.1:3", "127.0.0.1:33");
    fs::write(&path, changed).unwrap();
    let change = watcher.poll().unwrap().unwrap();

    assert_eq!((change.applied.len(), change.deferred), (0, vec!["listen"]));
    fs::remove_file(path).unwrap();
}
