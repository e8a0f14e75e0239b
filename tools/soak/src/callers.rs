//! Hands jobs in, asks for them, cancels some, and remembers every answer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use borageswitch_fakes::{
    platform::{CRASHING_TEXT, FAILING_TEXT, LASTING_TEXT, example},
    serve::Runner,
};
use borageswitch_http::client::{Client, HttpResponse};
use borageswitch_platform_standin::operator;
use borageswitch_scheduler::{
    config::Queue,
    job::{JobSpec, Size, Step},
};
use borageswitch_types::names::JobName;
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use smol::Timer;

use crate::{
    process::Daemon,
    site::{self, Site},
};

/// How long a caller waits for an answer: longer than any daemon holds a request.
const ANSWER_PATIENCE: Duration = Duration::from_secs(4);
/// How long connecting may take.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// Connections are kept for the whole run, also beyond a daemon's notice of its end.
const CONNECTION_AGE: Duration = Duration::from_secs(600);
/// How often a job is handed in at the most.
const TRIES: u32 = 8;
/// How often the cancelling of a lasting job is asked for at the most. It has to be answered, as the
/// job does not end otherwise: these tries outlast the longest outage.
const LASTING_CANCEL_TRIES: u32 = 400;
/// The longest that a caller waits before it comes back.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// The pause between two jobs of one caller.
const PAUSE: Duration = Duration::from_millis(60);
/// The pause before lasting jobs are asked for again.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// The number of hosts of a site for which each pool gets one more lasting job. These jobs take at
/// most a third of a pool's cores.
const HOSTS_PER_LASTING_JOB: usize = 5;
/// One job in so many is cancelled, can never be done, or is handed in twice.
const RARE: u32 = 12;

/// How one try to hand a job in was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Try {
    /// Accepted.
    Accepted,
    /// It was said that the job has not run and never will.
    Refused,
    /// Nothing was said that settles it.
    Unknown,
}

/// What became of one job, as its caller saw it. Times are by the platform's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Fate {
    /// What was handed in, and where.
    pub spec: JobSpec,
    /// The queue.
    pub queue: Queue,
    /// Every answer to handing it in.
    pub tries: Vec<Try>,
    /// When its cancelling was acknowledged.
    pub cancelled_ms: Option<u64>,
    /// Its caller asked for its cancelling, answered or not.
    pub cancelling: bool,
    /// The last state that was shown.
    pub state: Option<String>,
    /// It was shown as failed at least once.
    pub was_failed: bool,
}

impl Fate {
    /// Whether it was accepted.
    pub fn is_accepted(&self) -> bool {
        self.tries.contains(&Try::Accepted)
    }

    /// Whether every try was refused.
    pub fn is_refused(&self) -> bool {
        !self.tries.is_empty() && self.tries.iter().all(|t| *t == Try::Refused)
    }

    /// Whether its tasks run until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.spec.is_lasting()
    }

    /// Whether its tasks fail wherever they run, or crash whatever runs them.
    pub fn is_failing(&self) -> bool {
        [FAILING_TEXT, CRASHING_TEXT].iter().any(|text| self.spec.payload.starts_with(text))
    }
}

/// What all callers share.
pub struct Callers {
    site: Arc<Site>,
    client: Client,
    fates: Mutex<BTreeMap<JobName, Fate>>,
    stopped: AtomicBool,
}

impl Callers {
    /// Callers of a site.
    pub fn new(site: Arc<Site>, ex: Runner) -> Self {
        let client = Client::new(CONNECT_PATIENCE, CONNECTION_AGE, ex);
        Self { site, client, fates: Mutex::default(), stopped: AtomicBool::new(false) }
    }

