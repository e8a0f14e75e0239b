//! Executors, as PROTOCOL.md has them under "Running work units".

use std::collections::BTreeMap;

use crate::json::{Json, object};

/// The largest number of ends in one response.
const ENDS_AT_A_TIME: usize = 500;
/// The longest lease, in milliseconds (`hold_max_ms`).
const LONGEST_LEASE_MS: u64 = 10_000;

/// What a work unit needs and how long it works.
#[derive(Clone, Copy, Debug)]
pub struct Unit {
    pub cpu: u64,
    pub mem_mb: u64,
    pub work_ms: u64,
}

/// A run of a work unit, for the judgement. Times are in milliseconds since the world began.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub began: u64,
    pub ended: Option<(u64, &'static str)>,
    /// When `last_seen` reached the end.
    pub noted: Option<u64>,
    /// Whether the executor's lease lapsed between the end and that.
    pub lapsed_between: bool,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    ends: u64,
    unit: Unit,
    record: usize,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    record: usize,
}

/// One life of a machine.
#[derive(Debug)]
pub struct Executor {
    pub id: String,
    clock_offset: u64,
    cpu: u64,
    mem_mb: u64,
    token: u64,
    /// By the world's clock.
    lease_until: u64,
    lapses: Vec<u64>,
    active: BTreeMap<String, Run>,
    barred: BTreeMap<String, u64>,
    ended: Vec<End>,
    ends: u64,
}

impl Executor {
    pub fn new(id: String, clock_offset: u64, cpu: u64, mem_mb: u64) -> Self {
        Self {
            id,
            clock_offset,
            cpu,
            mem_mb,
            token: 0,
            lease_until: 0,
            lapses: Vec::new(),
            active: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
        }
    }

    /// Lets everything happen that is due at `now`.
    pub fn advance(&mut self, now: u64, records: &mut [RunRecord]) {
        let lease = self.lease_until;
        let due = self.active.iter().filter(|(_, run)| run.ends.min(lease) <= now);
        let mut due: Vec<(u64, String)> =
            due.map(|(task, run)| (run.ends.min(lease), task.clone())).collect();
        due.sort();
        for (at, task) in due {
            let how = if self.active[&task].ends <= lease { "done" } else { "lapsed" };
            self.end(&task, at, how, records);
        }
        if lease > 0 && lease < now && self.lapses.last().is_none_or(|last| *last < lease) {
            self.lapses.push(lease);
        }
    }

    fn end(&mut self, task: &str, at: u64, how: &'static str, records: &mut [RunRecord]) {
        let Some(run) = self.active.remove(task) else { return };
        self.bar(task, run.run);
        self.ends += 1;
        let (number, record) = (self.ends, run.record);
        records[record].ended = Some((at, how));
        self.ended.push(End { number, task: task.to_owned(), run: run.run, how, record });
    }

