//! Stand-ins of a site and a few real daemons, all on loopback ports.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use borageswitch::daemon::{self, Daemon, LocalCalls, StartError};
use borageswitch_fakes::site::{ANY_PORT, SiteStandin};
use borageswitch_settings::daemon::{DaemonSettings, Listen, LogSettings, Platform};
use borageswitch_types::{
    fleet::{Author, ChangeRequest, FleetChange, Reason, Revision, SiteConfig},
    names::{DataCentreName, OperationId, RegionName},
};
use borageswitch_wire::operator::{OperatorAnswer, OperatorRequest, Subject};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use smol::{Executor, Timer};

use crate::client::Client;

/// How many threads serve the stand-ins and the callers.
const STANDIN_THREADS: usize = 3;
/// How long a change may take to be accepted before a session gives up.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a daemon is asked before another one is.
const ASK_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a site cannot start or a change was not made.
#[derive(Debug)]
pub enum SiteError {
    /// A port or thread could not be had.
    Io(io::Error),
    /// A daemon did not start.
    Daemon(StartError),
    /// A change was refused.
    Refused(String),
    /// Nothing was answered in time.
    TimedOut(&'static str),
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiteError::Io(err) => write!(f, "a port or thread could not be had: {err}"),
            SiteError::Daemon(err) => write!(f, "a daemon did not start: {err}"),
            SiteError::Refused(why) => write!(f, "a change was refused: {why}"),
            SiteError::TimedOut(what) => write!(f, "{what} took too long"),
        }
    }
}

impl std::error::Error for SiteError {}

impl From<io::Error> for SiteError {
    fn from(err: io::Error) -> Self {
        SiteError::Io(err)
    }
}

/// A running site.
pub struct LocalSite {
    /// The platform and the hosts.
    pub standin: SiteStandin,
    /// What operators declare of it, with the ports bound.
    pub config: SiteConfig,
    /// The daemons that run.
    pub daemons: Vec<Daemon>,
    /// Runs the stand-ins and whoever calls.
    pub ex: Arc<Executor<'static>>,
    next_operation: u64,
}

impl LocalSite {
    /// Starts stand-ins and `daemons` daemons, spread over the data centres, and declares the site.
    ///
    /// # Errors
    ///
    /// When something could not start or the site was refused.
    pub fn start(
        mut config: SiteConfig,
        daemons: usize,
        boot_time: Duration,
    ) -> Result<Self, SiteError> {
        let ex = Arc::new(Executor::new());
        for i in 0..STANDIN_THREADS {
            let ex = ex.clone();
            let run = move || smol::block_on(ex.run(std::future::pending::<()>()));
            thread::Builder::new().name(format!("standin-{i}")).spawn(run)?;
        }
        config.entries_expected = daemons as u16;
        let standin = SiteStandin::start(&ex, &mut config, boot_time)?;
        let mut site = Self { standin, config, daemons: Vec::new(), ex, next_operation: 0 };
        for i in 0..daemons {
            let settings = site.daemon_settings(i);
            site.daemons.push(daemon::start(&settings).map_err(SiteError::Daemon)?);
        }
        let declared = site.config.clone();
        let revision =
            site.change(FleetChange::ApplySite(Box::new(declared)), "the site is declared")?;
        site.wait_in_force(revision)?;
        Ok(site)
    }

