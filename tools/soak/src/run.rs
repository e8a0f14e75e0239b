//! One seed from start to verdict.

use std::{
    collections::BTreeMap,
    fmt, fs, io,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use borageswitch_fakes::serve::Runner;
use borageswitch_platform_standin::operator;
use borageswitch_types::names::JobName;
use smol::{Executor, Timer};

use crate::{
    callers::{Callers, Fate},
    faults,
    folder::Folder,
    plan::{self, Planned, Shape, Size},
    promises::{self, Seen},
    site::{self, Site},
};

/// How many callers hand jobs in at the same time.
const CALLERS: u64 = 6;
/// How long it may take until all is done after the last fault: an executor that nobody can reach
/// is waited for some 10 s, and machines may be busy.
const PATIENCE: Duration = Duration::from_secs(90);
/// How often it is looked whether all is done.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// What a run is asked for.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of a daemon.
    pub program: PathBuf,
    /// Where settings and logs go; a folder for each seed and shape.
    pub dir: PathBuf,
    /// How large it is.
    pub size: Size,
    /// Which faults it has.
    pub shape: Shape,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// How many faults there were.
    pub faults: usize,
    /// How many jobs were handed in, accepted, refused each time, and left unsettled.
    pub jobs: [usize; 4],
    /// How many runs executors have had.
    pub runs: usize,
    /// How long it took.
    pub took: Duration,
    /// Every promise that was broken.
    pub broken: Vec<String>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [all, accepted, refused, unsettled] = self.jobs;
        write!(
            f,
            "seed {}: {} faults; {all} jobs, {accepted} accepted, {refused} refused, {unsettled} \
             unsettled; {} runs; {:.1} s; {} broken",
            self.seed,
            self.faults,
            self.runs,
            self.took.as_secs_f64(),
            self.broken.len()
        )
    }
}

/// Runs one seed.
///
/// # Errors
///
/// When the site cannot be put together.
pub fn run(options: &Options, seed: u64) -> io::Result<Verdict> {
    let began = Instant::now();
    let folder = Folder::claim(&options.dir, options.shape, seed)?;
    let dir = folder.path();
    let ex: Runner = Arc::new(Executor::new());
    let size = options.size;
    let site = Arc::new(Site::new(&ex, &options.program, dir, size.daemons, size.hosts)?);
    for daemon in &site.daemons {
        daemon.start()?;
    }
    let planned = plan::draw(seed, &size, options.shape);
    let text: Vec<String> = planned.iter().map(line).collect();
    fs::write(dir.join("plan.txt"), text.join("\n"))?;
    let callers = Arc::new(Callers::new(site.clone(), ex.clone()));
    let mut broken = smol::block_on(ex.run(play(&ex, &site, &callers, size, &planned, seed)));
    // Processes end before anything is judged, also where something is wrong.
    site.daemons.iter().for_each(crate::process::Daemon::kill);
    let (fates, runs) = (callers.fates(), site.platform.runs());
    broken.extend(promises::broken(&Seen { fates: &fates, runs: &runs }));
    broken.extend(site.daemons.iter().flat_map(crate::process::Daemon::unexpected));
    let listing: Vec<String> = runs.iter().map(|run| format!("{run:?}")).collect();
    fs::write(dir.join("runs.txt"), listing.join("\n"))?;
    fs::write(dir.join("broken.txt"), broken.join("\n"))?;
    let count = |wanted: &dyn Fn(&Fate) -> bool| fates.values().filter(|f| wanted(f)).count();
    let (accepted, refused) = (count(&Fate::is_accepted), count(&Fate::is_refused));
    Ok(Verdict {
        seed,
        faults: planned.len(),
        jobs: [fates.len(), accepted, refused, fates.len() - accepted - refused],
        runs: runs.len(),
        took: began.elapsed(),
        broken,
    })
}

fn line(planned: &Planned) -> String {
    let (at, lasts) = (planned.at.as_secs_f64(), planned.lasts.as_secs_f64());
    format!("{at:.2} s, for {lasts:.2} s: {}", planned.fault)
}

