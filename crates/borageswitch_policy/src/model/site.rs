//! Simulates a plan.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use borageswitch_types::{
    Time,
    names::{DaemonName, HostName},
    slots::SlotMessage,
};

use super::{
    first_come::FirstCome,
    plan::{Engine, Plan},
    report::{GroupReport, SiteReport},
    requests::{self, Request},
    targets::SimTargets,
    views,
};
use crate::dispatch::{DispatchInput, DispatchOutput, Dispatcher, Offer, Outcome, Ticket};

/// The interval between two ticks of each entry.
const TICK: Duration = Duration::from_millis(10);
/// How long the simulation continues after the last arrival, so that every request ends.
const DRAIN_TIME: Duration = Duration::from_secs(400);

#[derive(Debug)]
enum Entry {
    Policy(Box<Dispatcher>),
    FirstCome(FirstCome),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End(usize, Ticket),
    Message(u64),
    Cancel(usize),
    Replace,
    Tick,
}

#[derive(Debug)]
struct OpenRequest {
    entry: usize,
    has_started: bool,
    has_run: bool,
    is_cancelled: bool,
    running_on: Option<(HostName, Outcome)>,
}

struct Site<'a> {
    plan: &'a Plan,
    engine: Engine,
    requests: Vec<Request>,
    names: Vec<DaemonName>,
    entries: Vec<Entry>,
    targets: SimTargets<'a>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    open: BTreeMap<Ticket, OpenRequest>,
    messages: BTreeMap<u64, (DaemonName, DaemonName, SlotMessage)>,
    report: SiteReport,
}

/// Simulates `plan` with `engine` until every request has ended.
///
/// # Panics
///
/// Panics when a request gets no final response, or two; either is a fault of the engine.
pub fn run(plan: &Plan, engine: Engine) -> SiteReport {
    let mut site = Site::new(plan, engine);
    site.schedule_events();
    while let Some(Reverse((now, _, event))) = site.events.pop() {
        site.handle_event(now, event);
    }
    assert!(site.open.is_empty(), "{} requests never ended", site.open.len());
    site.report.max_in_flight = site.targets.max_in_flight;
    site.report.overcommitted = site.targets.overcommitted;
    site.report.attempts = site.targets.attempts;
    site.report
}

impl<'a> Site<'a> {
    fn new(plan: &'a Plan, engine: Engine) -> Self {
        let names = (0..plan.entries).map(|n| DaemonName::from(format!("entry-{n}")));
        let mut site = Self {
            plan,
            engine,
            requests: requests::draw(plan),
            names: names.collect(),
            entries: Vec::new(),
            targets: SimTargets::new(plan),
            events: BinaryHeap::new(),
            sequence: 0,
            open: BTreeMap::new(),
            messages: BTreeMap::new(),
            report: SiteReport::default(),
        };
        site.entries = (0..plan.entries).map(|n| site.new_entry(n)).collect();
        site
    }

    fn new_entry(&self, n: usize) -> Entry {
        let view = views::view(self.plan, &self.names[n], &self.names);
        if self.engine == Engine::FirstCome {
            return Entry::FirstCome(FirstCome::new(view));
        }
        let seed = self.plan.seed.wrapping_mul(31).wrapping_add(n as u64);
        let mut dispatcher = Box::new(Dispatcher::new(views::service(), seed));
        let mut out = Vec::new();
        dispatcher.set_view(Time::ZERO, view, &mut out);
        assert!(out.is_empty(), "a new dispatcher has no outputs");
        Entry::Policy(dispatcher)
    }

