//! What came of a session, and whether a promise broke.

use std::{collections::BTreeMap, fmt};

/// What came of a session.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Report {
    /// The site.
    pub site: String,
    /// How long callers sent requests, in seconds.
    pub seconds: f64,
    /// How many daemons began.
    pub daemons: usize,
    /// Right answers.
    pub answered: u64,
    /// Answers in which a target said that it had failed.
    pub failed: u64,
    /// Answers of our own, by error kind.
    pub refused: BTreeMap<String, u64>,
    /// Requests whose exchange ended without a whole answer, at an entry that did not vanish.
    pub cut: u64,
    /// Requests lost with an entry that vanished without a word.
    pub lost_with_entry: u64,
    /// Answers that belonged to another request, or were not whole.
    pub mixed_up: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Non-idempotent requests that were told "not run" and ran.
    pub false_not_run: u64,
    /// Requests in flight on a host when it was rebooted by the wave.
    pub cut_by_reboot: u64,
    /// Median latency of right answers, in milliseconds.
    pub latency_p50_ms: f64,
    /// 99th percentile of the latency of right answers, in milliseconds.
    pub latency_p99_ms: f64,
    /// The most requests that one target had in flight.
    pub most_in_flight: u32,
    /// Hosts that the wave rebooted.
    pub wave_hosts: usize,
    /// Hosts that the wave wrote off.
    pub wave_failed: usize,
    /// How long the wave took, in seconds; nothing if it did not end.
    pub wave_seconds: Option<f64>,
    /// Why the wave waits, if it did not end.
    pub wave_waits: Vec<String>,
    /// Host-seconds during which hosts were out of service or idle as spares.
    pub buffer_host_seconds: f64,
    /// Hosts that changed pool.
    pub moves: usize,
    /// The highest draw seen, in watts.
    pub peak_draw_watts: u64,
    /// The power cap, in watts.
    pub power_cap_watts: u64,
    /// Calls that the store carried out, by kind.
    pub store_calls: BTreeMap<String, u64>,
    /// What was made to go wrong, and when, in seconds from the start.
    pub injected: Vec<(f64, String)>,
}

impl Report {
    /// The promises that broke, one sentence each.
    pub fn broken(&self) -> Vec<String> {
        let counts = [
            (self.cut, "requests were cut"),
            (self.mixed_up, "answers were mixed up or not whole"),
            (self.doubled, "non-idempotent requests ran twice"),
            (self.false_not_run, "requests that ran were told \"not run\""),
            (self.cut_by_reboot, "requests were in flight on a host that was rebooted"),
        ];
        let mut broken: Vec<String> = counts
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, what)| format!("{count} {what}"))
            .collect();
        if self.peak_draw_watts > self.power_cap_watts {
            broken.push(format!(
                "{} W were drawn under a cap of {} W",
                self.peak_draw_watts, self.power_cap_watts
            ));
        }
        if self.answered == 0 {
            broken.push("no request was answered".to_owned());
        }
        if self.wave_seconds.is_none() {
            broken.push("the wave did not finish".to_owned());
        }
        broken
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "site                {} ({} daemons, {:.1} s)",
            self.site, self.daemons, self.seconds
        )?;
        writeln!(f, "answered            {}", self.answered)?;
        writeln!(f, "failed by a target  {}", self.failed)?;
        writeln!(f, "refused             {:?}", self.refused)?;
        writeln!(f, "cut                 {}", self.cut)?;
        writeln!(f, "lost with an entry  {}", self.lost_with_entry)?;
        writeln!(f, "mixed up            {}", self.mixed_up)?;
        writeln!(f, "doubled             {}", self.doubled)?;
        writeln!(f, "false \"not run\"     {}", self.false_not_run)?;
        writeln!(f, "cut by a reboot     {}", self.cut_by_reboot)?;
        writeln!(
            f,
            "latency             p50 {:.2} ms, p99 {:.2} ms",
            self.latency_p50_ms, self.latency_p99_ms
        )?;
        writeln!(f, "most in flight      {} at one target", self.most_in_flight)?;
        let took = self
            .wave_seconds
            .map_or("did not finish".to_owned(), |seconds| format!("{seconds:.2} s"));
        writeln!(
            f,
            "wave                {} hosts, {} written off, {took}",
            self.wave_hosts, self.wave_failed
        )?;
        for line in &self.wave_waits {
            writeln!(f, "                    {line}")?;
        }
        writeln!(f, "buffer cost         {:.1} host-seconds", self.buffer_host_seconds)?;
        writeln!(f, "moves               {}", self.moves)?;
        writeln!(
            f,
            "peak draw           {} W under a cap of {} W",
            self.peak_draw_watts, self.power_cap_watts
        )?;
        writeln!(f, "store calls         {:?}", self.store_calls)?;
        for (at, what) in &self.injected {
            writeln!(f, "injected            {at:.1} s: {what}")?;
        }
        match self.broken().as_slice() {
            [] => writeln!(f, "every promise was kept"),
            broken => writeln!(f, "BROKEN: {}", broken.join("; ")),
        }
    }
}