    /// No new jobs from now on.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// What became of each job.
    pub fn fates(&self) -> BTreeMap<JobName, Fate> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<JobName, Fate>> {
        self.fates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One caller: job after job until it is stopped.
    pub async fn call(self: Arc<Self>, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        while !self.stopped.load(Ordering::SeqCst) {
            let pool = site::POOLS[rng.usize(..site::POOLS.len())];
            let spec = draw_job(&mut rng);
            self.hand_in(&mut rng, pool, spec).await;
            Timer::after(PAUSE.mul_f64(rng.f64() * 2.0)).await;
        }
    }

    /// Hands in jobs whose tasks last and one that crashes executors, for each pool.
    pub async fn hand_in_special(self: Arc<Self>, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let more = self.site.host_links.len() / HOSTS_PER_LASTING_JOB;
        let specs = || {
            let more = (0..more).map(|number| match number % 2 {
                0 => lasting_job_of(&[4], None),
                _ => lasting_job_of(&[2, 2], Some(1)),
            });
            [lasting_job(), crashing_job()].into_iter().chain(more)
        };
        for (pool, spec) in site::POOLS.iter().flat_map(|pool| specs().map(|spec| (*pool, spec))) {
            while !self.hand_in(&mut rng, pool, spec.clone()).await {
                if self.stopped.load(Ordering::SeqCst) {
                    return;
                }
            }
        }
    }

    /// Asks for the states of lasting jobs again and again until it is stopped.
    pub async fn watch_lasting(self: Arc<Self>, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        while !self.stopped.load(Ordering::SeqCst) {
            let fates = self.fates();
            for (job, _) in fates.iter().filter(|(_, f)| f.is_lasting() && f.is_accepted()) {
                self.look(&mut rng, job).await;
            }
            Timer::after(WATCH_PAUSE).await;
        }
    }

    /// Hands a job in until it is accepted or the tries are used up. Gives whether it was.
    async fn hand_in(&self, rng: &mut fastrand::Rng, pool: &str, spec: JobSpec) -> bool {
        let job = JobName::from(format!("{:016x}", rng.u64(..)));
        let queue = site::queue(&format!("{pool}-runs"), pool);
        let fate = Fate {
            spec: spec.clone(),
            queue: queue.clone(),
            tries: Vec::new(),
            cancelled_ms: None,
            cancelling: false,
            state: None,
            was_failed: false,
        };
        self.lock().insert(job.clone(), fate);
        let path = format!("{}{job}", queue.prefix);
        let body = Bytes::from(operator::encode_job(&spec));
        for _ in 0..TRIES {
            let answer = self.ask(rng, Method::POST, &path, body.clone()).await;
            let (outcome, wait) = judge(&answer);
            self.change(&job, |fate| fate.tries.push(outcome));
            if outcome == Try::Accepted {
                self.follow(rng, &job, &path, &body).await;
                return true;
            }
            Timer::after(wait.min(LONGEST_WAIT).mul_f64(0.5 + rng.f64() / 2.0)).await;
        }
        false
    }

    /// What some callers do with a job that was accepted.
    async fn follow(&self, rng: &mut fastrand::Rng, job: &JobName, path: &str, body: &Bytes) {
        match rng.u32(..RARE) {
            0 => {
                Timer::after(PAUSE.mul_f64(rng.f64() * 4.0)).await;
                let lasts = self.lock().get(job).is_some_and(Fate::is_lasting);
                let tries = if lasts { LASTING_CANCEL_TRIES } else { TRIES };
                self.cancel(rng, job, path, tries).await;
            }
            // The same request again: it stays one job.
            1 => {
                let answer = self.ask(rng, Method::POST, path, body.clone()).await;
                let (outcome, _) = judge(&answer);
                self.change(job, |fate| fate.tries.push(outcome));
            }
            _ => {}
        }
    }

    async fn cancel(&self, rng: &mut fastrand::Rng, job: &JobName, path: &str, tries: u32) {
        self.change(job, |fate| fate.cancelling = true);
        for _ in 0..tries {
            let answer = self.ask(rng, Method::DELETE, path, Bytes::new()).await;
            if answer.is_some_and(|a| a.status.is_success() || a.status == 410) {
                let at = self.site.platform.clock_ms();
                self.change(job, |fate| fate.cancelled_ms = Some(at));
                return;
            }
            Timer::after(PAUSE).await;
        }
    }

    /// Asks for the state of a job at any daemon, and remembers it. Gives it if there is one.
    pub async fn look(&self, rng: &mut fastrand::Rng, job: &JobName) -> Option<String> {
        let queue = self.lock().get(job)?.queue.clone();
        let path = format!("{}{job}", queue.prefix);
        let answer = self.ask(rng, Method::GET, &path, Bytes::new()).await?;
        let state = match answer.status.as_u16() {
            200 => {
                let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
                body["state"].as_str()?.to_owned()
            }
            410 => "unknown".to_owned(),
            _ => return None,
        };
        self.change(job, |fate| {
            fate.was_failed |= state == "failed";
            fate.state = Some(state.clone());
        });
        Some(state)
    }

    /// The status of a request to one daemon, if it answers.
    pub async fn status_at(&self, address: SocketAddr, path: &str) -> Option<u16> {
        let req = request(Method::GET, path, Bytes::new());
        let answer = self.client.call(address, req, ANSWER_PATIENCE).await.ok()?;
        Some(answer.status.as_u16())
    }

    async fn ask(
        &self,
        rng: &mut fastrand::Rng,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<HttpResponse> {
        let listening = self.site.daemons.iter().filter_map(Daemon::listens);
        let addresses: Vec<SocketAddr> = listening.map(|listens| listens.callers).collect();
        if addresses.is_empty() {
            return None;
        }
        let address = addresses[rng.usize(..addresses.len())];
        // Without an answer nothing is settled, whether or not the request has left.
        self.client.call(address, request(method, path, body), ANSWER_PATIENCE).await.ok()
    }

    fn change<F>(&self, job: &JobName, change: F)
    where
        F: FnOnce(&mut Fate),
    {
        if let Some(fate) = self.lock().get_mut(job) {
            change(fate);
        }
    }
}

fn request(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let req = Request::builder().method(method).uri(path).header(header::HOST, example::AUTHORITY);
    req.body(Full::new(body)).expect("paths are made of names and digits")
}

/// What an answer settles, and when to come back.
fn judge(answer: &Option<HttpResponse>) -> (Try, Duration) {
    let Some(answer) = answer else { return (Try::Unknown, PAUSE) };
    let outcome = match answer.status.as_u16() {
        200..=299 => Try::Accepted,
        429 | 503 => Try::Refused,
        _ => Try::Unknown,
    };
    let after = answer.headers.get(header::RETRY_AFTER).and_then(|v| v.to_str().ok());
    let seconds = after.and_then(|text| text.parse().ok()).unwrap_or(0);
    (outcome, Duration::from_secs(seconds).max(PAUSE))
}

fn draw_job(rng: &mut fastrand::Rng) -> JobSpec {
    let text = if rng.u32(..RARE) == 0 { FAILING_TEXT } else { "short" };
    let step = |rng: &mut fastrand::Rng, after: Vec<u16>| Step {
        count: rng.u32(1..=6),
        size: Size { cpu_milli: rng.u64(1..=3) * 1_000, memory_mb: 500, accelerators: 0 },
        estimate: Duration::from_millis(100),
        after,
        ..Step::default()
    };
    let mut steps = vec![step(rng, Vec::new())];
    if text != FAILING_TEXT && rng.bool() {
        steps.push(step(rng, vec![0]));
    }
    JobSpec { payload: format!("{text} {:x}", rng.u32(..)).into(), steps, schedule: None }
}

fn lasting_job() -> JobSpec {
    let step = Step {
        count: 3,
        size: Size { cpu_milli: 2_000, memory_mb: 500, accelerators: 0 },
        estimate: Duration::from_millis(100),
        max_per_host: Some(1),
        lasting: true,
        max_unavailable: Some(1),
        ..Step::default()
    };
    JobSpec { payload: LASTING_TEXT.into(), steps: vec![step], schedule: None }
}

/// A lasting job of small tasks, with a step for each of `counts`.
fn lasting_job_of(counts: &[u32], max_unavailable: Option<u32>) -> JobSpec {
    let step = |count: &u32| Step {
        count: *count,
        size: Size { cpu_milli: 1_000, memory_mb: 500, accelerators: 0 },
        estimate: Duration::from_millis(100),
        lasting: true,
        max_unavailable,
        ..Step::default()
    };
    let steps = counts.iter().map(step).collect();
    JobSpec { payload: LASTING_TEXT.into(), steps, schedule: None }
}

fn crashing_job() -> JobSpec {
    let size = Size { cpu_milli: 1_000, memory_mb: 500, accelerators: 0 };
    let step = Step { count: 1, size, estimate: Duration::from_millis(100), ..Step::default() };
    JobSpec { payload: CRASHING_TEXT.into(), steps: vec![step], schedule: None }
}
