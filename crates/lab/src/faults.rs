//! Random faults that are injected while a scenario runs.

use lagoonyard::prelude::*;
use rand::{Rng, seq::IteratorRandom};

use crate::{Fleet, store::Mode};

impl Fleet {
    /// Injects random faults, on average one per `interval`, until a given time.
    pub fn inject_faults(&mut self, interval: Duration, until: Time) {
        let next = interval.mul_f64(self.rng.random_range(0.3..1.7));
        self.schedule(next, move |fleet| {
            if fleet.now < until {
                fleet.inject_fault();
                fleet.inject_faults(interval, until);
            }
        });
    }

    fn inject_fault(&mut self) {
        let span = Duration::from_millis(self.rng.random_range(500..20_000));
        let hosts: Vec<HostId> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.core.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        let Some(host) = hosts.into_iter().choose(&mut self.rng) else {
            return;
        };
        let zone = self.hosts[&host].zone.clone();
        match self.rng.random_range(0..9) {
            0 => {
                self.kill(&host);
                self.schedule(span, move |fleet| fleet.start(&host, &zone));
            }
            1 => {
                self.trace_line(format!("host {host} freezes for {span:?}"));
                self.freeze(&host);
                self.schedule(span, move |fleet| fleet.thaw(&host));
            }
            2 => {
                self.trace_line(format!("zone {zone} is cut off for {span:?}"));
                self.isolate(&zone);
                self.schedule(span, |fleet| fleet.cut_links.clear());
            }
            3 | 4 => {
                let mode =
                    [Mode::Refuse, Mode::Hang, Mode::LoseAnswers].into_iter().choose(&mut self.rng);
                self.store.mode = mode.unwrap_or_default();
                self.trace_line(format!(
                    "key-value store in mode {:?} for {span:?}",
                    self.store.mode
                ));
                self.schedule(span, |fleet| fleet.store.mode = Mode::Up);
            }
            5 | 6 => {
                let up =
                    self.engines.iter().filter(|(_, engine)| engine.up).map(|(id, _)| id.clone());
                if let Some(target) = up.choose(&mut self.rng) {
                    self.crash(&target, Some(span));
                }
            }
            7 => {
                self.trace_line(format!("host {host} drains"));
                self.drain(&host);
                self.restart_after_exit(host, zone);
            }
            _ => {
                let up = self
                    .services
                    .iter()
                    .filter(|(_, service)| service.up)
                    .map(|(id, _)| id.clone());
                if let Some(target) = up.choose(&mut self.rng) {
                    self.crash(&target, Some(span));
                }
            }
        }
    }

    fn restart_after_exit(&mut self, host: HostId, zone: ZoneId) {
        self.schedule(Duration::from_secs(5), move |fleet| {
            match fleet.hosts.get(&host).is_some_and(|row| row.core.is_none()) {
                true => fleet.start(&host, &zone),
                false => fleet.restart_after_exit(host, zone),
            }
        });
    }
}
