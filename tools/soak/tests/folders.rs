//! Runs that go on at the same time have folders of their own.

use std::{io, path::PathBuf};

use borageswitch_soak::{folder::Folder, plan::Shape};

fn claim(shape: Shape, seed: u64) -> io::Result<Folder> {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("folders");
    Folder::claim(&dir, shape, seed)
}

/// Guards against daemons that start again with the settings of another run.
#[test]
fn runs_of_different_shapes_do_not_share_a_folder() {
    let usual = claim(Shape::Usual, 1).expect("a folder that nobody uses");
    let incident = claim(Shape::Incident, 1).expect("a folder that nobody uses");

    assert_ne!(usual.path(), incident.path());
}

/// Guards against two runs of one seed that overwrite each other's settings.
#[test]
fn a_folder_is_refused_while_another_run_uses_it() {
    let first = claim(Shape::Usual, 2).expect("a folder that nobody uses");

    let meanwhile = claim(Shape::Usual, 2).map_err(|err| err.kind());
    drop(first);
    let afterwards = claim(Shape::Usual, 2);

    assert_eq!(meanwhile.err(), Some(io::ErrorKind::ResourceBusy));
    assert!(afterwards.is_ok(), "{afterwards:?}");
}
