//! The advisor: it decides on which executors a step may run, one call at a time.

use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Reply, Request},
    json::{Json, quote},
    record::Recorder,
};

/// The calls that may wait; further ones are answered with 429.
const MAX_WAITING: u64 = 32;

/// The times of a queue's advisor, as the config names them.
#[derive(Clone, Copy)]
pub struct Times {
    pub decision: Duration,
    pub per_worker: Duration,
    pub validity: Duration,
}

/// Calls that have come and calls that are done: a call's turn is when all before it are done.
#[derive(Default)]
struct Turns {
    come: u64,
    done: u64,
}

/// Starts an advisor that permits every second executor. Gives its address.
pub fn start(times: Times, recorder: Recorder) -> std::io::Result<SocketAddr> {
    let turns = Arc::new((Mutex::new(Turns::default()), Condvar::new()));
    http::serve(move |request| advise(&request, times, &turns, &recorder))
}

fn advise(
    request: &Request,
    times: Times,
    turns: &(Mutex<Turns>, Condvar),
    recorder: &Recorder,
) -> Reply {
    let Some(body) = Json::parse(&request.body) else { return Reply::Answer(400, "{}".to_owned()) };
    let (step, workers) = (body.text("step_id"), body.list("workers"));
    let mut state = turns.0.lock().unwrap_or_else(PoisonError::into_inner);
    let waiting = state.come - state.done;
    if waiting > MAX_WAITING {
        drop(state);
        recorder.line(&format!("advisor: {step} is answered 429"));
        return Reply::Answer(429, "{}".to_owned());
    }
    let turn = state.come;
    state.come += 1;
    recorder.line(&format!("advisor: {step} asks, {waiting} calls are before it"));
    while state.done < turn {
        state = turns.1.wait(state).unwrap_or_else(PoisonError::into_inner);
    }
    drop(state);
    // A call that nobody waits for takes no time: it is passed over when its turn comes.
    let is_abandoned = request.is_abandoned();
    if !is_abandoned {
        thread::sleep(times.decision + times.per_worker * workers.len() as u32);
    }
    turns.0.lock().unwrap_or_else(PoisonError::into_inner).done += 1;
    turns.1.notify_all();
    if is_abandoned {
        recorder.line(&format!("advisor: the caller of {step} has left, the call is passed over"));
        return Reply::Lost;
    }
    let permitted = workers.iter().map(Json::as_text).filter(|id| is_permitted(id));
    let rows: Vec<String> =
        permitted.map(|id| format!("[{},{}]", quote(&id), quote(&format!("t-{id}")))).collect();
    recorder.line(&format!("advisor: {step} is answered, {} permitted", rows.len()));
    let validity_ms = times.validity.as_millis();
    Reply::Answer(
        200,
        format!("{{\"allowed\":[{}],\"validity_ms\":{validity_ms}}}", rows.join(",")),
    )
}

fn is_permitted(id: &str) -> bool {
    id.bytes().last().is_some_and(|digit| digit % 2 == 0)
}
