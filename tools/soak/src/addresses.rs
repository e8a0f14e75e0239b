//! Loopback addresses that belong to one run alone.
//!
//! A daemon that is killed gives its ports back and starts again under new ones, while callers,
//! peers and the leader's record in the store still name the old ones. If several runs shared one
//! address, such a port could pass to a daemon of another run and requests would reach it.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::fd::OwnedFd,
    sync::Arc,
};

/// The port that reserves an address. It lies below the range of automatically assigned ports.
const RESERVATION_PORT: u16 = 7_993;
/// The first two numbers of the addresses that runs take.
const NETWORK: [u8; 2] = [127, 64];

/// A loopback address that is reserved, across processes, until the last copy is dropped.
#[derive(Clone, Debug)]
pub struct Reservation {
    ip: Ipv4Addr,
    listener: Arc<TcpListener>,
}

impl Reservation {
    /// Reserves the first address that no other run has.
    ///
    /// # Errors
    ///
    /// When a socket cannot be bound, or every address is reserved.
    pub fn new() -> io::Result<Self> {
        let [first, second] = NETWORK;
        for number in 1..u16::MAX {
            let [third, fourth] = number.to_be_bytes();
            let ip = Ipv4Addr::new(first, second, third, fourth);
            match TcpListener::bind((ip, RESERVATION_PORT)) {
                Ok(listener) => return Ok(Self { ip, listener: Arc::new(listener) }),
                Err(err) if err.kind() == io::ErrorKind::AddrInUse => {}
                Err(err) => return Err(err),
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "every loopback address is reserved"))
    }

    /// The reserved address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// The reserved address with an automatically assigned port.
    pub fn any_port(&self) -> SocketAddr {
        (self.ip, 0).into()
    }

    /// A copy for another process: the address stays reserved while that process runs, also if it
    /// outlives this one.
    ///
    /// # Errors
    ///
    /// When the socket cannot be duplicated.
    pub fn to_fd(&self) -> io::Result<OwnedFd> {
        Ok(self.listener.try_clone()?.into())
    }
}
