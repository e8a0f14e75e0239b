//! Operators' requests to a daemon.

use std::time::Duration;

use borageswitch_control::{Event, event::OperatorCallId};
use borageswitch_types::{
    fleet::{Author, ChangeRequest, FleetChange},
    names::DaemonName,
};
use borageswitch_wire::operator::OperatorRequest;

use super::{Action, World};

impl World {
    pub fn operator_request(&mut self, daemon: &DaemonName, call: u64, request: OperatorRequest) {
        let event = Event::Operator { call: OperatorCallId(call), request };
        self.schedule(Duration::from_millis(1), Action::Deliver(daemon.clone(), event));
    }

    pub fn change(&mut self, daemon: &DaemonName, call: u64, operation: &str, change: FleetChange) {
        let event = change_event(call, operation, change);
        self.schedule(Duration::from_millis(1), Action::Deliver(daemon.clone(), event));
    }
}

pub(super) fn change_event(call: u64, operation: &str, change: FleetChange) -> Event {
    let req = ChangeRequest {
        operation: operation.into(),
        expected: None,
        author: Author::Operator { name: "test".into() },
        reason: operation.into(),
        change,
    };
    let request = OperatorRequest::Change(Box::new(req));
    Event::Operator { call: OperatorCallId(call), request }
}
