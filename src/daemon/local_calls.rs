//! Operators' requests from within the process that embeds the daemon.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_channel::Sender;
use borageswitch_control::{Event, event::OperatorCallId};
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest};

/// Calls from within the process are numbered from here on, those over the network below.
const FIRST_LOCAL: u64 = 1 << 63;

#[derive(Debug, Default)]
struct Waiting {
    next: u64,
    calls: BTreeMap<u64, Sender<OperatorAnswer>>,
}

/// Asks the reducer from within the process; copies share the calls that wait.
#[derive(Clone, Debug)]
pub struct LocalCalls {
    events: Sender<Event>,
    waiting: Arc<Mutex<Waiting>>,
}

impl LocalCalls {
    pub(super) fn new(events: Sender<Event>) -> Self {
        Self { events, waiting: Arc::default() }
    }

    /// Asks the daemon, as an operator over the network would. Nothing is answered once the daemon
    /// has ended.
    pub async fn ask(&self, request: OperatorRequest) -> Option<OperatorAnswer> {
        let (tx, rx) = async_channel::bounded(1);
        let number = {
            let mut waiting = self.lock();
            let number = FIRST_LOCAL + waiting.next;
            waiting.next += 1;
            waiting.calls.insert(number, tx);
            number
        };
        let call = OperatorCallId(number);
        if self.events.send(Event::Operator { call, request }).await.is_err() {
            self.lock().calls.remove(&number);
            return None;
        }
        rx.recv().await.ok()
    }

    /// Whether a call came from within the process.
    pub(super) fn owns(call: OperatorCallId) -> bool {
        call.0 >= FIRST_LOCAL
    }

    pub(super) fn answer(&self, call: OperatorCallId, answer: OperatorAnswer) {
        if let Some(tx) = self.lock().calls.remove(&call.0) {
            // Whoever asked may have stopped waiting; then nobody misses the answer.
            let _ = tx.try_send(answer);
        }
    }

    /// Ends every call that waits: the daemon answers no more.
    pub(super) fn end(&self) {
        self.lock().calls.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
