//! The control thread: it runs the scheduler while this daemon leads.
//!
//! The scheduler decides once per batch: all queued messages are handled first, so that a burst of
//! ended runs costs one decision and not hundreds.

mod admission;
mod cancels;
mod decision_interval;
mod load_account;
mod message;
mod overview;
mod slow_decisions;

use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use borageswitch_scheduler::{
    config::Config,
    effect::Effect,
    event::Event,
    executor::Registration,
    policy::manual_limits::ManualLimits,
    reducer::{Limits, Scheduler},
};
use borageswitch_types::names::JobName;
use futures_lite::future;
use smol::Timer;

use crate::{
    cancel_marks::CancelMark,
    clock,
    control::{
        load_account::{LoadAccount, Part},
        slow_decisions::SlowDecisionLog,
    },
    election::Term,
    instruments::Instruments,
    manual_limits::LimitChange,
    peers::{PeerRequest, PeerResponse},
    takeover::RecoveredState,
};

pub use self::message::{Message, PendingEffect};

/// How often the scheduler decides without any message, as timers may be due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The most messages that are handled before the scheduler decides.
const MAX_BATCH: usize = 512;

struct LeaderState {
    token: u64,
    scheduler: Scheduler,
    ended: Sender<&'static str>,
    stored_cancels: cancels::StoredCancels,
    waiting_cancels: cancels::WaitingCancels,
    manual_limits: ManualLimits,
    refusals: overview::Refusals,
}

/// The state of the control thread.
pub struct Control {
    limits: Limits,
    messages: Receiver<Message>,
    effects: Sender<PendingEffect>,
    instruments: Arc<Instruments>,
    config: Option<Arc<Config>>,
    leading: Option<LeaderState>,
    slow_decisions: SlowDecisionLog,
    load: LoadAccount,
}

impl Control {
    /// Creates the state of a control thread that does not lead yet.
    pub fn new(
        limits: Limits,
        messages: Receiver<Message>,
        effects: Sender<PendingEffect>,
        instruments: Arc<Instruments>,
    ) -> Self {
        Self {
            limits,
            messages,
            effects,
            load: LoadAccount::new(instruments.clone()),
            instruments,
            config: None,
            leading: None,
            slow_decisions: SlowDecisionLog::default(),
        }
    }

    /// Runs until the message queue is closed.
    pub async fn run(mut self) {
        let mut next_tick = Instant::now();
        let mut last_decision = next_tick;
        while let Some(message) = self.next(&mut next_tick).await {
            if self.leading.is_some() {
                // Blocking is fine: nothing else runs on this thread.
                thread::sleep(decision_interval::delay(last_decision.elapsed()));
            }
            last_decision = Instant::now();
            self.load.begin();
            if let Some(message) = message {
                self.handle_message(message);
            }
            let mut batched = 0;
            while batched < MAX_BATCH {
                let Ok(message) = self.messages.try_recv() else { break };
                self.handle_message(message);
                batched += 1;
            }
            self.load.charge(Part::Messages);
            self.decide();
            if self.leading.is_some() {
                let (took, waiting) = (last_decision.elapsed(), self.messages.len());
                self.slow_decisions.warn_if_slow(took, batched, waiting);
                self.load.end(took, batched, waiting);
            }
        }
    }