    fn bar(&mut self, task: &str, run: u64) {
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run);
    }

    /// The life ends, with everything that runs.
    pub fn vanish(&mut self, now: u64, records: &mut [RunRecord]) {
        self.advance(now, records);
        for run in std::mem::take(&mut self.active).values() {
            records[run.record].ended = Some((now, "gone"));
        }
    }

    /// Whether a token is older than the highest one seen; a newer one is kept.
    fn is_fenced(&mut self, body: &Json) -> bool {
        let token = body.get("fencing_token").number().unwrap_or(0);
        self.token = self.token.max(token);
        token < self.token
    }

    fn extend(&mut self, now: u64, body: &Json) {
        if let Some(until) = body.get("until_ms").number() {
            let until = until.saturating_sub(self.clock_offset).min(now + LONGEST_LEASE_MS);
            self.lease_until = self.lease_until.max(until);
        }
    }

    fn answer(&self, now: u64, status: u16, reason: &str) -> (u16, String) {
        let clock = Json::from(now + self.clock_offset);
        let body = match reason {
            "" => object([("clock_ms", clock)]),
            reason => object([("clock_ms", clock), ("reason", reason.into())]),
        };
        (status, body.encode())
    }

    pub fn start(
        &mut self,
        now: u64,
        body: &Json,
        unit: Option<Unit>,
        records: &mut Vec<RunRecord>,
    ) -> (u16, String) {
        self.advance(now, records);
        if self.is_fenced(body) {
            return self.answer(now, 409, "fence");
        }
        let (task, run) = (body.get("task").text(), body.get("run_id").number().unwrap_or(0));
        let until = body.get("until_ms").number().unwrap_or(0);
        if until <= now + self.clock_offset {
            return self.answer(now, 409, "late");
        }
        self.extend(now, body);
        if self.active.get(task).is_some_and(|active| active.run == run) {
            return self.answer(now, 200, "");
        }
        if self.barred.get(task).is_some_and(|barred| run <= *barred) {
            return self.answer(now, 409, "old");
        }
        let Some(unit) = unit else { return self.answer(now, 400, "") };
        let used =
            |of: fn(&Unit) -> u64| self.active.values().map(|run| of(&run.unit)).sum::<u64>();
        let fits = used(|unit| unit.cpu) + unit.cpu <= self.cpu
            && used(|unit| unit.mem_mb) + unit.mem_mb <= self.mem_mb;
        if !fits {
            return self.answer(now, 409, "room");
        }
        let record = records.len();
        records.push(RunRecord {
            executor: self.id.clone(),
            task: task.to_owned(),
            run,
            began: now,
            ended: None,
            noted: None,
            lapsed_between: false,
        });
        let ends = now + unit.work_ms;
        self.active.insert(task.to_owned(), Run { run, ends, unit, record });
        self.answer(now, 200, "")
    }

    pub fn stop(&mut self, now: u64, body: &Json, records: &mut [RunRecord]) -> (u16, String) {
        self.advance(now, records);
        if self.is_fenced(body) {
            return self.answer(now, 409, "fence");
        }
        let (task, run) = (body.get("task").text(), body.get("run_id").number().unwrap_or(0));
        self.bar(task, run);
        if self.active.get(task).is_some_and(|active| active.run <= run) {
            self.end(task, now, "stopped", records);
        }
        self.answer(now, 200, "")
    }

    /// Takes the lease and the acknowledgement of a `hold`; an error is the response to it.
    pub fn take_hold(
        &mut self,
        now: u64,
        body: &Json,
        records: &mut [RunRecord],
    ) -> Result<(), (u16, String)> {
        self.advance(now, records);
        if self.is_fenced(body) {
            return Err(self.answer(now, 409, "fence"));
        }
        self.extend(now, body);
        let seen = body.get("last_seen").number().unwrap_or(0);
        for end in self.ended.iter().filter(|end| end.number <= seen) {
            let record = &mut records[end.record];
            let at = record.ended.map_or(now, |(at, _)| at);
            record.noted = Some(now);
            record.lapsed_between = self.lapses.iter().any(|lapse| (at..=now).contains(lapse));
        }
        self.ended.retain(|end| end.number > seen);
        Ok(())
    }

    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// The number of ends that were not taken note of.
    pub fn open_ends(&self) -> usize {
        self.ended.len()
    }

    /// Both lists.
    pub fn lists(&self, now: u64) -> (u16, String) {
        let active = self.active.iter().map(|(task, run)| {
            let worked = run.unit.work_ms - run.ends.saturating_sub(now).min(run.unit.work_ms);
            let percent = worked * 99 / run.unit.work_ms.max(1);
            let row: [Json; 5] = [
                task.as_str().into(),
                run.run.into(),
                "".into(),
                percent.into(),
                run.unit.cpu.into(),
            ];
            Json::List(row.to_vec())
        });
        let ended = self.ended.iter().take(ENDS_AT_A_TIME).map(|end| {
            let row: [Json; 5] = [
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                "".into(),
            ];
            Json::List(row.to_vec())
        });
        let body = object([
            ("clock_ms", (now + self.clock_offset).into()),
            ("active", active.collect::<Vec<Json>>().into()),
            ("ended", ended.collect::<Vec<Json>>().into()),
        ]);
        (200, body.encode())
    }

    /// The response to a call that changes nothing here.
    pub fn plain(&self, now: u64) -> (u16, String) {
        self.answer(now, 200, "")
    }
}
