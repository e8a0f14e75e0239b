//! What a platform has to offer.
//!
//! This is the edge of the process: an adapter implements [`Platform`] for the platform at hand, a
//! stand-in does so for tests. An adapter translates and decides nothing.

use std::{sync::Arc, time::Duration};

use borageswitch_scheduler::{
    config::Config,
    effect::{HostOrder, PollOrder, Recipient, StartOrder},
    event::{HostOrderResponse, OrderResponse, PollResponse, RegistrationChange, StartResponse},
    fleet::{HostEntry, WaveRequest},
    task::{StepKey, TaskKey},
};
use borageswitch_types::names::{ExecutorName, HostName};

/// A point in the store's history; it rises with each change.
pub type Revision = u64;

/// A lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseId(pub u64);

/// Something that is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: Arc<str>,
    /// Its value.
    pub value: Vec<u8>,
    /// When it changed last.
    pub revision: Revision,
}

/// The answer to a read of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// What is there.
    pub item: Option<Item>,
    /// The store's revision then.
    pub at: Revision,
}

/// A part of a list of items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The items, by key.
    pub items: Vec<Item>,
    /// There are more after the last one.
    pub more: bool,
    /// The store's revision when it was read.
    pub at: Revision,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Written(Item),
    /// The item with this key was removed.
    Removed(Arc<str>),
}

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Where to go on from.
    pub at: Revision,
}

/// An all-or-nothing change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Each key must be at this revision; 0 means that it is not there.
    pub expect: Vec<(Arc<str>, Revision)>,
    /// What to write, and under which lease.
    pub write: Vec<(Arc<str>, Vec<u8>, Option<LeaseId>)>,
    /// What to remove.
    pub remove: Vec<Arc<str>>,
}

/// How the store took a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// It is stored.
    Done(Revision),
    /// An expectation did not hold; these are the items as they are.
    Conflict(Vec<Item>),
    /// The lease has ended.
    NoLease,
}

/// Why a call to the store has no answer of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// It is proved that nothing was done.
    #[display("refused")]
    Refused,
    /// It may have been done, or may be done later.
    #[display("no answer")]
    Lost,
    /// The history that a watch asked for is gone.
    #[display("history gone")]
    HistoryGone,
    /// What was named is not there.
    #[display("not found")]
    NotFound,
    /// The store finds the call malformed; made again, it will again.
    #[display("malformed")]
    Malformed,
    /// The answer cannot be read.
    #[display("unreadable answer")]
    Unreadable,
}

impl std::error::Error for StoreError {}

/// The result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// Where others write what this project reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Places {
    /// The key of the operator's configuration.
    pub config: Arc<str>,
    /// What the keys of executors begin with.
    pub executors: Arc<str>,
    /// What the keys of maintenance waves begin with.
    pub waves: Arc<str>,
}

/// Who gives an order for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commander {
    /// The daemon's name.
    pub holder: Arc<str>,
    /// Rises with each change of leader.
    pub token: u64,
}

/// A platform. Every call is bounded in time.
pub trait Platform: Send + Sync + 'static {
    /// Where others write.
    fn places(&self) -> &Places;

    /// Reads one key.
    fn read(&self, key: &str) -> impl Future<Output = StoreResult<Reading>> + Send;

    /// Reads the keys that begin with `prefix`, from behind the key `after` on.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = StoreResult<Page>> + Send;

    /// Waits for changes of keys that begin with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = StoreResult<Changes>> + Send;

    /// Changes several keys at once.
    fn commit(&self, tx: &Transaction) -> impl Future<Output = StoreResult<Committed>> + Send;

    /// Asks for a lease. Gives the time for which it holds.
    fn grant(&self, ttl: Duration)
    -> impl Future<Output = StoreResult<(LeaseId, Duration)>> + Send;

    /// Prolongs a lease. [`StoreError::NotFound`] says that it has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = StoreResult<Duration>> + Send;

    /// Ends a lease and removes what was written under it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = StoreResult<()>> + Send;

    /// The configuration that an item holds.
    fn decode_config(&self, item: &Item) -> Option<Config>;

    /// What a change among the executors says.
    fn decode_executor(&self, change: &Change) -> Option<RegistrationChange>;

    /// The wave that an item asks for.
    fn decode_wave(&self, item: &Item) -> Option<WaveRequest>;

    /// Where and how to tell how a wave stands.
    fn encode_wave_report(&self, wave: u64, completed: bool) -> (Arc<str>, Vec<u8>);

    /// Starts a run. Gives the executor's clock in milliseconds if it told it.
    fn start(
        &self,
        to: &Recipient,
        token: u64,
        order: &StartOrder,
    ) -> impl Future<Output = (StartResponse, Option<u64>)> + Send;

    /// Stops a run.
    fn stop(
        &self,
        to: &Recipient,
        token: u64,
        task: &TaskKey,
        run: u32,
    ) -> impl Future<Output = OrderResponse> + Send;

    /// Looks at an executor.
    fn look(
        &self,
        to: &Recipient,
        token: u64,
        order: &PollOrder,
    ) -> impl Future<Output = PollResponse> + Send;

    /// Lets a run work at a share of its speed.
    fn pace(
        &self,
        to: &Recipient,
        token: u64,
        task: &TaskKey,
        run: u32,
        percent: u8,
    ) -> impl Future<Output = OrderResponse> + Send;

    /// Asks which executors may run a step; nothing if there is no answer.
    fn advise(
        &self,
        step: &StepKey,
        executors: &[ExecutorName],
    ) -> impl Future<Output = Option<Vec<(ExecutorName, Arc<str>)>>> + Send;

    /// Lists the hosts; nothing if there is no answer.
    fn hosts(&self) -> impl Future<Output = Option<Vec<HostEntry>>> + Send;

    /// Gives an order for a host.
    fn order_host(
        &self,
        by: &Commander,
        host: &HostName,
        order: &HostOrder,
    ) -> impl Future<Output = HostOrderResponse> + Send;
}
