//! Random operations and random faults.

use std::time::Duration;

use borageswitch_control::Event;
use borageswitch_types::{
    fleet::{FleetChange, WaveSettings},
    names::DaemonName,
};

use super::{Action, World, host_name};

impl World {
    pub(super) fn any_daemon(&mut self) -> DaemonName {
        let names = self.names();
        names[self.rng.usize(..names.len())].clone()
    }

    pub(super) fn random_operation(&mut self) {
        let wait = self.millis(200, 2_000);
        if self.faults_enabled() {
            self.schedule(wait, Action::Operate);
        }
        let operation = format!("op-{}", self.last_sequence);
        let host = host_name(self.rng.usize(..12));
        let change = match self.rng.u8(..8) {
            0..=2 => {
                self.waves_started += 1;
                let trial = Duration::from_millis(300);
                let settings = WaveSettings { trial, ..Default::default() };
                let wave = format!("wave-{}", self.waves_started).as_str().into();
                FleetChange::StartWave { wave, hosts: vec![host], settings }
            }
            3 => FleetChange::HoldHost { host, reason: "a random operator".into() },
            4 => FleetChange::ReleaseHost { host },
            5 => FleetChange::MoveHost { host, to: "office".into() },
            6 => FleetChange::MoveHost { host, to: "payroll".into() },
            _ => FleetChange::SetEntriesExpected { entries: self.entries },
        };
        // The same operation through two daemons is an operator who retried at the next endpoint.
        for _ in 0..self.rng.usize(1..=2) {
            let daemon = self.any_daemon();
            let call = self.last_sequence;
            self.change(&daemon, call, &operation, change.clone());
        }
    }

    pub(super) fn random_fault(&mut self) {
        let mean = self.faults.fault_interval.unwrap_or_default().as_millis() as u64;
        let wait = self.millis(mean / 4, mean * 2);
        if !self.faults_enabled() {
            return;
        }
        self.schedule(wait, Action::Fault);
        let daemon = self.any_daemon();
        let time = self.millis(200, 12_000);
        match self.rng.u8(..12) {
            0..=2 => self.pause(&daemon, time),
            3 | 4 => self.cut_from_store(&daemon, time),
            5 | 6 => {
                let names = self.names();
                let count = self.rng.usize(1..=names.len().div_ceil(2));
                self.split(&names[..count], time);
            }
            7 => self.names().iter().for_each(|daemon| self.cut_from_store(daemon, time)),
            8 | 9 => {
                self.crash(&daemon);
                self.start_daemon();
            }
            10 => {
                let reason = "replaced".into();
                self.deliver(&daemon, Event::Stop { reason });
                self.start_daemon();
            }
            _ => {
                for daemon in self.names().into_iter().step_by(2) {
                    self.pause(&daemon, time);
                }
            }
        }
    }
}
