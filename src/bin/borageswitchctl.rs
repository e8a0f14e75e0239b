//! The operators' command line.

use std::{io, process::ExitCode};

fn main() -> ExitCode {
    let (mut out, mut err) = (io::stdout().lock(), io::stderr().lock());
    ExitCode::from(borageswitch::ctl::run(std::env::args_os(), &mut out, &mut err))
}
