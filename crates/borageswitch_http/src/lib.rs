//! HTTP/1.1 calls that are bounded in time and size, and say what is proved when they fail.
//!
//! - [`client`] makes calls: each ends with a whole answer, or says whether the request can have
//!   been read.
//! - [`connections`] keeps connections for the next call, and forgets those that went silent.
//! - [`h2_stream`] lets `h2` use a connection, between daemons.

pub mod client;
pub mod connections;
pub mod h2_stream;
