//! Calls to the simulated key-value store, and its open watches.

use lagoonyard::{
    core::{
        Event,
        store::{self, Call},
    },
    prelude::*,
};

use crate::{Fleet, fleet::PLATFORM, store::Mode};

const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Open watch on a key.
pub struct Watch {
    host: HostId,
    incarnation: Incarnation,
    id: CallId,
    call: Call,
    until: Time,
}

impl Fleet {
    /// Executes a host's call under the service's current mode.
    pub(crate) fn store_call(
        &mut self,
        id: &HostId,
        incarnation: Incarnation,
        zone: &str,
        call_id: CallId,
        call: Call,
    ) {
        let answer = move |result| Event::Store(store::Answer { id: call_id, result });
        let Some(delay) = self.delay(zone, PLATFORM).filter(|_| self.store.mode != Mode::Refuse)
        else {
            let event = answer(Err(store::Failure::Unsent));
            return self.deliver(Duration::from_millis(5), id.clone(), incarnation, event);
        };
        if self.store.mode == Mode::Hang {
            let event = answer(Err(store::Failure::Unknown));
            return self.deliver(STORE_TIMEOUT, id.clone(), incarnation, event);
        }
        let host = id.clone();
        let after = delay + self.store.slow;
        self.schedule(after, move |fleet| {
            let reply = fleet.store.execute(fleet.now, &call);
            if matches!(call, Call::Swap { .. } | Call::Delete { .. }) {
                fleet.wake_watches();
            }
            if fleet.store.mode == Mode::LoseAnswers {
                let event = answer(Err(store::Failure::Unknown));
                return fleet.deliver(STORE_TIMEOUT, host, incarnation, event);
            }
            if let (Call::Watch { wait, .. }, store::Reply::NoChange) = (&call, &reply) {
                let until = fleet.now + *wait;
                let wait = *wait;
                fleet.watches.push(Watch { host, incarnation, id: call_id, call, until });
                return fleet.schedule(wait, Self::wake_watches);
            }
            fleet.deliver(delay, host, incarnation, answer(Ok(reply)));
        });
    }

    /// Answers the watches whose key changed or whose wait is over.
    pub fn wake_watches(&mut self) {
        let now = self.now;
        for watch in std::mem::take(&mut self.watches) {
            let reply = self.store.execute(now, &watch.call);
            if reply == store::Reply::NoChange && now < watch.until {
                self.watches.push(watch);
                continue;
            }
            let Some(host) = self.hosts.get(&watch.host) else {
                continue;
            };
            let Some(delay) = self.delay(&host.zone, PLATFORM) else {
                continue;
            };
            let event = Event::Store(store::Answer { id: watch.id, result: Ok(reply) });
            self.deliver(delay, watch.host, watch.incarnation, event);
        }
    }
}
