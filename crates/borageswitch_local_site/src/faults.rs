//! Named things that go wrong in a session.

use std::{fmt, str::FromStr};

/// Something that goes wrong, by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The store cannot be reached for a while.
    StoreOutage,
    /// The store carries writes out, but its answers are lost for a while.
    StoreLosesAnswers,
    /// The store answers late.
    StoreSlow,
    /// The store's open connections go silent for good.
    StoreSilent,
    /// A host fails every request at once.
    FailingHost,
    /// A host takes ten times as long.
    SlowHost,
    /// A host goes down without warning.
    HostCrash,
    /// The open connections to a host's target go silent for good.
    SilentConnections,
    /// A daemon is asked to end.
    DaemonStop,
    /// A daemon ends without a word.
    DaemonVanish,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Fault; 10] = [
        Fault::StoreOutage,
        Fault::StoreLosesAnswers,
        Fault::StoreSlow,
        Fault::StoreSilent,
        Fault::FailingHost,
        Fault::SlowHost,
        Fault::HostCrash,
        Fault::SilentConnections,
        Fault::DaemonStop,
        Fault::DaemonVanish,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Fault::StoreOutage => "store-outage",
            Fault::StoreLosesAnswers => "store-loses-answers",
            Fault::StoreSlow => "store-slow",
            Fault::StoreSilent => "store-silent",
            Fault::FailingHost => "failing-host",
            Fault::SlowHost => "slow-host",
            Fault::HostCrash => "host-crash",
            Fault::SilentConnections => "silent-connections",
            Fault::DaemonStop => "daemon-stop",
            Fault::DaemonVanish => "daemon-vanish",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A text that names no fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownFault(String);

impl fmt::Display for UnknownFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known: Vec<&str> = Fault::ALL.iter().map(|fault| fault.name()).collect();
        write!(f, "'{}' is no fault; known are {}", self.0, known.join(", "))
    }
}

impl std::error::Error for UnknownFault {}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let found = Fault::ALL.into_iter().find(|fault| fault.name() == text);
        found.ok_or_else(|| UnknownFault(text.to_owned()))
    }
}
