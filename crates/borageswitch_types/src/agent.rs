//! What is asked of a host's agent, which belongs to the platform, and what it says.

use crate::{names::OperationId, time::UnixMillis};

/// A command to a host's agent. Each is idempotent by its operation id.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AgentCommand {
    /// Report.
    Status,
    /// Reboot the host.
    Reboot {
        /// The id of the command.
        operation: OperationId,
        /// After this time the agent refuses.
        not_after: UnixMillis,
    },
    /// Limit the host's draw.
    Throttle {
        /// The id of the command.
        operation: OperationId,
        /// The limit in watts; nothing lifts it.
        limit_watts: Option<u64>,
    },
    /// Switch the host off.
    PowerOff {
        /// The id of the command.
        operation: OperationId,
    },
}

/// What a host's agent says of the host.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AgentStatus {
    /// Whether the host is up and its target answers.
    pub ready: bool,
    /// The last command that the agent has carried out to its end.
    pub done: Option<OperationId>,
    /// The last reading of the draw, in watts, which lags.
    pub draw_watts: u64,
}

/// Why an agent gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AgentError {
    /// It cannot be reached, or did not answer in time.
    #[display("the agent did not answer")]
    Silent,
    /// It refused the command: its not-after time has passed, or a newer command was seen.
    #[display("the agent refused the command")]
    Refused,
}
