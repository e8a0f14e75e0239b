//! The operators' command line, as a library: `borageswitchctl` is a thin program around [`run`].
//!
//! [`command`] declares the arguments and [`action`] reads them; [`session`] carries an action out
//! by [`caller`], which tries the daemons in turn; [`merge`] completes what `set` commands leave
//! out; [`overload`] asks a daemon of the users' platform; [`send`] picks the remote call of a change; [`output`] writes tables or JSON; [`error`]
//! lists the ways to fail with their exit codes.

mod action;
mod caller;
mod command;
mod error;
mod merge;
mod output;
mod overload;
mod send;
mod session;

use std::{ffi::OsString, io::Write, sync::Arc};

pub use self::command::command;
use self::{action::Invocation, error::CtlError, session::Session};

/// Carries out one command line and gives the exit code.
///
/// Results go to `out`; errors, and the operation id of a change before it is sent, go to `err`.
pub fn run<A, O, E>(args: A, out: &mut O, err: &mut E) -> u8
where
    A: IntoIterator,
    A::Item: Into<OsString> + Clone,
    O: Write,
    E: Write,
{
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(usage) => {
            let shown = usage.render();
            let printed =
                if usage.use_stderr() { write!(err, "{shown}") } else { write!(out, "{shown}") };
            return code_of(printed, u8::try_from(usage.exit_code()).unwrap_or(error::BAD_INPUT));
        }
    };
    let outcome = Invocation::read(&matches).and_then(|invocation| {
        let ex = Arc::new(smol::Executor::new());
        let mut session = Session::new(&invocation, ex.clone(), out, err);
        smol::block_on(ex.run(session.carry_out(&invocation.action)))
    });
    match outcome {
        Ok(()) => 0,
        Err(failed) => code_of(writeln!(err, "error: {failed}"), failed.exit_code()),
    }
}

fn code_of(printed: std::io::Result<()>, code: u8) -> u8 {
    if printed.is_ok() { code } else { CtlError::from(std::io::ErrorKind::BrokenPipe).exit_code() }
}
