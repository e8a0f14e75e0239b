//! Changes of the fleet document: who asks for what, and why it may be refused.

use std::collections::BTreeMap;

use crate::{
    fleet::{Duty, Fence, HostSpec, Pool, Reason, Revision, Service, Team, Watts, WaveSettings},
    names::{CallerName, HostName, OperationId, PoolName, ServiceName, TeamName, WaveName},
    time::UnixMillis,
};

/// Who asks for a change.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Author {
    /// A person or script.
    Operator {
        /// As given on the command line.
        name: Reason,
    },
    /// The holder of a duty.
    Holder {
        /// The duty.
        duty: Duty,
        /// The holder's fencing number.
        fence: Fence,
    },
}

/// What operators declare of a site: everything in the document but its history.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SiteConfig {
    /// How many entry daemons the region is meant to run.
    pub entries_expected: u16,
    /// The most that all hosts together may draw.
    pub power_cap: Watts,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Hosts by name, with the pool in which a new host begins.
    pub hosts: BTreeMap<HostName, (HostSpec, PoolName)>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// The team of each known caller.
    pub callers: BTreeMap<CallerName, TeamName>,
}

/// One change of the fleet document.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FleetChange {
    /// Brings the document to what operators declare. Hosts that are already known keep pool,
    /// phase and epoch; a host that is no longer declared must be held first.
    ApplySite(Box<SiteConfig>),
    /// Creates or changes a pool.
    SetPool {
        /// Its name.
        pool: PoolName,
        /// What it shall be.
        spec: Pool,
    },
    /// Deletes a pool without hosts and services.
    RemovePool {
        /// Its name.
        pool: PoolName,
    },
    /// Creates or changes a service, its place included.
    SetService {
        /// Its name.
        service: ServiceName,
        /// What it shall be.
        spec: Service,
    },
    /// Deletes a service.
    RemoveService {
        /// Its name.
        service: ServiceName,
    },
    /// Adds a host, which serves at once.
    AddHost {
        /// Its name.
        host: HostName,
        /// What it is.
        spec: HostSpec,
        /// Where it begins.
        pool: PoolName,
    },
    /// Removes a host that is held or failed.
    RemoveHost {
        /// Its name.
        host: HostName,
    },
    /// Creates or changes a team.
    SetTeam {
        /// Its name.
        team: TeamName,
        /// What it shall be.
        spec: Team,
    },
    /// Deletes a team and the callers assigned to it.
    RemoveTeam {
        /// Its name.
        team: TeamName,
    },
    /// Assigns a caller to a team.
    SetCaller {
        /// The caller.
        caller: CallerName,
        /// The team.
        team: TeamName,
    },
    /// Changes the power cap.
    SetPowerCap {
        /// The new cap.
        cap: Watts,
    },
    /// Changes how many entry daemons the region is meant to run.
    SetEntriesExpected {
        /// The new number.
        entries: u16,
    },
    /// Begins to move a host: it takes no new work from now on.
    MoveHost {
        /// The host.
        host: HostName,
        /// The pool to which it goes.
        to: PoolName,
    },
    /// Begins to take a host out of use.
    HoldHost {
        /// The host.
        host: HostName,
        /// Why.
        reason: Reason,
    },
    /// Lets a held or failed host serve again, or gives up a leave that has not ended.
    ReleaseHost {
        /// The host.
        host: HostName,
    },
    /// Starts a wave over hosts.
    StartWave {
        /// Its name.
        wave: WaveName,
        /// The hosts; none given means every host that is not held or failed.
        hosts: Vec<HostName>,
        /// How carefully it goes about its work.
        settings: WaveSettings,
    },
    /// Stops a wave until it is resumed.
    PauseWave {
        /// The wave.
        wave: WaveName,
    },
    /// Lets a paused or halted wave go on.
    ResumeWave {
        /// The wave.
        wave: WaveName,
    },
    /// Gives a wave up: no further host is taken out.
    AbortWave {
        /// The wave.
        wave: WaveName,
    },
    /// Forgets a finished wave.
    RemoveWave {
        /// The wave.
        wave: WaveName,
    },
    /// A new holder's first write: from now on lower fencing numbers are refused.
    TakeDuty {
        /// The duty.
        duty: Duty,
    },
    /// The planner takes a pending host out for a wave.
    BeginLeave {
        /// The host.
        host: HostName,
        /// The wave.
        wave: WaveName,
    },
    /// The planner has seen that nothing is in flight on a leaving host, and takes the next step:
    /// the other pool, out of use, or a reboot.
    FinishLeave {
        /// The host.
        host: HostName,
        /// For a reboot: the last time at which the agent may begin it.
        not_after: UnixMillis,
    },
    /// The host's agent reports the host back after the reboot.
    HostBack {
        /// The host.
        host: HostName,
        /// The reboot that it answers.
        operation: OperationId,
    },
    /// The trial after a reboot went well.
    PassTrial {
        /// The host.
        host: HostName,
    },
    /// A host counts as failed.
    FailHost {
        /// The host.
        host: HostName,
        /// What was seen.
        reason: Reason,
    },
    /// A wave stops itself.
    HaltWave {
        /// The wave.
        wave: WaveName,
        /// What was seen.
        reason: Reason,
    },
    /// A wave has nothing left to do.
    FinishWave {
        /// The wave.
        wave: WaveName,
    },
    /// The planner asks for a throttle; the host still counts at its peak.
    BeginThrottle {
        /// The host.
        host: HostName,
    },
    /// The agent has confirmed the throttle and the lag of its readings has passed, or it has
    /// confirmed that the throttle is lifted.
    ConfirmThrottle {
        /// The host.
        host: HostName,
        /// The command that it answers.
        operation: OperationId,
    },
    /// The planner reserves the peak again and lifts the throttle.
    LiftThrottle {
        /// The host.
        host: HostName,
    },
    /// The agent never began a reboot or start and its not-after time has passed: ask again.
    RenewReboot {
        /// The host.
        host: HostName,
        /// The last time at which the agent may begin it.
        not_after: UnixMillis,
    },
    /// The power cap leaves no watts for a host: it takes no new work and is then switched off.
    ParkHost {
        /// The host.
        host: HostName,
    },
    /// The planner asks for a host that is held, failed or parked to be switched off.
    SwitchOff {
        /// The host.
        host: HostName,
    },
    /// The planner reserves the boot surge of a parked or failed host and has it started.
    StartHost {
        /// The host.
        host: HostName,
        /// The last time at which the agent may begin it.
        not_after: UnixMillis,
    },
    /// The agent has confirmed that a held or failed host is off.
    ConfirmOff {
        /// The host.
        host: HostName,
    },
}

