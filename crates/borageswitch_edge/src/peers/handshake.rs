//! The proof that both ends of a connection belong to the site.
//!
//! Each end opens with its version, its name and a number that nobody has used before. Then each
//! signs both openings with the site's key: first the end that dialled, then the one that accepted.
//! A recorded proof is worth nothing later, since the other end's number is new each time; a proof
//! cannot be sent back to its maker, since the two ends sign different roles; and no end can be
//! passed off as another daemon, since the names are signed too.

use borageswitch_wire::peer::{Member, PEER_VERSION};
use bytes::Bytes;

use crate::peers::{
    frames::{FrameError, FrameReader, FrameWriter},
    key::SiteKey,
};

/// The largest frame before the proof, in bytes: a stranger can make this end hold no more.
const MAX_OPENING: usize = 512;
/// Begins what is signed, so that the key's other uses could give no proof.
const PURPOSE: &[u8] = b"borageswitch peers 1";

/// What an end says first.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct Opening {
    version: u16,
    nonce: [u8; 32],
    member: Member,
}

/// Which end of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// This end dialled.
    Dialler,
    /// This end accepted.
    Acceptor,
}

/// Why the other end is not a peer.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum HandshakeError {
    /// The stream broke.
    #[display("{_0}")]
    Frame(FrameError),
    /// The opening is none.
    #[display("the opening cannot be read")]
    #[from(skip)]
    BadOpening,
    /// The other end speaks another version.
    #[display("it speaks version {_0} of the messages, this daemon version {PEER_VERSION}")]
    #[from(skip)]
    Version(u16),
    /// The other end does not hold the site's key.
    #[display("it does not hold the site's key")]
    #[from(skip)]
    WrongKey,
    /// No random number can be had.
    #[display("the system gives no random numbers: {_0}")]
    Random(getrandom::Error),
}

impl std::error::Error for HandshakeError {}

/// Proves this end to the other and the other to this one.
///
/// # Errors
///
/// When the other end cannot prove that it holds the key. It has then learned this end's name and,
/// if it dialled, nothing that is signed.
pub(super) async fn prove(
    role: Role,
    key: &SiteKey,
    me: &Member,
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
) -> Result<Member, HandshakeError> {
    let mut nonce = [0; 32];
    getrandom::fill(&mut nonce)?;
    let mine = encode(&Opening { version: PEER_VERSION, nonce, member: me.clone() })?;
    writer.write(&mine).await?;
    let theirs = reader.read(MAX_OPENING).await?;
    let opening = decode(&theirs)?;
    if opening.version != PEER_VERSION {
        return Err(HandshakeError::Version(opening.version));
    }
    let (dialler, acceptor) = match role {
        Role::Dialler => (&mine[..], &theirs[..]),
        Role::Acceptor => (&theirs[..], &mine[..]),
    };
    let from_dialler = [PURPOSE, b"dialler", dialler, acceptor];
    let from_acceptor = [PURPOSE, b"acceptor", dialler, acceptor];
    match role {
        Role::Dialler => {
            writer.write(&key.sign(&from_dialler)).await?;
            check(key, &from_acceptor, &reader.read(MAX_OPENING).await?)?;
        }
        Role::Acceptor => {
            check(key, &from_dialler, &reader.read(MAX_OPENING).await?)?;
            writer.write(&key.sign(&from_acceptor)).await?;
        }
    }
    Ok(opening.member)
}

fn check(key: &SiteKey, signed: &[&[u8]], code: &Bytes) -> Result<(), HandshakeError> {
    if key.verify(signed, code) { Ok(()) } else { Err(HandshakeError::WrongKey) }
}

fn encode(opening: &Opening) -> Result<Vec<u8>, HandshakeError> {
    let bytes = bincode::serde::encode_to_vec(opening, codec());
    bytes.map_err(|_| HandshakeError::BadOpening)
}

fn decode(frame: &[u8]) -> Result<Opening, HandshakeError> {
    match bincode::serde::decode_from_slice(frame, codec()) {
        Ok((opening, used)) if used == frame.len() => Ok(opening),
        _ => Err(HandshakeError::BadOpening),
    }
}

fn codec() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_OPENING>()
}
