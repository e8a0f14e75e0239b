//! Writes results as tables for people or as JSON for programs.

use std::io::{self, Write};

use borageswitch_types::{
    Fleet,
    fleet::{HostPhase, HostPower, LeaveReason, Revision, WaveStatus},
    names::OperationId,
};
use serde_json::{Value, json};

use crate::ctl::action::{Format, Listing};

/// Rows under headings. A cell is a text, a number or a flag, so that programs need not read
/// numbers out of texts.
struct Table {
    heads: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

impl Table {
    fn write<O>(&self, out: &mut O) -> io::Result<()>
    where
        O: Write,
    {
        let heads = self.heads.iter().map(|head| (*head).to_owned()).collect();
        let rows = self.rows.iter().map(|row| row.iter().map(shown).collect());
        let rows: Vec<Vec<String>> = std::iter::once(heads).chain(rows).collect();
        let widths: Vec<usize> = (0..self.heads.len())
            .map(|column| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0))
            .collect();
        for row in &rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
            writeln!(out, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }

    fn json(&self) -> Value {
        let keys: Vec<String> =
            self.heads.iter().map(|head| head.to_lowercase().replace(' ', "_")).collect();
        let rows = self.rows.iter().map(|row| {
            let cells = keys.iter().cloned().zip(row.iter().cloned());
            Value::Object(cells.collect())
        });
        Value::Array(rows.collect())
    }
}

fn shown(cell: &Value) -> String {
    match cell {
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        cell => cell.to_string(),
    }
}

/// A change was accepted.
pub(super) fn accepted<O>(
    out: &mut O,
    format: Format,
    operation: &OperationId,
    revision: Revision,
) -> io::Result<()>
where
    O: Write,
{
    match format {
        Format::Table => writeln!(out, "accepted as revision {revision}"),
        Format::Json => {
            let value = json!({ "operation_id": operation.as_str(), "revision": revision.0 });
            writeln!(out, "{value}")
        }
    }
}

/// A revision is in force everywhere.
pub(super) fn in_force<O>(out: &mut O, format: Format, revision: Revision) -> io::Result<()>
where
    O: Write,
{
    match format {
        Format::Table => writeln!(out, "revision {revision} is in force everywhere"),
        Format::Json => writeln!(out, "{}", json!({ "in_force": revision.0, "lagging": [] })),
    }
}

/// A JSON document, indented for people; one that is none is written as it is.
pub(super) fn document<O>(out: &mut O, json: &str) -> io::Result<()>
where
    O: Write,
{
    match serde_json::from_str::<Value>(json) {
        Ok(value) => writeln!(out, "{value:#}"),
        Err(_) => writeln!(out, "{json}"),
    }
}

/// Sentences, one a line.
pub(super) fn lines<O>(out: &mut O, format: Format, lines: &[String]) -> io::Result<()>
where
    O: Write,
{
    match format {
        Format::Table => lines.iter().try_for_each(|line| writeln!(out, "{line}")),
        Format::Json => writeln!(out, "{}", json!({ "lines": lines })),
    }
}

/// A part of the fleet.
pub(super) fn listing<O>(
    out: &mut O,
    format: Format,
    fleet: &Fleet,
    listing: &Listing,
) -> io::Result<()>
where
    O: Write,
{
    let table = match listing {
        Listing::Fleet => summary(fleet),
        Listing::Pools => pools(fleet),
        Listing::Services => services(fleet),
        Listing::Hosts(pool) => {
            let mut table = hosts(fleet);
            table.rows.retain(|row| pool.as_ref().is_none_or(|pool| row[1] == pool.as_str()));
            table
        }
        Listing::Teams => teams(fleet),
        Listing::Waves => waves(fleet),
    };
    match format {
        Format::Table => table.write(out),
        Format::Json => writeln!(out, "{:#}", table.json()),
    }
}

fn summary(fleet: &Fleet) -> Table {
    let facts = [
        ("region", json!(fleet.region)),
        ("revision", json!(fleet.revision)),
        ("entries expected", json!(fleet.entries_expected)),
        ("power cap", json!(fleet.power_cap.to_string())),
        ("power reserved", json!(fleet.reserved_power().to_string())),
        ("hosts", json!(fleet.hosts.len())),
        ("pools", json!(fleet.pools.len())),
        ("services", json!(fleet.services.len())),
        ("teams", json!(fleet.teams.len())),
        ("waves", json!(fleet.waves.len())),
    ];
    let rows = facts.map(|(fact, value)| vec![json!(fact), value]);
    Table { heads: vec!["FACT", "VALUE"], rows: rows.to_vec() }
}

fn pools(fleet: &Fleet) -> Table {
    let rows = fleet.pools.iter().map(|(name, pool)| {
        let serving = fleet.hosts_in(name).filter(|(_, host)| host.gives_capacity()).count();
        let hosts = fleet.hosts_in(name).count();
        vec![
            json!(name),
            json!(pool.wanted_hosts),
            json!(hosts),
            json!(serving),
            json!(pool.spare),
            json!(pool.priority),
        ]
    });
    let heads = vec!["POOL", "WANTED", "HOSTS", "SERVING", "SPARE", "PRIORITY"];
    Table { heads, rows: rows.collect() }
}

fn services(fleet: &Fleet) -> Table {
    let rows = fleet.services.iter().map(|(name, service)| {
        vec![
            json!(name),
            json!(service.pool),
            json!(service.promised_slots),
            json!(service.survives),
            json!(format!("{:?}", service.limits.default_deadline)),
            json!(service.limits.queue_len),
        ]
    });
    let heads = vec!["SERVICE", "POOL", "PROMISED SLOTS", "SURVIVES", "DEADLINE", "QUEUE"];
    Table { heads, rows: rows.collect() }
}

fn hosts(fleet: &Fleet) -> Table {
    let rows = fleet.hosts.iter().map(|(name, host)| {
        vec![
            json!(name),
            json!(host.pool),
            json!(host.spec.data_centre),
            json!(host.spec.rack),
            json!(phase(&host.phase)),
            json!(power(&host.power)),
            json!(host.reserved_power().to_string()),
        ]
    });
    let heads = vec!["HOST", "POOL", "DATA CENTRE", "RACK", "PHASE", "POWER", "RESERVED"];
    Table { heads, rows: rows.collect() }
}

fn phase(phase: &HostPhase) -> String {
    match phase {
        HostPhase::Serving => "serving".to_owned(),
        HostPhase::Leaving { why } => match why {
            LeaveReason::Move { to } => format!("leaving for pool {to}"),
            LeaveReason::Wave { wave } => format!("leaving for wave {wave}"),
            LeaveReason::Hold { reason } => format!("leaving to be held: {reason}"),
            LeaveReason::Power => "leaving for want of power".to_owned(),
        },
        HostPhase::Rebooting { wave, .. } => format!("rebooting for wave {wave}"),
        HostPhase::Trial { wave } => format!("on trial after wave {wave}"),
        HostPhase::Held { reason } => format!("held: {reason}"),
        HostPhase::Failed { reason } => format!("failed: {reason}"),
        HostPhase::Parked => "parked for want of power".to_owned(),
        HostPhase::Starting { .. } => "starting".to_owned(),
    }
}

fn power(power: &HostPower) -> &'static str {
    match power {
        HostPower::Full => "full",
        HostPower::Throttling { .. } => "throttling",
        HostPower::Throttled => "throttled",
        HostPower::Lifting { .. } => "lifting",
        HostPower::SwitchingOff { .. } => "switching off",
        HostPower::Off => "off",
        HostPower::Surging => "surging",
    }
}