    /// Where callers may connect.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.addresses().callers).collect()
    }

    /// Starts one more daemon, as a replacement, and waits until it says that it is ready, as the
    /// balancer would before it sends callers there.
    ///
    /// # Errors
    ///
    /// When it could not start or is not ready in time.
    pub fn add_daemon(&mut self) -> Result<SocketAddr, SiteError> {
        let settings = self.daemon_settings(self.daemons.len());
        let daemon = daemon::start(&settings).map_err(SiteError::Daemon)?;
        let address = daemon.addresses().callers;
        let observe = daemon.addresses().observe;
        self.daemons.push(daemon);
        self.wait_ready(observe)?;
        Ok(address)
    }

    fn wait_ready(&self, observe: SocketAddr) -> Result<(), SiteError> {
        let mut client = Client::new(self.ex.clone());
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let probe =
                Request::get("/ready").header("host", "daemon").body(Full::new(Bytes::new()));
            let Ok(probe) = probe else { break };
            let answered = smol::block_on(client.exchange(observe, probe));
            if answered.is_ok_and(|res| res.status() == StatusCode::OK) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(SiteError::TimedOut("a new daemon's readiness"))
    }

    /// Makes a change through whichever daemon answers, repeating it under one operation id.
    ///
    /// # Errors
    ///
    /// When it was refused, or no daemon decided in time.
    pub fn change<T>(&mut self, change: FleetChange, reason: T) -> Result<Revision, SiteError>
    where
        T: Into<Reason>,
    {
        self.next_operation += 1;
        let req = ChangeRequest {
            operation: OperationId::from(format!("session-{}", self.next_operation)),
            expected: None,
            author: Author::Operator { name: "session".into() },
            reason: reason.into(),
            change,
        };
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            for operator in self.operators() {
                let request = OperatorRequest::Change(Box::new(req.clone()));
                match smol::block_on(ask(&operator, request)) {
                    Some(OperatorAnswer::Accepted { revision }) => return Ok(revision),
                    Some(OperatorAnswer::Refused(refusal)) => {
                        return Err(SiteError::Refused(refusal.to_string()));
                    }
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(SiteError::TimedOut("a change"))
    }

    /// Waits until a revision is in force at every live daemon.
    ///
    /// # Errors
    ///
    /// When some daemon lags for too long.
    pub fn wait_in_force(&self, revision: Revision) -> Result<(), SiteError> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let request =
                OperatorRequest::WaitInForce { revision, timeout: Duration::from_secs(5) };
            let Some(operator) = self.operators().into_iter().next() else { break };
            if let Some(OperatorAnswer::InForce { lagging, .. }) =
                smol::block_on(ask(&operator, request))
                && lagging.is_empty()
            {
                return Ok(());
            }
        }
        Err(SiteError::TimedOut("a revision's way to every daemon"))
    }

    /// Calls that the store has carried out, by kind.
    pub fn store_calls(&self) -> std::collections::BTreeMap<&'static str, u64> {
        self.standin.store.calls()
    }

    /// The fleet document as a daemon knows it.
    pub fn fleet(&self) -> Option<borageswitch_types::Fleet> {
        for operator in self.operators() {
            if let Some(OperatorAnswer::Json(text)) =
                smol::block_on(ask(&operator, OperatorRequest::GetFleet))
            {
                return serde_json::from_str(&text).ok();
            }
        }
        None
    }

    /// Why something is as it is, by whichever daemon answers first.
    pub fn explain(&self, subject: &Subject) -> Vec<Reason> {
        for operator in self.operators() {
            let request = OperatorRequest::Explain(subject.clone());
            if let Some(OperatorAnswer::Explanation(lines)) =
                smol::block_on(ask(&operator, request))
            {
                return lines;
            }
        }
        Vec::new()
    }

    /// The whole control state of each daemon, as JSON.
    pub fn dumps(&self) -> Vec<String> {
        let dump =
            |operator: LocalCalls| match smol::block_on(ask(&operator, OperatorRequest::Dump)) {
                Some(OperatorAnswer::Json(text)) => Some(text),
                _ => None,
            };
        self.operators().into_iter().filter_map(dump).collect()
    }

    fn operators(&self) -> Vec<LocalCalls> {
        self.daemons.iter().map(Daemon::operator).collect()
    }

    fn daemon_settings(&self, number: usize) -> DaemonSettings {
        let centres: Vec<&DataCentreName> = self.data_centres();
        DaemonSettings {
            name: None,
            region: RegionName::from("local"),
            data_centre: centres
                .get(number % centres.len().max(1))
                .map_or("one".into(), |name| (*name).clone()),
            listen: Listen {
                callers: ANY_PORT,
                operators: ANY_PORT,
                peers: ANY_PORT,
                observe: ANY_PORT,
            },
            platform: Platform {
                store: vec![self.standin.store.address()],
                host_list: self.standin.host_list.address(),
                call_timeout: Duration::from_millis(500),
            },
            site_key: Arc::from("a key for one process only"),
            peers: self.daemons.iter().map(|daemon| daemon.addresses().peers).collect(),
            traffic_threads: 1,
            duty_ttl: Duration::from_secs(2),
            stop_timeout: Duration::from_secs(30),
            log: LogSettings::default(),
        }
    }

    fn data_centres(&self) -> Vec<&DataCentreName> {
        let mut centres: Vec<&DataCentreName> =
            self.config.hosts.values().map(|(spec, _)| &spec.data_centre).collect();
        centres.sort();
        centres.dedup();
        centres
    }
}

/// Asks a daemon, but not for longer than [`ASK_TIMEOUT`].
async fn ask(operator: &LocalCalls, request: OperatorRequest) -> Option<OperatorAnswer> {
    let give_up = async {
        Timer::after(ASK_TIMEOUT).await;
        None
    };
    futures_lite::future::or(operator.ask(request), give_up).await
}
