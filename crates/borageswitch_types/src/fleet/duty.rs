//! Work that needs one doer at a time.

use std::{fmt, str::FromStr};

use crate::names::DataCentreName;

/// Work that one daemon at a time does, under a lease in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Duty {
    /// Takes the steps of moves, waves and power in the region.
    Planner,
    /// Watches the store for a data centre and passes changes on to its daemons.
    Relay(DataCentreName),
}

impl fmt::Display for Duty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Duty::Planner => f.write_str("planner"),
            Duty::Relay(data_centre) => write!(f, "relay/{data_centre}"),
        }
    }
}

/// A text that names no duty.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("'{_0}' names no duty: 'planner' or 'relay/DATA_CENTRE' is expected")]
pub struct ParseDutyError(String);

impl std::error::Error for ParseDutyError {}

impl FromStr for Duty {
    type Err = ParseDutyError;

    fn from_str(text: &str) -> Result<Self, ParseDutyError> {
        let unknown = || ParseDutyError(text.to_owned());
        match text.split_once('/') {
            None if text == "planner" => Ok(Duty::Planner),
            Some(("relay", name)) => name.parse().map(Duty::Relay).map_err(|_| unknown()),
            _ => Err(unknown()),
        }
    }
}

impl From<Duty> for String {
    fn from(duty: Duty) -> String {
        duty.to_string()
    }
}

impl TryFrom<String> for Duty {
    type Error = ParseDutyError;

    fn try_from(text: String) -> Result<Self, ParseDutyError> {
        text.parse()
    }
}

/// Counts the holders of a duty: each new holder has a higher one.
///
/// A holder that was paused past its lease still believes that it holds the duty. Its writes carry
/// a number below the one that the document has seen since, and are refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct Fence(pub u64);