/// A change with all that decides whether it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChangeRequest {
    /// Chosen by the author; a repeated request with the same id changes nothing more.
    pub operation: OperationId,
    /// The revision that the author has seen; another one refuses the change.
    pub expected: Option<Revision>,
    /// Who asks.
    pub author: Author,
    /// Why, for whoever asks later.
    pub reason: Reason,
    /// What.
    pub change: FleetChange,
}

/// A change that the document has seen.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppliedChange {
    /// The revision that it made.
    pub revision: Revision,
    /// The change.
    pub request: ChangeRequest,
}

/// Why a change is not accepted; nothing was changed.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, derive_more::Display,
)]
pub enum Refusal {
    /// A field has a value that cannot be.
    #[display("{field}: {reason}")]
    Invalid {
        /// The field, as the operators' schema names it.
        field: Reason,
        /// What is wrong with it.
        reason: Reason,
    },
    /// Something named in the change does not exist.
    #[display("{field}: '{name}' does not exist")]
    Unknown {
        /// The field, as the operators' schema names it.
        field: Reason,
        /// What was looked for.
        name: Reason,
    },
    /// The thing is in a state that does not allow the change.
    #[display("{field}: {reason}")]
    WrongState {
        /// The field, as the operators' schema names it.
        field: Reason,
        /// The state and what would allow the change.
        reason: Reason,
    },
    /// The document is at another revision than the author expected.
    #[display(
        "expected_revision: the fleet is at revision {found}, not {expected}; since then: {since}"
    )]
    RevisionConflict {
        /// What the author expected.
        expected: Revision,
        /// Where the document is.
        found: Revision,
        /// What has changed, in short.
        since: Reason,
    },
    /// A newer holder of the duty has written.
    #[display("fence: {duty} has passed to a newer holder")]
    Fenced {
        /// The duty.
        duty: Duty,
    },
    /// The change would break the availability budget of a service.
    #[display("service: '{service}' would keep {left} slots of the promised {promised}")]
    BudgetBroken {
        /// The service.
        service: ServiceName,
        /// The slots that would be left after the loss of its largest failure domain.
        left: u32,
        /// The slots that are promised.
        promised: u32,
    },
    /// The change would reserve more than the power cap.
    #[display("power_cap: {needed} would be reserved under a cap of {cap}")]
    PowerExceeded {
        /// What would be reserved.
        needed: Watts,
        /// The cap.
        cap: Watts,
    },
}

impl std::error::Error for Refusal {}
