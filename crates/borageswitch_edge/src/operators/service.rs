//! The schema's calls, each handed to the reducer or answered from what it has published.

use std::{pin::Pin, sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use borageswitch_types::{
    Fleet,
    fleet::{ChangeRequest, Revision},
};
use borageswitch_wire::{
    operator::{OperatorAnswer, OperatorRequest},
    schema::{
        FieldError,
        proto::{self, operator_server},
    },
};
use futures_lite::{Stream, StreamExt};
use tonic::{Request, Response, Status};

use crate::operators::{
    calls::{Calls, NoAnswer},
    status,
    watchers::Watchers,
};

/// How long the reducer may take for an answer: longer than it tries a change at the store.
const PATIENCE: Duration = Duration::from_secs(60);
/// The longest wait for a revision that an operator may ask for.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// What the calls share with [`Operators`](super::Operators).
pub(super) struct Shared {
    pub(super) calls: Calls,
    pub(super) watchers: Watchers,
    pub(super) fleet: ArcSwapOption<Fleet>,
}

/// The schema's service.
#[derive(Clone)]
pub(super) struct Service {
    pub(super) shared: Arc<Shared>,
}

impl Service {
    async fn change<R>(&self, request: Request<R>) -> Result<Response<proto::ChangeReply>, Status>
    where
        ChangeRequest: TryFrom<R, Error = FieldError>,
    {
        let req = ChangeRequest::try_from(request.into_inner());
        let req = req.map_err(|err| status::bad_field(&err))?;
        let answer = self.ask(OperatorRequest::Change(Box::new(req)), PATIENCE).await?;
        match answer {
            OperatorAnswer::Accepted { revision } => {
                Ok(Response::new(proto::ChangeReply { revision: revision.0 }))
            }
            answer => Err(unfit(answer)),
        }
    }

    async fn ask(
        &self,
        request: OperatorRequest,
        patience: Duration,
    ) -> Result<OperatorAnswer, Status> {
        self.shared.calls.ask(request, patience).await.map_err(status::no_answer)
    }

    async fn ask_json(
        &self,
        request: OperatorRequest,
    ) -> Result<Response<proto::JsonReply>, Status> {
        match self.ask(request, PATIENCE).await? {
            OperatorAnswer::Json(json) => Ok(Response::new(proto::JsonReply { json })),
            answer => Err(unfit(answer)),
        }
    }
}

/// The status for an answer that does not carry what was asked for.
fn unfit(answer: OperatorAnswer) -> Status {
    match answer {
        OperatorAnswer::Refused(refusal) => status::refused(&refusal),
        OperatorAnswer::Undecided { detail } => status::undecided(&detail),
        OperatorAnswer::NotFound => Status::not_found("what was asked about is not known"),
        OperatorAnswer::Accepted { .. }
        | OperatorAnswer::InForce { .. }
        | OperatorAnswer::Json(_)
        | OperatorAnswer::Explanation(_) => {
            Status::internal("the daemon answered another question than the one asked")
        }
    }
}

/// Writes the calls that change the fleet document: they differ in their messages alone.
macro_rules! service {
    ($($call:ident($request:ident);)* { $($other:item)* }) => {
        #[tonic::async_trait]
        impl operator_server::Operator for Service {
            $(
                async fn $call(
                    &self,
                    request: Request<proto::$request>,
                ) -> Result<Response<proto::ChangeReply>, Status> {
                    self.change(request).await
                }
            )*
            $($other)*
        }
    };
}

service! {
    apply_config(ApplyConfigRequest);
    set_pool(SetPoolRequest);
    remove_pool(RemovePoolRequest);
    set_service(SetServiceRequest);
    remove_service(RemoveServiceRequest);
    add_host(AddHostRequest);
    remove_host(RemoveHostRequest);
    move_host(MoveHostRequest);
    hold_host(HoldHostRequest);
    release_host(ReleaseHostRequest);
    set_team(SetTeamRequest);
    remove_team(RemoveTeamRequest);
    set_caller(SetCallerRequest);
    set_power_cap(SetPowerCapRequest);
    set_entries_expected(SetEntriesExpectedRequest);
    start_wave(StartWaveRequest);
    pause_wave(PauseWaveRequest);
    resume_wave(ResumeWaveRequest);
    abort_wave(AbortWaveRequest);
    remove_wave(RemoveWaveRequest);
    {
        async fn wait_in_force(
            &self,
            request: Request<proto::WaitInForceRequest>,
        ) -> Result<Response<proto::WaitInForceReply>, Status> {
            let req = request.into_inner();
            let timeout = Duration::from_millis(req.timeout_ms);
            if timeout > MAX_WAIT {
                let err = FieldError::new("timeout_ms", "must not be above ten minutes");
                return Err(status::bad_field(&err));
            }
            let asked = OperatorRequest::WaitInForce { revision: Revision(req.revision), timeout };
            match self.ask(asked, timeout + PATIENCE).await? {
                OperatorAnswer::InForce { revision, lagging } => {
                    let lagging = lagging.iter().map(ToString::to_string).collect();
                    Ok(Response::new(proto::WaitInForceReply { revision: revision.0, lagging }))
                }
                answer => Err(unfit(answer)),
            }
        }

        async fn get_fleet(
            &self,
            _request: Request<proto::GetFleetRequest>,
        ) -> Result<Response<proto::JsonReply>, Status> {
            let Some(fleet) = self.shared.fleet.load_full() else {
                return self.ask_json(OperatorRequest::GetFleet).await;
            };
            let json = serde_json::to_string(&*fleet);
            let json = json.map_err(|err| Status::internal(err.to_string()))?;
            Ok(Response::new(proto::JsonReply { json }))
        }

        async fn dump(
            &self,
            _request: Request<proto::DumpRequest>,
        ) -> Result<Response<proto::JsonReply>, Status> {
            self.ask_json(OperatorRequest::Dump).await
        }

        async fn explain(
            &self,
            request: Request<proto::ExplainRequest>,
        ) -> Result<Response<proto::ExplainReply>, Status> {
            let subject = request.into_inner().try_into();
            let subject = subject.map_err(|err| status::bad_field(&err))?;
            match self.ask(OperatorRequest::Explain(subject), PATIENCE).await? {
                OperatorAnswer::Explanation(lines) => {
                    let lines = lines.iter().map(ToString::to_string).collect();
                    Ok(Response::new(proto::ExplainReply { lines }))
                }
                answer => Err(unfit(answer)),
            }
        }

        type WatchEventsStream =
            Pin<Box<dyn Stream<Item = Result<proto::WatchedEvent, Status>> + Send>>;

        async fn watch_events(
            &self,
            _request: Request<proto::WatchEventsRequest>,
        ) -> Result<Response<Self::WatchEventsStream>, Status> {
            let events = self.shared.watchers.watch();
            let events = events.ok_or_else(|| status::no_answer(NoAnswer::TooMany))?;
            Ok(Response::new(Box::pin(events.map(Ok))))
        }
    }
}
