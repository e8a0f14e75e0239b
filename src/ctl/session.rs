//! Carries out one action and writes its result.

use std::{fmt::Display, io::Write, net::SocketAddr, sync::Arc, time::Duration};

use borageswitch_settings::site;
use borageswitch_types::{
    Fleet,
    fleet::{FleetChange, Revision},
};
use borageswitch_wire::{
    operator::Subject,
    schema::proto::{self, explain_request, watched_event},
};
use futures_lite::StreamExt;
use tonic::{Code, Status};

use crate::ctl::{
    action::{Action, Change, Format, Invocation, Listing, Wanted},
    caller::{Caller, Failed},
    error::CtlError,
    merge, output, overload, send,
};

/// How often a change that was completed from the present fleet is tried when others change the
/// fleet meanwhile.
const MERGE_TRIES: u32 = 5;

/// What one command needs.
pub(super) struct Session<'a, O, E> {
    caller: Caller,
    ex: Arc<smol::Executor<'static>>,
    timeout: Duration,
    format: Format,
    out: &'a mut O,
    err: &'a mut E,
}

impl<'a, O, E> Session<'a, O, E>
where
    O: Write,
    E: Write,
{
    pub(super) fn new(
        invocation: &Invocation,
        ex: Arc<smol::Executor<'static>>,
        out: &'a mut O,
        err: &'a mut E,
    ) -> Self {
        let caller = Caller::new(invocation.endpoints.clone(), invocation.timeout, ex.clone());
        Self { caller, ex, timeout: invocation.timeout, format: invocation.format, out, err }
    }

    pub(super) async fn carry_out(&mut self, action: &Action) -> Result<(), CtlError> {
        match action {
            Action::Change(change) => self.change(change).await,
            Action::Wait(revision, time) => self.wait(*revision, *time).await,
            Action::List(listing) => self.list(listing).await,
            Action::Dump => self.dump().await,
            Action::Explain(subject) => self.explain(subject).await,
            Action::Overload(daemon) => self.overload(*daemon).await,
            Action::Watch => self.watch().await,
        }
    }

    async fn change(&mut self, change: &Change) -> Result<(), CtlError> {
        let revision = match &change.wanted {
            Wanted::Whole(whole) => self.send(change, change.expected, whole).await?,
            Wanted::File(file) => {
                let site = site::load(file).map_err(|err| CtlError::BadInput(err.to_string()))?;
                let whole = FleetChange::ApplySite(Box::new(site));
                self.send(change, change.expected, &whole).await?
            }
            Wanted::Pool(name, patch) => {
                self.merge(change, |fleet| merge::pool(fleet, name, patch)).await?
            }
            Wanted::Service(name, patch) => {
                self.merge(change, |fleet| merge::service(fleet, name, patch)).await?
            }
            Wanted::Team(name, patch) => {
                self.merge(change, |fleet| merge::team(fleet, name, patch)).await?
            }
        };
        output::accepted(self.out, self.format, &change.operation, revision)?;
        match change.wait {
            Some(time) => self.wait(revision, time).await,
            None => Ok(()),
        }
    }

    /// Makes a change that keeps what is not given, and tries again if the fleet changed meanwhile.
    ///
    /// Two operators who each change one field of the same thing must not undo each other: the
    /// change expects the very revision from which it was completed.
    async fn merge<C>(&mut self, change: &Change, complete: C) -> Result<Revision, CtlError>
    where
        C: Fn(&Fleet) -> Result<FleetChange, CtlError>,
    {
        let mut tries = 0;
        loop {
            tries += 1;
            let fleet = self.fleet().await?;
            let expected = change.expected.unwrap_or(fleet.revision);
            let sent = self.send(change, Some(expected), &complete(&fleet)?).await;
            let again = change.expected.is_none() && tries < MERGE_TRIES;
            match sent {
                Err(CtlError::Conflict(_)) if again => {}
                sent => return sent,
            }
        }
    }

    async fn send(
        &mut self,
        change: &Change,
        expected: Option<Revision>,
        whole: &FleetChange,
    ) -> Result<Revision, CtlError> {
        let meta = proto::ChangeMeta {
            operation_id: change.operation.to_string(),
            expected_revision: expected.map(|revision| revision.0),
            reason: change.reason.clone(),
            operator: change.operator.clone(),
        };
        // The id is shown before the change is sent: whoever loses the answer needs it.
        writeln!(self.err, "operation id: {}", change.operation)?;
        let sent =
            self.caller.call(Duration::ZERO, |client| send::send(client, meta.clone(), whole));
        match sent.await {
            Ok(reply) => Ok(Revision(reply.revision)),
            Err(Failed::Unanswered(detail)) => {
                Err(CtlError::Undecided { detail, operation: change.operation.clone() })
            }
            Err(failed) => Err(failure(failed)),
        }
    }

    async fn wait(&mut self, revision: Revision, time: Duration) -> Result<(), CtlError> {
        let timeout_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let req = proto::WaitInForceRequest { revision: revision.0, timeout_ms };
        let ask =
            |mut client: super::caller::Client| async move { client.wait_in_force(req).await };
        let reply = self.caller.call(time, ask).await.map_err(failure)?;
        if !reply.lagging.is_empty() {
            return Err(CtlError::Lagging { revision, lagging: reply.lagging });
        }
        output::in_force(self.out, self.format, revision)?;
        Ok(())
    }

    async fn fleet(&mut self) -> Result<Fleet, CtlError> {
        let json = self.fleet_json().await?;
        serde_json::from_str(&json).map_err(|err| CtlError::BadAnswer(err.to_string()))
    }

    async fn fleet_json(&mut self) -> Result<String, CtlError> {
        let ask = |mut client: super::caller::Client| async move {
            client.get_fleet(proto::GetFleetRequest {}).await
        };
        Ok(self.caller.call(Duration::ZERO, ask).await.map_err(failure)?.json)
    }

    async fn list(&mut self, listing: &Listing) -> Result<(), CtlError> {
        if *listing == Listing::Fleet && self.format == Format::Json {
            let json = self.fleet_json().await?;
            output::document(self.out, &json)?;
            return Ok(());
        }
        let fleet = self.fleet().await?;
        output::listing(self.out, self.format, &fleet, listing)?;
        Ok(())
    }

    async fn dump(&mut self) -> Result<(), CtlError> {
        let ask = |mut client: super::caller::Client| async move {
            client.dump(proto::DumpRequest {}).await
        };
        let reply = self.caller.call(Duration::ZERO, ask).await.map_err(failure)?;
        output::document(self.out, &reply.json)?;
        Ok(())
    }

    async fn explain(&mut self, subject: &Subject) -> Result<(), CtlError> {
        let asked = match subject {
            Subject::Host(host) => explain_request::Subject::Host(host.to_string()),
            Subject::Pool(pool) => explain_request::Subject::Pool(pool.to_string()),
            Subject::Wave(wave) => explain_request::Subject::Wave(wave.to_string()),
            Subject::Request(id) => explain_request::Subject::Request(id.to_string()),
        };
        let req = proto::ExplainRequest { subject: Some(asked) };
        let ask = |mut client: super::caller::Client| {
            let req = req.clone();
            async move { client.explain(req).await }
        };
        let reply = self.caller.call(Duration::ZERO, ask).await.map_err(failure)?;
        output::lines(self.out, self.format, &reply.lines)?;
        Ok(())
    }

    async fn overload(&mut self, daemon: SocketAddr) -> Result<(), CtlError> {
        let json = overload::ask(daemon, self.timeout, self.ex.clone()).await?;
        if self.format == Format::Json {
            output::document(self.out, &json)?;
            return Ok(());
        }
        let overview =
            serde_json::from_str(&json).map_err(|err| CtlError::BadAnswer(err.to_string()))?;
        output::lines(self.out, self.format, &overload::sentences(&overview))?;
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), CtlError> {
        let ask = |mut client: super::caller::Client| async move {
            client.watch_events(proto::WatchEventsRequest {}).await
        };
        let mut events = self.caller.call(Duration::ZERO, ask).await.map_err(failure)?;
        while let Some(event) = events.next().await {
            let event = event.map_err(|status| CtlError::NoAnswer(status.message().to_owned()))?;
            let line = match event.event {
                Some(watched_event::Event::Decision(text)) => text,
                Some(watched_event::Event::Revision(revision)) => format!("revision {revision}"),
                Some(watched_event::Event::Skipped(events)) => format!("{events} events left out"),
                None => continue,
            };
            output::lines(self.out, self.format, &[line])?;
            self.out.flush()?;
        }
        Ok(())
    }
}

fn failure(failed: Failed) -> CtlError {
    match failed {
        Failed::Unreachable(tried) => CtlError::Unreachable(tried),
        Failed::Unanswered(detail) => CtlError::NoAnswer(detail),
        Failed::Refused(status) => refusal(&status),
    }
}

fn refusal(status: &Status) -> CtlError {
    let text = status.message().to_owned();
    match status.code() {
        Code::InvalidArgument => CtlError::BadInput(text),
        Code::NotFound => CtlError::NotFound(text),
        Code::Aborted => CtlError::Conflict(text),
        Code::FailedPrecondition => CtlError::Refused(text),
        code => CtlError::BadAnswer(unexpected(&code, &text)),
    }
}

fn unexpected<C>(code: &C, text: &str) -> String
where
    C: Display,
{
    format!("{code}: {text}")
}
