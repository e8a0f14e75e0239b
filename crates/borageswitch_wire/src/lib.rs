//! What crosses connections between the system's own processes, and what operators may ask.
//!
//! [`peer`] holds the messages between daemons and their encoding; [`operator`] the closed list of
//! operators' requests and answers; [`schema`] the same as remote procedure calls. The crate holds types and encodings alone: who sends what to
//! whom, and when, is decided in the reducer.

pub mod operator;
pub mod peer;
pub mod schema;

pub use self::peer::PeerMessage;
