//! Small stand-ins for what borageswitch meets outside: the platform's store, its list of hosts,
//! hosts' agents, and targets.
//!
//! Each can be made slow, down, silent on open connections, or lose an answer after a write took
//! effect. They speak HTTP/1.1 as the platform does:
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/keys/KEY` | 200, the value, header `store-version`; 404 when absent |
//! | `GET /v1/keys?prefix=P` | 200, JSON `[{"key":"…","version":1,"value":"text"}]` |
//! | `PUT /v1/keys/KEY` with headers `store-expected: V` (0: absent) and perhaps `store-lease: L` | 200 with `store-version`; 409 another version; 410 the lease has ended |
//! | `DELETE /v1/keys/KEY` with `store-expected: V` | 200; 409 |
//! | `GET /v1/watch/KEY?after=V&wait_ms=W` | 200 as a read once the version is above V; 404 once the key is gone; 204 when nothing changed in W |
//! | `POST /v1/leases?ttl_ms=T` | 200, JSON `{"lease":1,"ttl_ms":T}` |
//! | `PUT /v1/leases/L` (keeps alive) | 200 as above; 410 when it has ended |
//! | `DELETE /v1/leases/L` | 200 |
//! | `GET /v1/hosts` (host list) | 200, JSON `[{"host":"…","leaving":false}]` |
//! | `POST /v1/command` (agent), JSON of `AgentCommand` | 200, JSON of `AgentStatus`; 409 refused |
//! | anything else at a target | the answer; 503 with header `target-refused: yes` when it did not run |
//!
//! - [`serve`] accepts connections and applies [`faults`].
//! - [`store`] and [`host_list`] are the platform's services.
//! - [`host`] is one machine: its target and its agent.
//! - [`control`] injects faults from outside the process.
//! - [`site`] puts a whole site together on loopback ports.

pub mod control;
pub mod faults;
pub mod host;
pub mod host_list;
pub mod platform;
pub mod serve;
pub mod site;
pub mod store;
