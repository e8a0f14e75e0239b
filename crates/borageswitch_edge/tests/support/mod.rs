//! What the tests of the edges share.

#![allow(dead_code)]

pub(crate) mod proxy;

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use borageswitch_control::Event;

/// How long a test waits for what must happen. Generous: it only bounds a test that hangs.
pub(crate) const LIVENESS: Duration = Duration::from_secs(20);

/// An executor with a thread of its own, which ends with it.
pub(crate) struct Runner {
    pub(crate) ex: Arc<smol::Executor<'static>>,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Runner {
    pub(crate) fn start() -> Self {
        let ex = Arc::new(smol::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let run = ex.clone();
        let thread = std::thread::spawn(move || {
            let _ = smol::block_on(run.run(stopped.recv()));
        });
        Self { ex, stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the executor's thread does not panic");
        }
    }
}

/// Any free port of the loopback network.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address on which nobody listens: a port that is reserved for a service long gone. A port
/// that was bound and given back could be taken by another test.
pub(crate) fn closed_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// The next event that `pick` takes, within [`LIVENESS`].
pub(crate) fn next_event<T, F>(events: &Receiver<Event>, mut pick: F) -> T
where
    F: FnMut(Event) -> Option<T>,
{
    let deadline = Instant::now() + LIVENESS;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let event = within(left, events.recv()).expect("an event comes in time");
        if let Some(picked) = pick(event.expect("the edge is there")) {
            return picked;
        }
    }
}

/// The output of a future, or nothing after `time`.
pub(crate) fn within<F>(time: Duration, f: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        smol::Timer::after(time).await;
        None
    };
    smol::block_on(futures_lite::future::or(async { Some(f.await) }, timer))
}
