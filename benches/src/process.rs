//! What the operating system says of this process.

use std::fs;

const PAGE: u64 = 4_096;
/// Clock ticks a second in `/proc`, as Linux fixes them for user space.
const TICKS: f64 = 100.0;

/// Resident memory in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Processor seconds used so far by this process's threads of a name, all together.
pub(crate) fn thread_seconds(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let seconds = tasks.flatten().filter_map(|task| {
        let comm = fs::read_to_string(task.path().join("comm")).ok()?;
        if comm.trim() != name {
            return None;
        }
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let after_name = stat.rsplit_once(')')?.1;
        let mut fields = after_name.split_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some((user + system) / TICKS)
    });
    seconds.sum()
}
