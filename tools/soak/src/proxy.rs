//! Connections on loopback that can be delayed, held back, cut one way, lost and reset.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use borageswitch_fakes::serve::Runner;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::{
    Timer,
    net::{TcpListener, TcpStream},
};

/// How often a connection that is held back looks whether it may go on.
const LOOK_AGAIN: Duration = Duration::from_millis(5);
/// How much is passed on at once, in bytes.
const CHUNK: usize = 16 << 10;

/// How connections behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Everything passes.
    #[default]
    Open,
    /// Everything passes so much later.
    Slow(Duration),
    /// Nothing passes; it does so once the link is open again.
    Silent,
    /// What is sent passes, what comes back is held.
    OneWay,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

#[derive(Debug, Default)]
struct State {
    link: Mutex<Link>,
    opened: AtomicU64,
    /// Connections numbered below this one pass nothing any more, and stay open.
    lost_below: AtomicU64,
    /// Connections numbered below this one are reset.
    reset_below: AtomicU64,
}

/// The connection was reset.
struct Reset;

impl State {
    fn link(&self) -> Link {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until something may pass.
    async fn pass(&self, connection: u64, way: Way) {
        if let Link::Slow(delay) = self.link() {
            Timer::after(delay).await;
        }
        while self.holds(connection, way) {
            Timer::after(LOOK_AGAIN).await;
        }
    }

    fn holds(&self, connection: u64, way: Way) -> bool {
        let lost = connection < self.lost_below.load(Ordering::SeqCst);
        let held = match self.link() {
            Link::Open | Link::Slow(_) => false,
            Link::Silent => true,
            Link::OneWay => way == Way::Back,
        };
        lost || held
    }

    async fn reset(&self, connection: u64) -> Reset {
        while connection >= self.reset_below.load(Ordering::SeqCst) {
            Timer::after(LOOK_AGAIN).await;
        }
        Reset
    }
}

/// A proxy in front of one address. Copies share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Proxy {
    /// Starts a proxy in front of `target`, on the same IP address.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn start(ex: &Runner, target: SocketAddr) -> io::Result<Self> {
        let listener = smol::Async::<std::net::TcpListener>::bind((target.ip(), 0))?;
        let address = listener.get_ref().local_addr()?;
        let state = Arc::new(State::default());
        let (own, spawner) = (state.clone(), ex.clone());
        let listener = TcpListener::from(listener);
        let accepting = async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        spawner.spawn(serve(own.clone(), stream, target)).detach();
                    }
                    Err(err) => {
                        log::warn!("accepting a connection failed: {err}");
                        Timer::after(LOOK_AGAIN).await;
                    }
                }
            }
        };
        ex.spawn(accepting).detach();
        Ok(Self { address, state })
    }

    /// From now on connections behave so.
    pub fn set(&self, link: Link) {
        *self.state.link.lock().unwrap_or_else(PoisonError::into_inner) = link;
    }

    /// Open connections pass nothing any more and stay open; new ones work.
    pub fn lose_open(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.lost_below.store(opened, Ordering::SeqCst);
    }

    /// Open connections are reset.
    pub fn reset_open(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.reset_below.store(opened, Ordering::SeqCst);
    }
}

async fn serve(state: Arc<State>, near: TcpStream, target: SocketAddr) {
    let connection = state.opened.fetch_add(1, Ordering::SeqCst);
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let there = pump(&state, connection, Way::There, near.clone(), far.clone());
    let back = pump(&state, connection, Way::Back, far, near);
    let reset = async {
        state.reset(connection).await;
    };
    future::or(future::or(there, back), reset).await;
}

/// Passes on what comes, until either end closes.
async fn pump(state: &State, connection: u64, way: Way, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0; CHUNK];
    loop {
        let read = match from.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        state.pass(connection, way).await;
        if to.write_all(&buf[..read]).await.is_err() {
            break;
        }
    }
    state.pass(connection, way).await;
}
