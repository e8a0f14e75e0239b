//! Chooses among the store's addresses.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use borageswitch_control::store::{StoreError, StoreRequest, StoreResponse};
use borageswitch_http::client::{CallError, Client, HttpResponse};

use crate::platform::{answers, requests};

/// The addresses of the store and the one that answered last.
pub(super) struct Endpoints {
    addresses: Vec<SocketAddr>,
    preferred: AtomicUsize,
}

impl Endpoints {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, preferred: AtomicUsize::new(0) }
    }

    /// Makes a call at the address that answered last, then at the others in turn.
    ///
    /// A call that may have been read goes to no second address unless it only reads: a second
    /// compare-and-swap would answer with a conflict that the first one caused.
    pub(super) async fn call(
        &self,
        client: &Client,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let deadline = Instant::now() + timeout;
        let first = self.preferred.load(Ordering::Relaxed);
        let mut error = StoreError::NotSent;
        for turn in 0..self.addresses.len() {
            let index = (first + turn) % self.addresses.len();
            let outcome = match self.try_at(client, self.addresses[index], request, deadline).await
            {
                Ok(answer) => answers::store_answer(request, &answer),
                Err(CallError::NotSent) => Err(StoreError::NotSent),
                Err(CallError::Lost { .. }) => Err(StoreError::AnswerLost),
            };
            match outcome {
                Err(StoreError::NotSent) => {}
                // An answer that says nothing, such as that of a proxy before a store that is
                // down, is as good as none.
                Err(StoreError::AnswerLost) => {
                    self.preferred.store(index + 1, Ordering::Relaxed);
                    error = StoreError::AnswerLost;
                    if !requests::only_reads(request) {
                        break;
                    }
                }
                settled => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return settled;
                }
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(error)
    }

    /// Makes a call at one address.
    ///
    /// A read on a connection that has gone silent would use up the whole time of the call. It
    /// gets half of it; the other half is for a new connection, on which the store answers at
    /// once.
    async fn try_at(
        &self,
        client: &Client,
        address: SocketAddr,
        request: &StoreRequest,
        deadline: Instant,
    ) -> Result<HttpResponse, CallError> {
        let left = deadline.saturating_duration_since(Instant::now());
        let retried = matches!(request, StoreRequest::Get { .. } | StoreRequest::List { .. });
        let patience = if retried { left / 2 } else { left };
        let outcome = client.call(address, requests::store_request(request), patience).await;
        match outcome {
            Err(CallError::Lost { reused: true }) if retried => {
                client
                    .call_on_new_connection(address, requests::store_request(request), deadline)
                    .await
            }
            outcome => outcome,
        }
    }
}