fn teams(fleet: &Fleet) -> Table {
    let rows = fleet.teams.iter().map(|(name, team)| {
        let callers = fleet.callers.values().filter(|known| *known == name).count();
        vec![json!(name), json!(team.weight), json!(team.slot_quota), json!(callers)]
    });
    Table { heads: vec!["TEAM", "WEIGHT", "SLOT QUOTA", "CALLERS"], rows: rows.collect() }
}

fn waves(fleet: &Fleet) -> Table {
    let rows = fleet.waves.iter().map(|(name, wave)| {
        vec![
            json!(name),
            json!(status(&wave.status)),
            json!(wave.pending.len()),
            json!(wave.out.len()),
            json!(wave.done.len()),
            json!(wave.failed.len()),
            json!(wave.skipped.len()),
        ]
    });
    let heads = vec!["WAVE", "STATUS", "PENDING", "OUT", "DONE", "FAILED", "SKIPPED"];
    Table { heads, rows: rows.collect() }
}

fn status(status: &WaveStatus) -> String {
    match status {
        WaveStatus::Running => "running".to_owned(),
        WaveStatus::Paused => "paused".to_owned(),
        WaveStatus::Halted { reason } => format!("halted: {reason}"),
        WaveStatus::Aborting => "aborting".to_owned(),
        WaveStatus::Finished => "finished".to_owned(),
    }
}
