//! Something between two ends that can lose track of connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::net::{TcpListener, TcpStream};

#[derive(Default)]
struct Switches {
    next: AtomicU64,
    silent_below: AtomicU64,
    cut: AtomicU64,
}

/// Passes connections on to an address.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    switches: Arc<Switches>,
}

impl Proxy {
    pub(crate) fn start(ex: &Arc<smol::Executor<'static>>, to: SocketAddr) -> Self {
        let listener = smol::block_on(TcpListener::bind(super::any_port())).unwrap();
        let address = listener.local_addr().unwrap();
        let switches = Arc::new(Switches::default());
        let (accepting, spawner) = (switches.clone(), ex.clone());
        let accept = async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = accepting.next.fetch_add(1, Ordering::SeqCst);
                spawner.spawn(pass_on(near, to, number, accepting.clone())).detach();
            }
        };
        ex.spawn(accept).detach();
        Self { address, switches }
    }

    /// Everything sent on the connections that are open now vanishes; they stay open.
    pub(crate) fn silence_open_connections(&self) {
        let next = self.switches.next.load(Ordering::SeqCst);
        self.switches.silent_below.store(next, Ordering::SeqCst);
    }

    /// Closes the connections that are open now as soon as something is sent on them.
    pub(crate) fn cut_open_connections(&self) {
        let next = self.switches.next.load(Ordering::SeqCst);
        self.switches.cut.store(next, Ordering::SeqCst);
    }

    /// How many connections were accepted.
    pub(crate) fn accepted(&self) -> u64 {
        self.switches.next.load(Ordering::SeqCst)
    }
}

async fn pass_on(near: TcpStream, to: SocketAddr, number: u64, switches: Arc<Switches>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let there = copy(near.clone(), far.clone(), number, &switches);
    let back = copy(far, near, number, &switches);
    future::or(there, back).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, number: u64, switches: &Switches) {
    let mut buf = [0; 4_096];
    while let Ok(read @ 1..) = from.read(&mut buf).await {
        if number < switches.cut.load(Ordering::SeqCst) {
            return;
        }
        if number < switches.silent_below.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
