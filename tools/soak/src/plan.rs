//! Which faults come when, drawn from a seed.
//!
//! Faults come in series and overlap: half of them begin while another one lasts. All are over
//! some time before the end of the run, so that what was promised can be seen to be kept.

use std::time::Duration;

/// Which daemon a fault is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Who {
    /// The one with this number.
    #[display("daemon {_0}")]
    Number(usize),
    /// Whichever leads when the fault begins.
    #[display("the leader")]
    Leader,
}

/// Something that goes wrong. Hosts are numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Fault {
    /// A daemon is killed, and started again afterwards.
    #[display("kill {_0}")]
    Kill(Who),
    /// All daemons are killed at once, and started again afterwards.
    #[display("kill all")]
    KillAll,
    /// A daemon is asked to end, and started again when it has.
    #[display("terminate {_0}")]
    Terminate(Who),
    /// A daemon is stopped by a signal and goes on afterwards, without knowing.
    #[display("pause {_0}")]
    Pause(Who),
    /// A daemon is told to read its settings again.
    #[display("reload {_0}")]
    Reload(Who),
    /// The store refuses every call.
    #[display("store refuses")]
    StoreRefuses,
    /// The store carries writes out and does not answer.
    #[display("store loses answers")]
    StoreLosesAnswers,
    /// The store answers late.
    #[display("store slow")]
    StoreSlow,
    /// The store forgets its history.
    #[display("store forgets")]
    StoreForgets,
    /// Nothing passes between any daemon and the store; what was held back arrives afterwards.
    #[display("store silent for all")]
    StoreSilentForAll,
    /// Nothing passes between a daemon and the store; what was held back arrives afterwards.
    #[display("store silent for {_0}")]
    StoreSilent(Who),
    /// A daemon's calls reach the store, and no answer comes back.
    #[display("store deaf for {_0}")]
    StoreOneWay(Who),
    /// A daemon's open connections to the store go silent for good; new ones work.
    #[display("store connections lost for {_0}")]
    StoreLoses(Who),
    /// A daemon's connections to the store are reset.
    #[display("store reset for {_0}")]
    StoreReset(Who),
    /// Orders to a host's executor are held back and arrive afterwards.
    #[display("host {_0} late")]
    HostLate(usize),
    /// Orders reach all executors, and no answer comes back.
    #[display("answers of all hosts lost")]
    AnswersLost,
    /// Orders reach a host's executor, and no answer comes back.
    #[display("host {_0} deaf")]
    HostOneWay(usize),
    /// Everything to and from a host's executor takes longer.
    #[display("host {_0} slow")]
    HostSlow(usize),
    /// A host goes down and comes back as another life of its executor.
    #[display("host {_0} crashes")]
    HostCrashes(usize),
    /// A host says that it leaves, and is gone afterwards.
    #[display("host {_0} leaves")]
    HostLeaves(usize),
    /// The operator declares a queue more.
    #[display("new queue")]
    NewQueue,
    /// The operator asks for a maintenance wave over some hosts.
    #[display("wave")]
    Wave,
}

/// A fault with its times, counted from the beginning of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// How many daemons.
    pub daemons: usize,
    /// How many hosts.
    pub hosts: usize,
    /// For how long faults come.
    pub faults_for: Duration,
}

/// Which faults a plan has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum Shape {
    /// Single faults of all kinds, and series of crashes while the store is silent.
    #[default]
    #[display("usual")]
    Usual,
    /// The store is silent, a leader begins when it is back, answers of executors are lost right
    /// after, and the store is silent again.
    #[display("incident")]
    Incident,
}