    /// The next message: `Some(None)` is a tick, `None` the end of the queue.
    async fn next(&mut self, next_tick: &mut Instant) -> Option<Option<Message>> {
        if self.leading.is_none() {
            return self.messages.recv().await.ok().map(Some);
        }
        let due = *next_tick;
        if due <= Instant::now() {
            *next_tick = Instant::now() + TICK_INTERVAL;
            return Some(None);
        }
        let received = async { self.messages.recv().await.ok().map(Some) };
        let tick = async {
            Timer::at(due).await;
            Some(None)
        };
        future::or(received, tick).await
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::BeginTerm { term, recovered, executors, ended } => {
                self.begin_term(term, *recovered, executors, ended);
            }
            Message::EndTerm { token } => {
                if self.leading.as_ref().is_some_and(|leading| leading.token == token) {
                    self.leading = None;
                    self.instruments.set_leading(false);
                }
            }
            Message::Deposed { token } => {
                if let Some(leading) = self.leading.take_if(|leading| leading.token == token) {
                    let _ = leading.ended.try_send("another daemon leads");
                }
            }
            Message::Event { token, event } => self.handle_event(token, event),
            Message::CancelStored { token, job, mark } => {
                if let Some(leading) = self.leading.as_mut().filter(|l| l.token == token) {
                    let now = clock::now();
                    leading.stored_cancels.insert(job.clone(), mark, now.time);
                    cancels::apply(&mut leading.scheduler, &leading.stored_cancels, now, &job);
                }
            }
            Message::ManualLimits { token, change } => {
                if let Some(leading) = self.leading.as_mut().filter(|l| l.token == token) {
                    admission::change_limits(&mut leading.manual_limits, change);
                }
            }
            Message::Configured(config) => {
                self.config = Some(config.clone());
                if let Some(leading) = &mut self.leading {
                    leading.scheduler.handle(clock::now(), Event::Configured(config));
                }
            }
            Message::Request { request, response } => self.handle_request(request, response),
        }
    }

    fn begin_term(
        &mut self,
        term: Term,
        recovered: RecoveredState,
        executors: Vec<Registration>,
        ended: Sender<&'static str>,
    ) {
        let Some(config) = self.config.clone() else {
            let _ = ended.try_send("no configuration is known");
            return;
        };
        let now = clock::now();
        let next_append = recovered.next_append;
        let mut scheduler = Scheduler::recover(
            self.limits.clone(),
            now,
            recovered.ledger,
            next_append,
            config,
            executors,
        );
        for submission in recovered.stale {
            scheduler.handle(now, Event::Submitted(submission));
        }
        let cancelled: Vec<JobName> = recovered.cancelled.iter().map(|(j, _)| j.clone()).collect();
        let stored_cancels = cancels::StoredCancels::new(recovered.cancelled, now.time);
        for job in &cancelled {
            cancels::apply(&mut scheduler, &stored_cancels, now, job);
        }
        self.instruments.set_leading(true);
        let mut manual_limits = ManualLimits::default();
        let stored = LimitChange::Listed(recovered.manual_limits);
        admission::change_limits(&mut manual_limits, stored);
        self.leading = Some(LeaderState {
            manual_limits,
            refusals: overview::Refusals::default(),
            token: term.token,
            scheduler,
            ended,
            stored_cancels,
            waiting_cancels: BTreeMap::new(),
        });
    }

    fn handle_event(&mut self, token: u64, event: Event) {
        let Some(leading) = self.leading.as_mut().filter(|leading| leading.token == token) else {
            return;
        };
        let appended =
            matches!(event, Event::Appended { .. } | Event::AppendedWithoutRemovals { .. });
        if matches!(event, Event::AppendedWithoutRemovals { .. }) {
            leading.stored_cancels.keep_last();
        }
        // A cancellation may arrive before its job: the job was stored after it, or both were read
        // again after a watch was cut.
        let submitted = match &event {
            Event::Submitted(submission) => Some(submission.job.clone()),
            _ => None,
        };
        let now = clock::now();
        leading.scheduler.handle(now, event);
        if let Some(job) = submitted {
            cancels::apply(&mut leading.scheduler, &leading.stored_cancels, now, &job);
        }
        if appended {
            cancels::respond(&leading.scheduler, &mut leading.waiting_cancels);
        }
    }

    fn handle_request(&mut self, request: PeerRequest, response: Sender<PeerResponse>) {
        let Some(leading) = &mut self.leading else {
            // Fails if the requester has stopped waiting; the response is not needed then.
            let _ = response.try_send(PeerResponse::NotLeading);
            return;
        };
        let scheduler = &mut leading.scheduler;
        let immediate = match request {
            PeerRequest::Status { job, caller, .. } | PeerRequest::Cancel { job, caller, .. }
                if scheduler.is_foreign(&job, caller.as_ref()) =>
            {
                PeerResponse::Foreign
            }
            PeerRequest::Status { queue, job, .. } => {
                PeerResponse::Status(scheduler.status(&queue, &job))
            }
            PeerRequest::Pending { queue } => PeerResponse::Pending(scheduler.pending(&queue)),
            PeerRequest::Explain(subject) => {
                PeerResponse::Explained(scheduler.explain(clock::now(), &subject))
            }
            PeerRequest::Dump => match serde_json::to_string(&scheduler.dump(clock::now())) {
                Ok(text) => PeerResponse::Dumped(text),
                Err(err) => {
                    log::error!("the scheduler's state cannot be encoded: {err}");
                    PeerResponse::NotLeading
                }
            },
            // The traffic thread serves these on every daemon.
            PeerRequest::Submit(_)
            | PeerRequest::Leader
            | PeerRequest::RevokeLease(_)
            | PeerRequest::StoreHealth { .. } => PeerResponse::Refused,
            PeerRequest::JobStored(submission) => {
                let token = leading.token;
                self.handle_event(token, Event::Submitted(submission));
                let acknowledgement = self.leading.as_mut().map(admission::acknowledge);
                let _ = response.try_send(acknowledgement.unwrap_or(PeerResponse::NotLeading));
                return;
            }
            PeerRequest::Overload => PeerResponse::Dumped(overview::overview(leading).to_string()),
            PeerRequest::Admission(query) => admission::decide(leading, &query),
            PeerRequest::Cancel { queue, job, caller } => match scheduler.status(&queue, &job) {
                None => {
                    // The requester stores the cancellation. From now on it applies to a job that
                    // reaches this leader before the stored one does.
                    let mark = CancelMark { queue: Some(queue), caller };
                    match leading.stored_cancels.try_insert(&job, mark, clock::time()) {
                        true => PeerResponse::Status(None),
                        false => PeerResponse::Refused,
                    }
                }
                Some(status) if status.has_ended() => PeerResponse::Status(Some(status)),
                Some(_) => {
                    scheduler.handle(clock::now(), Event::Cancelled(job.clone()));
                    leading.waiting_cancels.entry(job).or_default().push(response);
                    return;
                }
            },
        };
        let _ = response.try_send(immediate);
    }

    fn decide(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        if !leading.stored_cancels.is_empty() {
            for job in leading.stored_cancels.expire(clock::time()) {
                leading.scheduler.forget_job(job);
            }
        }
        let load = &mut self.load;
        let effects = leading
            .scheduler
            .settle_observed(clock::now(), |part| load.charge(Part::Decision(part)));
        for effect in effects {
            load.count_effect(&effect);
            match effect {
                Effect::Log(line) => {
                    self.instruments.count_decision(line.kind);
                    log::info!(
                        target: "scheduler",
                        subject = &*line.subject, detail = line.detail.as_str();
                        "{}", line.kind
                    );
                }
                Effect::Count(tally) => self.instruments.count_tally(&tally),
                Effect::StepDown => {
                    let _ = leading.ended.try_send("a newer leader was met");
                }
                effect => {
                    let cancels = leading.stored_cancels.take_obsolete(&effect);
                    let token = leading.token;
                    // Fails only when the process ends.
                    let _ = self.effects.try_send(PendingEffect { token, effect, cancels });
                }
            }
        }
        load.charge(Part::Dispatch);
    }
}

#[cfg(test)]
mod tests;
