//! Shared immutable names.
//!
//! A name is read from settings or the fleet document once and then copied into events, logs and
//! keys of maps all the time. An [`Arc`](std::sync::Arc) of text makes such a copy a counter increment.

mod text;

use std::{borrow::Borrow, fmt, str::FromStr};

/// The most bytes a name may have: it must fit a metric label and a key of the store.
pub const MAX_NAME_LEN: usize = 63;

/// Why a text cannot serve as a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NameError {
    /// The text has no characters.
    #[display("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_LEN`] bytes.
    #[display("a name must not be longer than 63 bytes")]
    TooLong,
    /// A character other than `a-z`, `0-9`, `-`, `_` or `.` was found.
    #[display("a name has only the characters a-z, 0-9, '-', '_' and '.'")]
    BadCharacter,
}

impl std::error::Error for NameError {}

/// Checks that `text` can serve as a name.
///
/// # Errors
///
/// Names the first rule that the text breaks.
pub fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LEN {
        return Err(NameError::TooLong);
    }
    let allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    if text.bytes().all(allowed) { Ok(()) } else { Err(NameError::BadCharacter) }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(text::Text);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text::Text::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text::Text::from(text))
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text::Text::from(text)))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.0.as_str())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.0.as_str())
            }
        }
    };
}

name! {
    /// A machine that serves or could serve requests.
    HostName
}
name! {
    /// A group of hosts that serve the same services.
    PoolName
}
name! {
    /// A service that callers address.
    ServiceName
}
name! {
    /// A failure domain whose machines share power and network.
    DataCentreName
}
name! {
    /// A failure domain within a data centre: machines that share a switch.
    RackName
}
name! {
    /// A group of data centres that share one fleet document.
    RegionName
}
name! {
    /// One running daemon, a new name at every start, since its host keeps nothing.
    DaemonName
}
name! {
    /// Whoever sends requests.
    CallerName
}
name! {
    /// A group of callers that share a quota.
    TeamName
}
name! {
    /// A maintenance wave.
    WaveName
}
name! {
    /// A job that is placed as a task on a host.
    JobName
}
name! {
    /// Chosen by whoever asks for a change, so that a repeated ask is recognised.
    OperationId
}
name! {
    /// One life of the program on a host that runs tasks; a host that comes back has a new one.
    ExecutorName
}
name! {
    /// A queue that callers hand jobs to.
    QueueName
}
