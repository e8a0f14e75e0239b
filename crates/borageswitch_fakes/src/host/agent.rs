//! The agent of a stand-in machine, which belongs to the platform.

use std::{
    net::TcpListener,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use borageswitch_types::{
    agent::{AgentCommand, AgentStatus},
    names::OperationId,
    time::UnixMillis,
};
use http::StatusCode;
use smol::Async;

use crate::{
    host::{HostStandin, Inner},
    serve::{self, Runner, WholeRequest, WholeResponse},
};

impl HostStandin {
    pub(super) fn serve_agent(&self, ex: &Runner, listener: Async<TcpListener>) {
        let host = self.clone();
        serve::serve(ex, listener, self.agent_faults.clone(), move |req| {
            let res = host.obey(&req);
            async move { Some(res) }
        });
    }

    fn obey(&self, req: &WholeRequest) -> WholeResponse {
        if req.uri().path() != "/v1/command" {
            return serve::answer(StatusCode::NOT_FOUND, "no such call");
        }
        let command: AgentCommand = match serde_json::from_slice(req.body()) {
            Ok(command) => command,
            Err(err) => return serve::answer(StatusCode::BAD_REQUEST, err.to_string()),
        };
        let mut inner = self.lock();
        match inner.carry_out(command) {
            true => serve::answer_json(&inner.status()),
            false => serve::answer(StatusCode::CONFLICT, "the command comes too late"),
        }
    }
}

impl Inner {
    fn status(&mut self) -> AgentStatus {
        let ready = self.is_up();
        AgentStatus { ready, done: self.done.clone(), draw_watts: self.draw_watts() }
    }

    fn carry_out(&mut self, command: AgentCommand) -> bool {
        match command {
            AgentCommand::Status => true,
            AgentCommand::Reboot { operation, not_after } => {
                if self.is_repeated(&operation) {
                    return true;
                }
                if wall_now() > not_after {
                    return false;
                }
                self.reboot(operation);
                true
            }
            AgentCommand::Throttle { operation, limit_watts } => {
                if !self.is_repeated(&operation) {
                    self.limit_watts = limit_watts;
                    self.finish_at_once(operation);
                }
                true
            }
            AgentCommand::PowerOff { operation } => {
                if !self.is_repeated(&operation) {
                    self.off = true;
                    self.go_down();
                    self.finish_at_once(operation);
                }
                true
            }
        }
    }

    fn is_repeated(&self, operation: &OperationId) -> bool {
        self.last.as_ref() == Some(operation)
    }

    fn reboot(&mut self, operation: OperationId) {
        self.last = Some(operation);
        self.counts.reboots += 1;
        self.off = false;
        self.up_at = Some(Instant::now() + self.options.boot_time);
        self.go_down();
    }

    fn finish_at_once(&mut self, operation: OperationId) {
        self.last = Some(operation.clone());
        self.done = Some(operation);
    }
}

fn wall_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(since.as_millis() as u64)
}
