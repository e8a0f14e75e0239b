//! The ways in which a command fails, and their exit codes.

use std::{io, net::SocketAddr};

use borageswitch_edge::operators::client::ConnectError;
use borageswitch_types::{fleet::Revision, names::OperationId};

/// The exit code of an argument or field that cannot be used.
pub(super) const BAD_INPUT: u8 = 2;

/// Why a command did not do what was asked.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum CtlError {
    /// The output cannot be written.
    #[display("the output cannot be written: {_0}")]
    Output(io::ErrorKind),
    /// An argument, a file or a field of the change cannot be used; nothing was changed.
    #[display("{_0}")]
    #[from(skip)]
    BadInput(String),
    /// The fleet does not allow the change; nothing was changed.
    #[display("refused: {_0}")]
    #[from(skip)]
    Refused(String),
    /// The fleet is at another revision; nothing was changed.
    #[display("conflict: {_0}")]
    #[from(skip)]
    Conflict(String),
    /// What was asked about is not known.
    #[display("not found: {_0}")]
    #[from(skip)]
    NotFound(String),
    /// No daemon could be asked; nothing was changed.
    #[display("no daemon can be reached: {}", list(_0))]
    #[from(skip)]
    Unreachable(Vec<(SocketAddr, ConnectError)>),
    /// No daemon could tell whether the change was made.
    #[display(
        "undecided: {detail}; repeat the same command with --operation-id {operation}: \
         a change is made once for one id"
    )]
    #[from(skip)]
    Undecided {
        /// What was tried.
        detail: String,
        /// The id to repeat.
        operation: OperationId,
    },
    /// A daemon did not answer what only shows something.
    #[display("no daemon has answered: {_0}")]
    #[from(skip)]
    NoAnswer(String),
    /// The revision is accepted but not in force everywhere.
    #[display("revision {revision} is not in force everywhere; lagging: {}", lagging.join(", "))]
    #[from(skip)]
    Lagging {
        /// The revision.
        revision: Revision,
        /// The daemons that have not confirmed it.
        lagging: Vec<String>,
    },
    /// A daemon's answer cannot be understood.
    #[display("the daemon's answer cannot be understood: {_0}")]
    #[from(skip)]
    BadAnswer(String),
}

impl CtlError {
    /// The exit code, the same for the same way of failing.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            CtlError::Output(_) | CtlError::BadAnswer(_) => 1,
            CtlError::BadInput(_) => BAD_INPUT,
            CtlError::Refused(_) | CtlError::NotFound(_) => 3,
            CtlError::Conflict(_) => 4,
            CtlError::Unreachable(_) | CtlError::NoAnswer(_) => 5,
            CtlError::Undecided { .. } => 6,
            CtlError::Lagging { .. } => 7,
        }
    }
}

impl std::error::Error for CtlError {}

impl From<io::Error> for CtlError {
    fn from(err: io::Error) -> Self {
        CtlError::Output(err.kind())
    }
}

fn list(tried: &[(SocketAddr, ConnectError)]) -> String {
    let lines: Vec<String> = tried.iter().map(|(daemon, err)| format!("{daemon}: {err}")).collect();
    lines.join("; ")
}
