//! Runs a site for a while: callers, a hold, a wave, and faults.

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use borageswitch_fakes::{faults::Faults, host::Behaviour};
use borageswitch_types::{
    fleet::{FleetChange, HostPhase, SiteConfig, WaveSettings, WaveStatus},
    names::{HostName, PoolName, WaveName},
};

use borageswitch_wire::operator::Subject;

use crate::{
    callers::{self, CallerBoard},
    faults::Fault,
    report::Report,
    site::{LocalSite, SiteError},
};

/// How often the session looks at the site.
const SAMPLE: Duration = Duration::from_millis(100);
/// How long a fault of the store lasts.
const STORE_FAULT: Duration = Duration::from_secs(2);
/// How long a wave may take beyond the session's time.
const WAVE_PATIENCE: Duration = Duration::from_secs(90);

/// What a session does.
#[derive(Clone, Debug)]
pub struct SessionOptions {
    /// The site's name, for the report.
    pub name: String,
    /// What operators declare.
    pub site: SiteConfig,
    /// How many daemons begin.
    pub daemons: usize,
    /// How long callers send requests at the least.
    pub duration: Duration,
    /// How many callers each service has.
    pub callers: usize,
    /// The hosts that the wave reboots; none means all.
    pub wave_hosts: Vec<HostName>,
    /// How long a reboot takes.
    pub boot_time: Duration,
    /// What goes wrong, one after the other.
    pub faults: Vec<Fault>,
    /// Seeds the callers.
    pub seed: u64,
}

/// Runs a session and tells what came of it; `progress` is called with a sentence now and then.
///
/// # Errors
///
/// When the site could not start, or an operator's change was refused.
pub fn run<F>(options: &SessionOptions, mut progress: F) -> Result<Report, SiteError>
where
    F: FnMut(&str),
{
    let site = LocalSite::start(options.site.clone(), options.daemons, options.boot_time)?;
    progress(&format!("{} daemons serve {} hosts", site.daemons.len(), site.config.hosts.len()));
    let board = Arc::new(CallerBoard::new(site.entries()));
    let tasks = start_callers(&site, &board, options);
    let wave = WaveName::from("session");
    let mut session =
        Session { site, board, options, wave, started: Instant::now(), report: Report::default() };
    session.begin_wave()?;
    session.watch(&mut progress)?;
    session.board.stop();
    smol::block_on(async {
        for task in tasks {
            task.await;
        }
    });
    session.finish()
}

fn start_callers(
    site: &LocalSite,
    board: &Arc<CallerBoard>,
    options: &SessionOptions,
) -> Vec<smol::Task<()>> {
    let mut tasks = Vec::new();
    let mut seed = options.seed;
    for service in site.config.services.keys() {
        for i in 0..options.callers {
            seed += 1;
            let caller = format!("{service}-caller-{i}");
            let run =
                callers::run_caller(site.ex.clone(), board.clone(), service.clone(), caller, seed);
            tasks.push(site.ex.spawn(run));
        }
    }
    tasks
}

struct Session<'a> {
    site: LocalSite,
    board: Arc<CallerBoard>,
    options: &'a SessionOptions,
    wave: WaveName,
    started: Instant,
    report: Report,
}