/// Faults begin only after this time: the site has to stand first.
const QUIET_START: Duration = Duration::from_millis(1_500);
/// The mean time from one fault to the next; they last longer than that, so many overlap.
const MEAN_GAP: Duration = Duration::from_millis(700);
/// How long a fault lasts, at the least and at the most: from a hiccup to longer than a leader's
/// lease, its grace and an executor's lease together allow for.
const LASTS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(5_000));
/// Separates the generator of the series from that of the single faults, whose course for a seed
/// does not depend on the series.
const SERIES_SEED: u64 = 1 << 63;
/// The mean time from the end of the silence in one series to the next series.
const MEAN_SERIES_GAP: Duration = Duration::from_secs(6);
/// How long the store is silent in a series, at the least.
const SILENT_LEAST: Duration = Duration::from_secs(4);
/// How long the store is silent in a series, at the most.
const SILENT_MOST: Duration = Duration::from_secs(5);
/// How many hosts a series crashes, as many as stand in a rack.
const RACK: usize = 3;
/// How many daemons a series signals.
const DAEMONS_IN_SERIES: usize = 3;
/// The longest that a daemon or a host is away for a fault of a series.
const AWAY_MOST: Duration = Duration::from_millis(1_200);

/// Separates the generator of an incident from the others.
const INCIDENT_SEED: u64 = 1 << 62;
/// How long the store is silent at the beginning of an incident, at the least and at the most.
const INCIDENT_SILENCE: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(6));
/// How long answers are lost after it.
const ANSWERS_LOST: Duration = Duration::from_secs(3);
/// From the end of the silence to the second one, at the least and at the most.
const SECOND_AFTER: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(8));
/// How long the second silence lasts.
const SECOND_SILENCE: Duration = Duration::from_millis(2_400);
/// The latest beginning of an incident after the quiet start.
const INCIDENT_START: Duration = Duration::from_secs(1);
/// How many hosts crash one by one in an incident, beside those of a rack.
const CRASHES_IN_INCIDENT: usize = 4;

/// The faults of a seed.
pub fn draw(seed: u64, size: &Size, shape: Shape) -> Vec<Planned> {
    let mut planned = match shape {
        Shape::Usual => {
            let mut planned = draw_single(seed, size);
            planned.extend(draw_series(seed, size));
            planned
        }
        Shape::Incident => draw_incident(seed, size),
    };
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn draw_single(seed: u64, size: &Size) -> Vec<Planned> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut planned = Vec::new();
    let mut at = QUIET_START;
    while at < size.faults_for {
        let shortest = LASTS.0.as_secs_f64();
        // Short ones are more frequent than long ones.
        let lasts = shortest * (LASTS.1.as_secs_f64() / shortest).powf(rng.f64());
        let lasts = Duration::from_secs_f64(lasts).min(size.faults_for - at);
        planned.push(Planned { at, lasts, fault: draw_fault(&mut rng, size) });
        at += MEAN_GAP.mul_f64(-(1.0 - rng.f64()).ln());
    }
    planned
}

/// Series of a silent store, the leader's end, and hosts and daemons that go one after the other
/// during the silence and shortly after it.
fn draw_series(seed: u64, size: &Size) -> Vec<Planned> {
    let mut rng = fastrand::Rng::with_seed(seed ^ SERIES_SEED);
    let mut planned = Vec::new();
    let mut at = QUIET_START;
    while at + SILENT_MOST + AWAY_MOST <= size.faults_for {
        let silent = SILENT_LEAST + (SILENT_MOST - SILENT_LEAST).mul_f64(rng.f64());
        planned.push(Planned { at, lasts: silent, fault: Fault::StoreSilentForAll });
        let until = (at + silent + AWAY_MOST).min(size.faults_for - AWAY_MOST);
        let mut next = |fault: Fault, from: Duration, until: Duration| {
            let at = from + (until - from).mul_f64(rng.f64());
            planned.push(Planned { at, lasts: AWAY_MOST.mul_f64(rng.f64()), fault });
            rng.usize(..size.hosts)
        };
        let host = next(Fault::Kill(Who::Leader), at, at + silent);
        // A rack, each of its hosts twice: the second crash ends tasks that have just started.
        for number in (host..host + RACK).chain(host..host + RACK) {
            next(Fault::HostCrashes(number % size.hosts), at, until);
        }
        let other = next(Fault::HostLeaves((host + RACK) % size.hosts), at, until);
        next(Fault::NewQueue, at, until);
        for number in other..other + DAEMONS_IN_SERIES {
            let who = Who::Number(number % size.daemons);
            let fault = if number % 2 == 0 { Fault::Terminate(who) } else { Fault::Reload(who) };
            next(fault, at, until);
        }
        at += silent + MEAN_SERIES_GAP.mul_f64(-(1.0 - rng.f64()).ln());
    }
    planned
}

