//! The platform's list of machines, and orders for them, as PROTOCOL.md describes them. Fences are
//! not checked (`fencing_enforced` false).

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    executor::Executor,
    http::{Reply, Request},
    json::{Json, obj, text},
    record::Record,
};

/// `maintenance_s`.
const UPKEEP: Duration = Duration::from_secs(2);

/// An order for a machine, as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub machine: String,
    pub holder: String,
    pub fence: u64,
}

pub struct Hosts {
    executors: Vec<Arc<Executor>>,
    record: Arc<Record>,
    orders: Mutex<Vec<Order>>,
    kept_up: Mutex<BTreeSet<(String, u64)>>,
}

impl Hosts {
    pub fn new(executors: Vec<Arc<Executor>>, record: Arc<Record>) -> Arc<Hosts> {
        let (orders, kept_up) = Default::default();
        Arc::new(Hosts { executors, record, orders, kept_up })
    }

    /// The orders so far, in the order of their arrival.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap().clone()
    }

    pub fn serve(&self, req: &Request) -> Reply {
        match &*req.path {
            "/-/machines" => {
                let machines = self.executors.iter().map(|executor| executor.listing()).collect();
                let body = vec![("machines", Json::Arr(machines)), ("next_token", Json::Null)];
                Reply::json(200, &obj(body))
            }
            "/-/machine-upkeep" => {
                let machine = req.body.get("machine").str();
                let wave = req.body.get("wave").u64();
                let header = |name: &str| req.headers.get(name).cloned().unwrap_or_default();
                let order = Order {
                    machine: machine.to_owned(),
                    holder: header("duty-holder"),
                    fence: header("fencing-token").parse().unwrap_or(0),
                };
                self.orders.lock().unwrap().push(order.clone());
                let status = self.begin_upkeep(machine, wave);
                self.record.note(&format!(
                    "upkeep of {machine} for wave {wave}, ordered by {} with fence {}: {status}",
                    order.holder, order.fence
                ));
                Reply::json(status, &obj(vec![("reason", text("busy"))]))
            }
            _ => Reply::json(409, &obj(vec![("reason", text("busy"))])),
        }
    }

    fn begin_upkeep(&self, machine: &str, wave: u64) -> u16 {
        let Some(executor) = self.executors.iter().find(|executor| executor.machine == machine)
        else {
            return 400;
        };
        let mut kept_up = self.kept_up.lock().unwrap();
        if kept_up.contains(&(machine.to_owned(), wave)) {
            return 200;
        }
        if !executor.leave("upkeep") {
            return 409;
        }
        kept_up.insert((machine.to_owned(), wave));
        let executor = executor.clone();
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            executor.boot();
        });
        200
    }
}
