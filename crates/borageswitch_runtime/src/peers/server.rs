//! Answers other daemons while this one leads.

use std::{io, sync::Arc, time::Duration};

use borageswitch_http::h2_stream::H2Stream;
use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use smol::{
    Timer,
    net::{TcpListener, TcpStream},
};

use super::{
    Answer, MAX_MESSAGE, Question,
    acquaintances::{ASKER, OTHERS},
};
use crate::{answers::Failure, codec, daemon::Shared, election, intake, ports::Platform};

/// How long to wait before accepting again after the process ran out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other daemons until it is dropped.
pub async fn serve<P>(listener: TcpListener, shared: Arc<Shared<P>>)
where
    P: Platform,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let own = shared.clone();
                let serving = async move {
                    if let Err(err) = serve_connection(stream, own).await {
                        log::debug!("a peer's connection ended: {err}");
                    }
                };
                shared.ex.spawn(serving).detach();
            }
            Err(err) => {
                log::warn!("accepting a peer failed: {err}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<P>(stream: TcpStream, shared: Arc<Shared<P>>) -> Result<(), h2::Error>
where
    P: Platform,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("a peer's connection stays slow: {err}");
    }
    let mut connection =
        h2::server::handshake(H2Stream::new(stream, shared.peer_bytes.clone())).await?;
    while let Some(accepted) = connection.accept().await {
        let (req, respond) = accepted?;
        let own = shared.clone();
        let answering = async move {
            if let Err(err) = answer(req, respond, &own).await {
                log::debug!("a peer's question is not answered: {err}");
            }
        };
        shared.ex.spawn(answering).detach();
    }
    Ok(())
}

async fn answer<P>(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &Arc<Shared<P>>,
) -> io::Result<()>
where
    P: Platform,
{
    let asker = req.headers().get(ASKER).and_then(|asker| asker.to_str().ok()?.parse().ok());
    asker.into_iter().for_each(|asker| shared.acquaintances.note(asker));
    let bytes = read(req.into_body()).await?;
    let question: Question = codec::decode("question", &bytes).map_err(io::Error::other)?;
    let answer = match question {
        Question::Submit(submission) => match intake::store_submission(shared, &submission).await {
            Ok(()) => Answer::Accepted,
            Err(Failure::StoreAway) => Answer::Refused,
            Err(_) => Answer::Unsettled,
        },
        Question::Leader => match election::leader_by_store(shared).await {
            Ok(leader) => Answer::Leader(leader),
            Err(_) => Answer::NotLeading,
        },
        Question::Relieve(lease) => match shared.platform.revoke(lease).await {
            Ok(()) => Answer::Relieved,
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "relief-failed");
                Answer::Refused
            }
        },
        question => shared.ask_own(question).await.unwrap_or(Answer::NotLeading),
    };
    let res = Response::builder().header(OTHERS, shared.acquaintances.to_tell(asker));
    let res = res.body(()).map_err(io::Error::other)?;
    let mut stream = respond.send_response(res, false).map_err(io::Error::other)?;
    stream.send_data(Bytes::from(codec::encode(&answer)), true).map_err(io::Error::other)
}

async fn read(mut body: RecvStream) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(io::Error::other)?;
        body.flow_control().release_capacity(part.len()).map_err(io::Error::other)?;
        bytes.extend_from_slice(&part);
        if bytes.len() > MAX_MESSAGE {
            return Err(io::Error::other("a question is too large"));
        }
    }
    Ok(bytes)
}
