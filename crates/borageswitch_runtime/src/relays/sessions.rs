//! Serves the relays of a leader.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use borageswitch_scheduler::event::Event;
use bytes::Bytes;
use futures_lite::future;
use h2::{RecvStream, SendStream, server::SendResponse};
use http::{HeaderMap, Response};
use smol::Timer;

use super::{
    CORES_HEADER, FLUSH_INTERVAL,
    frames::{self, FrameError, FrameReader, OutcomeFrame},
    registry::RelayId,
};
use crate::{clock, control::Message, daemon::Shared, ports::Platform};

/// How often calls are checked for an overdue outcome.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Serves a daemon that offers itself as a relay, until its connection ends or falls silent.
///
/// # Errors
///
/// If the offer has no address or strength, or cannot be responded to.
pub(crate) async fn serve<P>(
    headers: &HeaderMap,
    requester: Option<SocketAddr>,
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    shared: &Arc<Shared<P>>,
) -> io::Result<()>
where
    P: Platform,
{
    let cores = headers.get(CORES_HEADER).and_then(|cores| cores.to_str().ok()?.parse().ok());
    let cores = cores.filter(|cores: &f64| cores.is_finite() && *cores > 0.0);
    let (Some(address), Some(cores)) = (requester, cores) else {
        return Err(io::Error::other("the offer of a relay has no address or no cores"));
    };
    let stream = respond.send_response(Response::new(()), false).map_err(io::Error::other)?;
    let (id, woken) = shared.relays.add(clock::time(), address, cores);
    log::info!(address = address.to_string().as_str(), cores = cores; "relay-joined");
    let reason = future::or(
        future::or(receive(shared, id, body), send(shared, id, stream, woken)),
        expire(shared, id),
    )
    .await;
    let unanswered = shared.relays.remove(id);
    log::info!(
        address = address.to_string().as_str(), reason = reason.as_str(),
        unanswered = unanswered.len();
        "relay-left"
    );
    handle(shared, unanswered).await;
    Ok(())
}

async fn receive<P>(shared: &Arc<Shared<P>>, id: RelayId, body: RecvStream) -> String
where
    P: Platform,
{
    let mut reader = FrameReader::new(body);
    loop {
        match reader.next::<OutcomeFrame>().await {
            Ok(frame) => {
                let events = shared.relays.receive(clock::time(), id, frame);
                handle(shared, events).await;
            }
            Err(err) => {
                if err != FrameError::Ended {
                    shared.instruments.count_unreadable("relay frame");
                }
                return err.to_string();
            }
        }
    }
}

async fn send<P>(
    shared: &Arc<Shared<P>>,
    id: RelayId,
    mut stream: SendStream<Bytes>,
    woken: Receiver<()>,
) -> String
where
    P: Platform,
{
    while woken.recv().await.is_ok() {
        // More calls follow within moments, and share the frame.
        Timer::after(FLUSH_INTERVAL).await;
        let Some(frame) = shared.relays.take_frame(id, shared.authority.until()) else { continue };
        shared.instruments.count_orders("relayed", frame.calls.len() as u64);
        if let Err(err) = stream.send_data(frames::encode(&frame), false) {
            return err.to_string();
        }
    }
    "the relay was removed".to_owned()
}

async fn expire<P>(shared: &Arc<Shared<P>>, id: RelayId) -> String
where
    P: Platform,
{
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        let (events, silent) = shared.relays.expire(clock::time(), id);
        handle(shared, events).await;
        if silent {
            return "no frame arrives".to_owned();
        }
    }
}

async fn handle<P>(shared: &Arc<Shared<P>>, events: Vec<(u64, Event)>)
where
    P: Platform,
{
    for (token, event) in events {
        // Fails only when the process ends.
        let _ = shared.control.send(Message::Event { token, event }).await;
    }
}
