//! Generates the committed code of the operators' schema.
//!
//! Run without arguments it writes the code; with `--check` it writes nothing and fails when the
//! committed code is not what the schema gives. It needs no program beside itself: `protox` reads
//! the schema.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// The generated file.
const GENERATED: &str = "borageswitch.v1.rs";

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    let outcome = if check { compare() } else { generate(&committed_dir()) };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("schema_codegen: {err}");
            ExitCode::FAILURE
        }
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn committed_dir() -> PathBuf {
    root().join("crates/borageswitch_wire/src/schema/generated")
}

fn generate(dir: &Path) -> io::Result<()> {
    let schema = root().join("schema");
    let files = protox::compile([schema.join("borageswitch.proto")], [schema])
        .map_err(|err| io::Error::other(format!("{err:?}")))?;
    fs::create_dir_all(dir)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .btree_map(".")
        .emit_rerun_if_changed(false)
        .out_dir(dir)
        .compile_fds(files)
}

fn compare() -> io::Result<()> {
    let fresh_dir = std::env::temp_dir().join(format!("schema_codegen-{}", std::process::id()));
    generate(&fresh_dir)?;
    let fresh = fs::read_to_string(fresh_dir.join(GENERATED))?;
    fs::remove_dir_all(&fresh_dir)?;
    let committed = fs::read_to_string(committed_dir().join(GENERATED))?;
    if fresh == committed {
        return Ok(());
    }
    Err(io::Error::other(
        "the committed code differs from the schema: run `cargo run -p schema_codegen`",
    ))
}

#[cfg(test)]
mod tests;
