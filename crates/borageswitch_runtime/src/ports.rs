//! The interface to the platform.
//!
//! An adapter implements [`Platform`] for a concrete platform, a fake for tests. An adapter
//! translates calls and makes no decisions.

use std::{sync::Arc, time::Duration};

pub use borageswitch_http::write_gate::WritePermit;
use borageswitch_scheduler::{
    config::Config,
    effect::{HostOrder, PollOrder, Recipient, StartOrder},
    event::{HostOrderResponse, OrderResponse, PollResponse, RegistrationChange, StartResponse},
    fleet::{HostEntry, WaveRequest},
    task::{StepKey, TaskKey},
};
use borageswitch_types::names::{ExecutorName, HostName};

/// A revision of the store; it rises with each change.
pub type Revision = u64;

/// The id of a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseId(pub u64);

/// A key of the store and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: Revision,
}

/// The response to a read of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResponse {
    /// The item, if the key exists.
    pub item: Option<Item>,
    /// The store's revision at the time of the read.
    pub store_revision: Revision,
}

/// A page of a list of items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The items, sorted by key.
    pub items: Vec<Item>,
    /// Whether more items follow the last one.
    pub more: bool,
    /// The store's revision at the time of the read.
    pub store_revision: Revision,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Written(Item),
    /// The item with this key was removed.
    Removed(Arc<str>),
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The revision up to which changes were reported; the next watch continues after it.
    pub last_revision: Revision,
}

/// An atomic change of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The revision that each key must have; 0 means that the key does not exist.
    pub expect: Vec<(Arc<str>, Revision)>,
    /// The keys and values to write, and their leases.
    pub write: Vec<(Arc<str>, Vec<u8>, Option<LeaseId>)>,
    /// The keys to remove.
    pub remove: Vec<Arc<str>>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was committed at this revision.
    Done(Revision),
    /// An expected revision did not match; these are the current items.
    Conflict(Vec<Item>),
    /// The lease has ended.
    NoLease,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// The call certainly had no effect.
    #[display("refused")]
    Refused,
    /// The call may have taken effect, or may do so later.
    #[display("no answer")]
    Lost,
    /// The store no longer has the history from which a watch was to start.
    #[display("history gone")]
    HistoryGone,
    /// The named lease or key does not exist.
    #[display("not found")]
    NotFound,
    /// The store considers the call malformed; a retry cannot succeed.
    #[display("malformed")]
    Malformed,
    /// The response cannot be decoded.
    #[display("unreadable answer")]
    Unreadable,
}

impl std::error::Error for StoreError {}

/// The result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// The keys of the store that other programs write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExternalKeys {
    /// The key of the operator's configuration.
    pub config: Arc<str>,
    /// The key prefix of executors.
    pub executors: Arc<str>,
    /// The key prefix of maintenance waves.
    pub waves: Arc<str>,
}

/// The issuer of an order for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderIssuer {
    /// The daemon's name.
    pub holder: Arc<str>,
    /// The fencing token, which rises with each change of leader.
    pub token: u64,
}

/// A platform. Every call has a timeout.
pub trait Platform: Send + Sync + 'static {
    /// The keys that other programs write.
    fn external_keys(&self) -> &ExternalKeys;

    /// Reads one key.
    fn read(&self, key: &str) -> impl Future<Output = StoreResult<ReadResponse>> + Send;

    /// Lists the keys that begin with `prefix`, starting after the key `after`.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = StoreResult<Page>> + Send;

    /// Waits up to `wait` for changes after revision `after` of keys that begin with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = StoreResult<Changes>> + Send;

    /// Commits a transaction.
    fn commit(&self, tx: &Transaction) -> impl Future<Output = StoreResult<CommitOutcome>> + Send;

    /// Requests a lease. Gives its id and duration.
    fn grant(&self, ttl: Duration)
    -> impl Future<Output = StoreResult<(LeaseId, Duration)>> + Send;

    /// Renews a lease and gives its duration. [`StoreError::NotFound`] means that it has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = StoreResult<Duration>> + Send;

    /// Ends a lease and removes the keys written under it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = StoreResult<()>> + Send;

    /// Decodes the configuration; `None` if it is invalid.
    fn decode_config(&self, item: &Item) -> Option<Config>;

    /// Decodes a change of an executor's registration; `None` if its key is invalid.
    fn decode_executor(&self, change: &Change) -> Option<RegistrationChange>;

    /// Decodes a request for a wave; `None` if it is invalid.
    fn decode_wave(&self, item: &Item) -> Option<WaveRequest>;

    /// The key and value of a report on a wave.
    fn encode_wave_report(&self, wave: u64, completed: bool) -> (Arc<str>, Vec<u8>);

    /// Starts a run. Also gives the executor's clock in milliseconds, if the response has it.
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

    /// Polls an executor: extends its lease, acknowledges ended runs and gives the current ones.
    fn poll(
        &self,
        to: &Recipient,
        token: u64,
        order: &PollOrder,
    ) -> impl Future<Output = PollResponse> + Send;

    /// Limits a run to a percentage of its speed.
    fn set_speed_limit(
        &self,
        to: &Recipient,
        token: u64,
        task: &TaskKey,
        run: u32,
        percent: u8,
    ) -> impl Future<Output = OrderResponse> + Send;

    /// Requests which of the executors may run a step; `None` without a response after `timeout`.
    fn advise(
        &self,
        step: &StepKey,
        executors: &[ExecutorName],
        timeout: Duration,
    ) -> impl Future<Output = Option<Vec<(ExecutorName, Arc<str>)>>> + Send;

    /// Lists the hosts; `None` without a response.
    fn list_hosts(&self) -> impl Future<Output = Option<Vec<HostEntry>>> + Send;

    /// Sends an order for a host while `permit` is in force, which is asked right before the order
    /// is sent. Without a response after `timeout` it must not be delivered any more.
    fn order_host(
        &self,
        by: &OrderIssuer,
        host: &HostName,
        order: &HostOrder,
        timeout: Duration,
        permit: WritePermit,
    ) -> impl Future<Output = HostOrderResponse> + Send;
}