    fn schedule_events(&mut self) {
        for n in 0..self.requests.len() {
            self.push(self.requests[n].at, Event::Arrival(n));
        }
        for (n, stream) in self.plan.streams.iter().enumerate() {
            if let Some(at) = stream.cancelled_at {
                self.push(Time::ZERO + at, Event::Cancel(n));
            }
        }
        if let Some(at) = self.plan.entry_replaced_at {
            self.push(Time::ZERO + at, Event::Replace);
        }
        self.push(Time::ZERO, Event::Tick);
    }

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrival(n) => self.arrive(now, n),
            Event::End(entry, ticket) => self.end(now, entry, ticket),
            Event::Message(id) => {
                let Some((from, to, message)) = self.messages.remove(&id) else { return };
                if let Some(entry) = self.names.iter().position(|name| *name == to) {
                    self.input(now, entry, DispatchInput::Slots(from, message));
                }
            }
            Event::Cancel(stream) => self.cancel(now, stream),
            Event::Replace => self.replace(now),
            Event::Tick => self.tick(now),
        }
    }

    fn tick(&mut self, now: Time) {
        for entry in 0..self.entries.len() {
            self.input(now, entry, DispatchInput::Tick);
        }
        let arriving = now < Time::ZERO + self.plan.length;
        if arriving || (!self.open.is_empty() && now < Time::ZERO + self.plan.length + DRAIN_TIME) {
            self.push(now + TICK, Event::Tick);
        }
    }

    fn arrive(&mut self, now: Time, n: usize) {
        let request = &self.requests[n];
        let (entry, stream) = (request.entry, &self.plan.streams[request.stream]);
        let ticket = Ticket(n as u64);
        let offer = Offer {
            ticket,
            caller: request.caller.clone(),
            priority: stream.priority,
            deadline: now + stream.deadline,
            kind: stream.kind,
            retryable: stream.retryable,
        };
        let open = OpenRequest {
            entry,
            has_started: false,
            has_run: false,
            is_cancelled: false,
            running_on: None,
        };
        self.open.insert(ticket, open);
        let after_warm_up = self.after_warm_up(ticket);
        let group = self.group(ticket);
        group.offered += 1;
        group.offered_after_warm_up += u64::from(after_warm_up);
        self.input(now, entry, DispatchInput::Offered(offer));
    }

    fn input(&mut self, now: Time, entry: usize, input: DispatchInput) {
        let mut out = Vec::new();
        match &mut self.entries[entry] {
            Entry::Policy(dispatcher) => dispatcher.handle(now, input, &mut out),
            Entry::FirstCome(first_come) => first_come.handle(now, input, &mut out),
        }
        self.carry_out(now, entry, out);
    }

    fn carry_out(&mut self, now: Time, entry: usize, out: Vec<DispatchOutput>) {
        for output in out {
            match output {
                DispatchOutput::Start { ticket, host, .. } => self.start(now, ticket, host),
                DispatchOutput::Refuse { ticket, kind, .. } => {
                    let open = self.open.remove(&ticket).expect("a refused request is open");
                    assert!(open.running_on.is_none(), "{ticket} was refused while it ran");
                    let after = now.since(self.requests[ticket.0 as usize].at);
                    let after_warm_up = self.after_warm_up(ticket);
                    let group = self.group(ticket);
                    if open.has_started {
                        group.failed += 1;
                        group.failed_after_warm_up += u64::from(after_warm_up);
                    }
                    group.refuse(kind, after, open.has_run);
                }
                DispatchOutput::SendSlots(to, message) => self.send(now, entry, to, message),
            }
        }
    }

    fn send(&mut self, now: Time, from: usize, to: DaemonName, message: SlotMessage) {
        if self.engine == Engine::PolicyWithoutLoans {
            return;
        }
        self.report.messages += 1;
        let id = self.report.messages;
        self.messages.insert(id, (self.names[from].clone(), to, message));
        self.push(now + self.plan.message_delay, Event::Message(id));
    }

    fn start(&mut self, now: Time, ticket: Ticket, host: HostName) {
        let run_time = self.requests[ticket.0 as usize].run_time;
        let simulated = self.targets.start(now, &host, run_time);
        let open = self.open.get_mut(&ticket).expect("a started request is open");
        assert!(open.running_on.is_none(), "{ticket} was started while it ran");
        let is_first = !open.has_started;
        open.has_started = true;
        open.has_run |= simulated.began;
        open.running_on = Some((host, simulated.outcome));
        let entry = open.entry;
        self.push(now + simulated.after, Event::End(entry, ticket));
        if is_first && self.after_warm_up(ticket) {
            let waited = now.since(self.requests[ticket.0 as usize].at);
            self.group(ticket).waits.saturating_record(waited.as_micros() as u64);
        }
    }

    fn end(&mut self, now: Time, entry: usize, ticket: Ticket) {
        let open = self.open.get_mut(&ticket).expect("a request that ends is open");
        let (host, outcome) = open.running_on.take().expect("a request that ends was started");
        let is_cancelled = open.is_cancelled;
        self.targets.end(&host);
        if is_cancelled {
            self.open.remove(&ticket);
            self.input(now, entry, DispatchInput::Finished(ticket, Outcome::Abandoned));
            return;
        }
        if let Outcome::Answered { status } = outcome {
            self.open.remove(&ticket);
            self.count_answer(now, ticket, status);
        }
        self.input(now, entry, DispatchInput::Finished(ticket, outcome));
    }

    fn count_answer(&mut self, now: Time, ticket: Ticket, status: u16) {
        let request = &self.requests[ticket.0 as usize];
        let took = now.since(request.at);
        let in_time = took <= self.plan.streams[request.stream].deadline;
        let after_warm_up = self.after_warm_up(ticket);
        let group = self.group(ticket);
        if status >= 500 {
            group.failed += 1;
            group.failed_after_warm_up += u64::from(after_warm_up);
            return;
        }
        if after_warm_up {
            group.responses.saturating_record(took.as_micros() as u64);
            group.good_after_warm_up += u64::from(in_time);
        }
        if in_time {
            group.good += 1;
            self.report.count_good(now);
        } else {
            group.late += 1;
        }
    }

    /// Makes all callers of a stream disconnect at once.
    fn cancel(&mut self, now: Time, stream: usize) {
        let of_stream = |ticket: &&Ticket| self.requests[ticket.0 as usize].stream == stream;
        let tickets: Vec<Ticket> = self.open.keys().filter(of_stream).copied().collect();
        for ticket in tickets {
            let Some(open) = self.open.get_mut(&ticket) else { continue };
            open.is_cancelled = true;
            let (entry, is_running) = (open.entry, open.running_on.is_some());
            if !is_running {
                self.open.remove(&ticket);
            }
            self.group(ticket).cancelled += 1;
            self.input(now, entry, DispatchInput::Cancelled(ticket));
        }
    }

    /// Replaces the last entry by a new one once it is idle; every entry gets the new view at the
    /// same moment.
    fn replace(&mut self, now: Time) {
        let last = self.names.len() - 1;
        if self.open.values().any(|open| open.entry == last) {
            self.push(now + TICK, Event::Replace);
            return;
        }
        self.report.replaced_at = Some(now.since(Time::ZERO));
        self.names[last] = DaemonName::from(format!("entry-{last}-new"));
        self.entries[last] = self.new_entry(last);
        for n in 0..last {
            let view = views::view(self.plan, &self.names[n], &self.names);
            let mut out = Vec::new();
            if let Entry::Policy(dispatcher) = &mut self.entries[n] {
                dispatcher.set_view(now, view, &mut out);
            }
            self.carry_out(now, n, out);
        }
    }

    fn group(&mut self, ticket: Ticket) -> &mut GroupReport {
        let stream = self.requests[ticket.0 as usize].stream;
        self.report.groups.entry(self.plan.streams[stream].group).or_default()
    }

    fn after_warm_up(&self, ticket: Ticket) -> bool {
        self.requests[ticket.0 as usize].at >= Time::ZERO + self.plan.warm_up
    }
}