impl Session<'_> {
    fn begin_wave(&mut self) -> Result<(), SiteError> {
        let settings = WaveSettings {
            trial: Duration::from_millis(500),
            reboot_timeout: Duration::from_secs(30),
            ..WaveSettings::default()
        };
        let hosts = self.options.wave_hosts.clone();
        let change = FleetChange::StartWave { wave: self.wave.clone(), hosts, settings };
        self.site.change(change, "the session's wave begins")?;
        Ok(())
    }

    /// Looks at the site until callers had their time and the wave has ended.
    fn watch(&mut self, progress: &mut dyn FnMut(&str)) -> Result<(), SiteError> {
        let mut faults = self.options.faults.iter();
        let between = self.options.duration / (self.options.faults.len() as u32 + 1);
        let mut next_fault = between;
        let mut next_progress = Duration::from_secs(1);
        let mut store_back: Option<Instant> = None;
        loop {
            thread::sleep(SAMPLE);
            let elapsed = self.started.elapsed();
            self.sample();
            if store_back.is_some_and(|at| at <= Instant::now()) {
                self.site.standin.store.faults.set(Faults::default());
                store_back = None;
            }
            if store_back.is_none()
                && elapsed >= next_fault
                && let Some(fault) = faults.next()
            {
                next_fault += between;
                store_back = self.inject(*fault)?;
                progress(&format!("{:.1} s: {fault}", elapsed.as_secs_f64()));
            }
            if elapsed >= next_progress {
                next_progress += Duration::from_secs(1);
                progress(&self.progress_line());
            }
            let over =
                elapsed >= self.options.duration && faults.len() == 0 && store_back.is_none();
            let patience_over = elapsed >= self.options.duration + WAVE_PATIENCE;
            if (over && self.report.wave_seconds.is_some()) || patience_over {
                return Ok(());
            }
        }
    }

    fn progress_line(&self) -> String {
        let counts = self.board.counts();
        let refused: u64 = counts.refused.values().sum();
        let elapsed = self.started.elapsed().as_secs_f64();
        format!(
            "{elapsed:.1} s: {} answered, {refused} refused, {} of {} hosts done",
            counts.answered,
            self.report.wave_hosts,
            self.report.wave_hosts + self.pending_hosts(),
        )
    }

    fn pending_hosts(&self) -> usize {
        let fleet = self.site.fleet();
        let wave = fleet.as_ref().and_then(|fleet| fleet.waves.get(&self.wave));
        wave.map_or(0, |wave| wave.pending.len() + wave.out.len())
    }

    fn sample(&mut self) {
        self.report.peak_draw_watts =
            self.report.peak_draw_watts.max(self.site.standin.draw_watts());
        let Some(fleet) = self.site.fleet() else { return };
        let idle = fleet.hosts.values().filter(|host| {
            let spare = fleet.pools.get(&host.pool).is_some_and(|pool| pool.spare);
            spare || host.phase != HostPhase::Serving
        });
        self.report.buffer_host_seconds += idle.count() as f64 * SAMPLE.as_secs_f64();
        let moved = |(name, host): (&HostName, &borageswitch_types::fleet::Host)| {
            let began: Option<&PoolName> = self.site.config.hosts.get(name).map(|(_, pool)| pool);
            began.is_some_and(|pool| *pool != host.pool)
        };
        self.report.moves = fleet.hosts.iter().filter(|host| moved(*host)).count();
        if let Some(wave) = fleet.waves.get(&self.wave) {
            self.report.wave_hosts = wave.done.len();
            self.report.wave_failed = wave.failed.len();
            if wave.status == WaveStatus::Finished && self.report.wave_seconds.is_none() {
                self.report.wave_seconds = Some(self.started.elapsed().as_secs_f64());
            }
        }
    }

    /// Lets something go wrong; for a fault of the store, says when it is over.
    fn inject(&mut self, fault: Fault) -> Result<Option<Instant>, SiteError> {
        self.report.injected.push((self.started.elapsed().as_secs_f64(), fault.to_string()));
        let store = |faults: Faults| {
            self.site.standin.store.faults.set(faults);
            Some(Instant::now() + STORE_FAULT)
        };
        let store_back = match fault {
            Fault::StoreOutage => store(Faults { down: true, ..Faults::default() }),
            Fault::StoreLosesAnswers => store(Faults { lose_answers: true, ..Faults::default() }),
            Fault::StoreSlow => store(Faults { delay_ms: 200, ..Faults::default() }),
            Fault::StoreSilent => {
                self.site.standin.store.faults.silence_open_connections();
                None
            }
            Fault::FailingHost | Fault::SlowHost | Fault::HostCrash | Fault::SilentConnections => {
                self.inject_at_host(fault);
                None
            }
            Fault::DaemonStop | Fault::DaemonVanish => {
                self.replace_daemon(fault == Fault::DaemonVanish)?;
                None
            }
        };
        Ok(store_back)
    }

    fn inject_at_host(&self, fault: Fault) {
        let serving = |name: &&HostName| {
            let fleet = self.site.fleet();
            fleet
                .and_then(|fleet| fleet.hosts.get(*name).cloned())
                .is_some_and(|h| h.phase == HostPhase::Serving)
        };
        let Some(host) = self.site.standin.hosts.keys().find(serving) else { return };
        let Some(host) = self.site.standin.hosts.get(host) else { return };
        match fault {
            Fault::FailingHost => host.behave(Behaviour::FailAll),
            Fault::SlowHost => host.behave(Behaviour::Slow(10)),
            Fault::HostCrash => host.fail(),
            _ => host.target_faults.silence_open_connections(),
        }
    }

    /// Ends the oldest daemon and starts another one in its place, as the platform would.
    fn replace_daemon(&mut self, vanish: bool) -> Result<(), SiteError> {
        let daemon = self.site.daemons.remove(0);
        self.board.remove_entry(daemon.addresses().callers, vanish);
        let replacement = self.site.add_daemon()?;
        self.board.add_entry(replacement);
        if vanish {
            daemon.vanish();
        } else {
            daemon.stopper().stop("the session replaces a daemon");
            daemon.wait();
        }
        Ok(())
    }

    fn finish(mut self) -> Result<Report, SiteError> {
        let counts = self.board.counts();
        let standin = self.site.standin.counts();
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for host in self.site.standin.hosts.values() {
            for (id, count) in host.runs() {
                *runs.entry(id).or_default() += count;
            }
        }
        let mut report = std::mem::take(&mut self.report);
        if report.wave_seconds.is_none() {
            let lines = self.site.explain(&Subject::Wave(self.wave.clone()));
            report.wave_waits = lines.iter().map(ToString::to_string).collect();
            for dump in self.site.dumps() {
                log::warn!("the wave did not finish; the state of a daemon: {dump}");
            }
        }
        report.site = self.options.name.clone();
        report.seconds = self.started.elapsed().as_secs_f64();
        report.daemons = self.options.daemons;
        report.answered = counts.answered;
        report.failed = counts.failed;
        report.refused = counts.refused;
        report.cut = counts.cut;
        report.lost_with_entry = counts.lost_with_entry;
        report.mixed_up = counts.mixed_up;
        report.doubled = self.site.standin.doubled();
        report.false_not_run =
            counts.told_not_run.iter().filter(|id| runs.contains_key(*id)).count() as u64;
        let crashed = self.options.faults.contains(&Fault::HostCrash);
        report.cut_by_reboot = if crashed { 0 } else { standin.cut };
        report.latency_p50_ms = self.board.latency_us(0.5) as f64 / 1_000.0;
        report.latency_p99_ms = self.board.latency_us(0.99) as f64 / 1_000.0;
        report.most_in_flight = standin.most_in_flight;
        report.power_cap_watts = self.site.config.power_cap.0;
        let calls = self.site.standin.store.calls();
        report.store_calls =
            calls.into_iter().map(|(kind, count)| (kind.to_owned(), count)).collect();
        for daemon in self.site.daemons.drain(..) {
            daemon.stopper().stop("the session is over");
            daemon.wait();
        }
        Ok(report)
    }
}
