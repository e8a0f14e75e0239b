//! Messages between daemons, encoded by `bincode` in frames on `h2` streams.

use std::{collections::BTreeMap, net::SocketAddr};

use borageswitch_types::{
    Fleet,
    fleet::{AppliedChange, Duty, Revision},
    names::{DaemonName, DataCentreName, HostName},
    slots::SlotMessage,
};

/// The version of the messages; a peer of another version is told so and not listened to.
pub const PEER_VERSION: u16 = 1;

/// The largest frame that is read, in bytes: a fleet document with room to spare.
pub const MAX_FRAME: usize = 2 << 20;

/// A daemon as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its name, new at every start.
    pub daemon: DaemonName,
    /// The data centre in which it runs.
    pub data_centre: DataCentreName,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// What a daemon says of its own progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// The revision by which its traffic threads send requests.
    pub applied: Revision,
    /// For each host that takes no new work by that revision: its epoch and the requests that
    /// this daemon still has in flight there.
    pub draining: BTreeMap<HostName, (u64, u32)>,
}

/// A message between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PeerMessage {
    /// The first message on a connection, both ways.
    Hello {
        /// [`PEER_VERSION`] of the sender.
        version: u16,
        /// The sender.
        member: Member,
        /// The sender's revision.
        revision: Revision,
    },
    /// Sent at intervals: the sender lives and has come this far.
    Heartbeat {
        /// How far it has come.
        progress: Progress,
        /// The duties that it holds.
        duties: Vec<Duty>,
    },
    /// Changes that follow `base`, oldest first.
    Changes {
        /// The revision before the first change.
        base: Revision,
        /// The changes.
        changes: Vec<AppliedChange>,
    },
    /// A whole document, for a peer that is too far behind for changes.
    Snapshot(Box<Fleet>),
    /// Asks for everything after a revision.
    AskFleet {
        /// What the sender has.
        have: Revision,
    },
    /// About the slots of a service; goes straight to the traffic threads.
    Slots(SlotMessage),
}

/// Why a frame cannot be encoded or decoded.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub enum CodecError {
    /// The message cannot be encoded.
    #[display("cannot encode: {_0}")]
    Encode(bincode::error::EncodeError),
    /// The bytes are no message.
    #[display("cannot decode: {_0}")]
    Decode(bincode::error::DecodeError),
    /// Bytes are left after the message.
    #[display("{_0} bytes are left after the message")]
    #[from(skip)]
    Trailing(usize),
}

impl std::error::Error for CodecError {}

/// Encodes a message as the content of one frame.
///
/// # Errors
///
/// When the message is longer than the encoding can say.
pub fn encode(message: &PeerMessage) -> Result<Vec<u8>, CodecError> {
    Ok(bincode::serde::encode_to_vec(message, codec())?)
}

/// Decodes the content of one frame.
///
/// # Errors
///
/// When the bytes are not exactly one message of at most [`MAX_FRAME`] bytes.
pub fn decode(frame: &[u8]) -> Result<PeerMessage, CodecError> {
    let (message, used) = bincode::serde::decode_from_slice(frame, codec())?;
    match frame.len() - used {
        0 => Ok(message),
        left => Err(CodecError::Trailing(left)),
    }
}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME>()
}