/// A silent store, lost answers when it is back, and a second silence, during which all daemons are
/// killed on half of the seeds. Hosts crash, leave and are maintained meanwhile.
fn draw_incident(seed: u64, size: &Size) -> Vec<Planned> {
    let mut rng = fastrand::Rng::with_seed(seed ^ INCIDENT_SEED);
    let mut between = |from: Duration, to: Duration| from + (to - from).mul_f64(rng.f64());
    let at = between(QUIET_START, QUIET_START + INCIDENT_START);
    let silent = between(INCIDENT_SILENCE.0, INCIDENT_SILENCE.1);
    let back = at + silent;
    let second = back + between(SECOND_AFTER.0, SECOND_AFTER.1);
    let end = second + SECOND_SILENCE;
    let mut planned = vec![
        Planned { at, lasts: silent, fault: Fault::StoreSilentForAll },
        Planned { at: back, lasts: ANSWERS_LOST, fault: Fault::AnswersLost },
        Planned { at: second, lasts: SECOND_SILENCE, fault: Fault::StoreSilentForAll },
    ];
    let mut add = |from: Duration, to: Duration, fault: Fault| {
        let (at, lasts) = (between(from, to), between(Duration::ZERO, AWAY_MOST));
        planned.push(Planned { at, lasts, fault });
    };
    add(QUIET_START, back, Fault::Wave);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut host = || rng.usize(..size.hosts);
    add(at, back, Fault::HostLeaves(host()));
    let rack = host();
    for number in rack..rack + RACK {
        add(at, back + ANSWERS_LOST, Fault::HostCrashes(number % size.hosts));
    }
    for _ in 0..CRASHES_IN_INCIDENT {
        add(back, end, Fault::HostCrashes(host()));
    }
    if seed.is_multiple_of(2) {
        planned.push(Planned { at: second, lasts: SECOND_SILENCE, fault: Fault::KillAll });
    }
    planned.retain(|planned| planned.at + planned.lasts <= size.faults_for);
    planned
}

fn draw_fault(rng: &mut fastrand::Rng, size: &Size) -> Fault {
    let who = if rng.bool() { Who::Leader } else { Who::Number(rng.usize(..size.daemons)) };
    let host = rng.usize(..size.hosts);
    match rng.u32(..30) {
        0..=2 => Fault::Kill(who),
        3 => Fault::KillAll,
        4..=5 => Fault::Terminate(who),
        6..=8 => Fault::Pause(who),
        9 => Fault::Reload(who),
        10 => Fault::StoreRefuses,
        11 => Fault::StoreLosesAnswers,
        12 => Fault::StoreSlow,
        13 => Fault::StoreForgets,
        14..=15 => Fault::StoreSilent(who),
        16 => Fault::StoreOneWay(who),
        17 => Fault::StoreLoses(who),
        18 => Fault::StoreReset(who),
        19..=20 => Fault::HostLate(host),
        21 => Fault::HostOneWay(host),
        22 => Fault::HostSlow(host),
        23..=24 => Fault::HostCrashes(host),
        25 => Fault::HostLeaves(host),
        26..=27 => Fault::NewQueue,
        _ => Fault::Wave,
    }
}