async fn play(
    ex: &Runner,
    site: &Arc<Site>,
    callers: &Arc<Callers>,
    size: Size,
    planned: &[Planned],
    seed: u64,
) -> Vec<String> {
    let mut calling = vec![
        ex.spawn(callers.clone().hand_in_special(seed)),
        ex.spawn(callers.clone().watch_lasting(seed)),
    ];
    calling
        .extend((0..CALLERS).map(|number| ex.spawn(callers.clone().call(seed * CALLERS + number))));
    let carrying: Vec<_> = planned
        .iter()
        .map(|planned| ex.spawn(faults::carry_out(site.clone(), size, *planned)))
        .collect();
    Timer::after(size.faults_for).await;
    let mut broken = Vec::new();
    for fault in carrying {
        broken.extend(fault.await.broken);
    }
    faults::heal(site);
    callers.stop();
    for caller in calling {
        caller.await;
    }
    broken.extend(settle(site, callers, seed).await);
    broken
}

/// Waits until all that was promised has come, and tells what has not.
async fn settle(site: &Site, callers: &Callers, seed: u64) -> Vec<String> {
    let until = Instant::now() + PATIENCE;
    let mut rng = fastrand::Rng::with_seed(seed);
    loop {
        let mut open = open_jobs(callers, &mut rng).await;
        open.extend(open_waves(site));
        open.extend(stale_daemons(site, callers).await);
        let (fates, runs) = (callers.fates(), site.platform.runs());
        open.extend(promises::idle_lasting(&Seen { fates: &fates, runs: &runs }));
        if open.is_empty() {
            return wave_promises(site);
        }
        if Instant::now() >= until {
            open.extend(wave_promises(site));
            return open;
        }
        Timer::after(LOOK_AGAIN).await;
    }
}

/// Jobs that are accepted and have not come to their end.
async fn open_jobs(callers: &Callers, rng: &mut fastrand::Rng) -> Vec<String> {
    let fates: BTreeMap<JobName, Fate> = callers.fates();
    let mut open = Vec::new();
    for (job, fate) in fates.iter().filter(|(_, fate)| fate.is_accepted()) {
        let is_over = |state: &str| matches!(state, "completed" | "failed" | "cancelled");
        if fate.state.as_deref().is_some_and(is_over) {
            continue;
        }
        let state = callers.look(rng, job).await;
        let lasts =
            fate.is_lasting() && !fate.cancelling && state.as_deref() == Some("in_progress");
        if !state.as_deref().is_some_and(is_over) && !lasts {
            open.push(format!("job {job} is shown as {state:?} at the end"));
        }
    }
    open
}

/// Waves that are not reported as completed.
fn open_waves(site: &Site) -> Vec<String> {
    let last = site.waves.load(std::sync::atomic::Ordering::SeqCst);
    let open = (1..=last).filter(|wave| !is_completed(site, *wave));
    open.map(|wave| format!("wave {wave} is not completed")).collect()
}

fn is_completed(site: &Site, wave: u64) -> bool {
    let report = site.platform.get(&operator::wave_report_key(wave));
    report.is_some_and(|item| operator::is_completed(&item.value))
}

/// Daemons that do not answer by the newest configuration.
async fn stale_daemons(site: &Site, callers: &Callers) -> Vec<String> {
    let config = site.config();
    let mut stale = Vec::new();
    for daemon in &site.daemons {
        let Some(listens) = daemon.listens() else {
            stale.push(format!("{} does not run", daemon.name));
            continue;
        };
        for queue in config.queues.values() {
            match callers.status_at(listens.callers, &queue.prefix).await {
                Some(200) => {}
                status => stale.push(format!("{}: {} gives {status:?}", daemon.name, queue.name)),
            }
        }
    }
    stale
}

fn wave_promises(site: &Site) -> Vec<String> {
    let mut broken = Vec::new();
    let most = site.platform.most_in_maintenance();
    let waves = site.waves.load(std::sync::atomic::Ordering::SeqCst);
    if most > faults::WAVE_MOST as usize {
        broken.push(format!("{most} hosts of one wave were down for it at once"));
    }
    for wave in (1..=waves).filter(|wave| is_completed(site, *wave)) {
        let due = (0..site.host_links.len()).skip(wave as usize % 2).step_by(2);
        let missed = due.map(site::host_name).find(|h| !site.platform.was_maintained(h, wave));
        broken.extend(missed.map(|host| format!("wave {wave} is completed without {host}")));
    }
    broken
}
