//! Messages between daemons, encoded by `bincode` in frames on `h2` streams.

use std::{collections::BTreeMap, hash::Hasher, net::SocketAddr, time::Duration};

use borageswitch_types::{
    Fleet, Time,
    claim::{ClaimKey, ClaimNonce, ClaimOutcome},
    fleet::{AppliedChange, Duty, Revision},
    names::{DaemonName, DataCentreName, HostName},
    slots::SlotMessage,
};
use fnv::FnvHasher;

/// The version of the messages; a peer of another version is told so and not listened to.
pub const PEER_VERSION: u16 = 2;

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
    /// The hosts that fail nearly all requests of this daemon, with the share in thousandths.
    pub failing: BTreeMap<HostName, u16>,
    /// Whether this daemon takes new work.
    pub serving: bool,
}

/// What a daemon knows of another one, passed on along the tree of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heard {
    /// The other daemon.
    pub daemon: DaemonName,
    /// How long ago, at the most, the other daemon said this, in milliseconds.
    pub age_ms: u32,
    /// The revision that it knew.
    pub revision: Revision,
    /// How far it had come.
    pub progress: Progress,
    /// The duties that it held.
    pub duties: Vec<Duty>,
}

/// Sent at intervals along the tree of heartbeats: the sender lives and has come this far.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// When it was sent, on the sender's clock; the receiver only repeats it.
    pub sent: Time,
    /// The newest [`Self::sent`] that the sender has had from the receiver.
    ///
    /// All that the heartbeat says was true at that time or later. Without it a heartbeat that
    /// lay in a buffer for a minute would pass for news.
    pub echo: Option<Time>,
    /// Whether the sender takes the receiver for its parent in the tree and expects an answer.
    pub to_parent: bool,
    /// The sender's revision.
    pub revision: Revision,
    /// How far the sender has come.
    pub progress: Progress,
    /// The duties that the sender holds.
    pub duties: Vec<Duty>,
    /// What the sender has heard of daemons other than the receiver.
    pub heard: Vec<Heard>,
}

/// Changes from one revision to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// The revision before the first change.
    pub base: Revision,
    /// The changes, oldest first.
    pub changes: Vec<AppliedChange>,
    /// The store's version of the document after the last change.
    pub store_version: u64,
    /// [`fleet_digest`] of the document after the last change.
    pub digest: u64,
}

/// Asks the receiver to write a claim into the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimAsk {
    /// The request's key.
    pub key: ClaimKey,
    /// Distinguishes this try from every other one with the same key.
    pub nonce: ClaimNonce,
    /// How long the claim lasts.
    pub window: Duration,
    /// How long the asker waits.
    pub wait: Duration,
}

/// Asks the receiver to write into the store that a claim is given back.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClaimRelease {
    /// The request's key.
    pub key: ClaimKey,
    /// The nonce of the claim that was granted.
    pub nonce: ClaimNonce,
    /// How long the claim would have lasted.
    pub window: Duration,
}

/// A message between two daemons.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PeerMessage {
    /// The sender lives.
    Heartbeat(Heartbeat),
    /// The members that the sender knows, for whoever cannot ask the store.
    Roster(Vec<Member>),
    /// Changes that follow a revision.
    Changes(Delta),
    /// A whole document, for a peer that is too far behind for changes.
    Snapshot {
        /// The document.
        fleet: Box<Fleet>,
        /// The store's version of it.
        store_version: u64,
    },
    /// Asks for everything after a revision.
    AskFleet {
        /// What the sender has.
        have: Revision,
    },
    /// Asks for claims.
    ClaimAsks(Vec<ClaimAsk>),
    /// Answers claims.
    ClaimAnswers(Vec<(ClaimNonce, ClaimOutcome)>),
    /// About the slots of a service; goes straight to the traffic threads.
    Slots(SlotMessage),
    /// Gives claims back under which nothing was sent.
    ClaimReleases(Vec<ClaimRelease>),
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

/// A 64-bit FNV-1a digest of a document, by which two daemons notice that they differ.
///
/// # Errors
///
/// When the document cannot be encoded.
pub fn fleet_digest(fleet: &Fleet) -> Result<u64, CodecError> {
    let mut writer = HashWriter(FnvHasher::default());
    bincode::serde::encode_into_writer(fleet, &mut writer, codec())?;
    Ok(writer.0.finish())
}

/// Hashes what is encoded, so that no copy of a whole document is made for its digest.
struct HashWriter(FnvHasher);

impl bincode::enc::write::Writer for HashWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<(), bincode::error::EncodeError> {
        self.0.write(bytes);
        Ok(())
    }
}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME>()
}
