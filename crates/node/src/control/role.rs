//! Leadership of a service: a key bound to a lease. The revision at which the key was written is the fencing number.

use log::{info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{
    clock, job,
    prelude::*,
    store::{self, Error, Outcome, Put, Txn},
};

/// Lease of a leader, as many of the store's shortest leases.
const LEASE_FACTOR: u32 = 2;
/// Renewals within one lease.
const RENEWALS: u32 = 6;
/// Part of the lease, as a divisor, after which a leader that could not renew gives no more orders.
const ORDER_DIVISOR: u32 = 2;
/// Longest random delay before a free leadership is taken.
const JITTER_MAX: Duration = Duration::from_millis(200);
/// Delay of a host without processor time, so that larger hosts lead.
const SMALL_HOST_DELAY: Duration = Duration::from_millis(300);
/// Share of a core from which on a host takes part without that delay.
const LARGE_HOST_SHARE: f64 = 0.5;
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Standing of this host in a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Fencing number, if this host leads.
    pub fence: Option<Revision>,
    /// Time until which orders may be given without another renewal.
    pub orders_until: Time,
}

/// What the store shows of the leader's key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Seen {
    /// Not read yet.
    #[default]
    Unknown,
    Absent,
    Present(Revision),
}

/// Candidacy for the leadership of one service.
pub struct Role {
    pub service: ServiceId,
    pub host: HostId,
    pub ttl: Duration,
    /// Delay before a free leadership is taken.
    pub delay: Duration,
    pub store: store::Handle,
    pub seen: watch::Receiver<Seen>,
    pub standings: mpsc::UnboundedSender<(ServiceId, Standing)>,
    /// The process was told to stop.
    pub stopping: watch::Receiver<bool>,
}

impl Role {
    /// Lease time for a store with a shortest lease.
    pub fn ttl(lease_min: Duration) -> Duration {
        lease_min * LEASE_FACTOR
    }

    /// Delay of a host with a share of a core.
    pub fn delay(cpu_share: f64) -> Duration {
        SMALL_HOST_DELAY.mul_f64(1.0 - (cpu_share / LARGE_HOST_SHARE).clamp(0.0, 1.0))
    }

    /// Takes the leadership whenever it is free, and holds it.
    pub async fn run(mut self) {
        while !*self.stopping.borrow() {
            if self.seen.wait_for(|seen| *seen == Seen::Absent).await.is_err() {
                return;
            }
            sleep(self.delay + JITTER_MAX.mul_f64(rand::random())).await;
            if *self.seen.borrow() != Seen::Absent || *self.stopping.borrow() {
                continue;
            }
            match self.acquire().await {
                Ok(Some((lease, fence))) => self.hold(lease, fence).await,
                Ok(None) => sleep(RETRY_PAUSE).await,
                Err(error) => {
                    info!(service = &*self.service, reason:% = error; "could not take the leadership");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn acquire(&self) -> Result<Option<(u64, Revision)>, Error> {
        let begun = clock::now();
        let lease = self.store.grant(self.ttl).await?;
        let key = job::leader_key(&self.service);
        let value = self.host.as_bytes().to_vec().into();
        let put = Put { key: key.clone(), value, lease: Some(lease) };
        let txn = Txn { expected: vec![(key, 0)], puts: vec![put], removes: Vec::new() };
        match self.store.commit(&txn).await? {
            Outcome::Committed(fence) => {
                info!(service = &*self.service, fence; "leadership taken");
                self.tell(Some(fence), begun);
                Ok(Some((lease, fence)))
            }
            Outcome::Conflict(_) | Outcome::NoLease => Ok(None),
        }
    }

    fn tell(&self, fence: Option<Revision>, renewed: Time) {
        let orders_until = renewed + self.ttl - self.ttl / ORDER_DIVISOR;
        let standing = Standing { fence, orders_until };
        if self.standings.send((self.service.clone(), standing)).is_err() {
            log::debug!(service = &*self.service; "control loop has ended");
        }
    }

    /// Renews the lease until it has ended or the key is another's.
    async fn hold(&self, lease: u64, fence: Revision) {
        let (mut seen, mut stopping) = (self.seen.clone(), self.stopping.clone());
        let mut answered = clock::now();
        loop {
            let lost = |seen: &Seen| match seen {
                Seen::Present(revision) => *revision > fence,
                Seen::Absent | Seen::Unknown => false,
            };
            tokio::select! {
                () = sleep(self.ttl / RENEWALS) => {}
                _ = seen.wait_for(lost) => {
                    warn!(service = &*self.service, fence; "leadership lost to another host");
                    break;
                }
                _ = stopping.wait_for(|stopping| *stopping) => {
                    self.step_down(lease).await;
                    break;
                }
            }
            let begun = clock::now();
            // Renewals whose answers are lost would keep the lease of a host that cannot lead, so once it should have
            // ended, only a read asks whether the host still leads.
            let held = if begun.saturating_sub(answered) > self.ttl {
                self.still_leads(fence).await
            } else {
                self.store.renew(lease).await
            };
            match held {
                Ok(true) => {
                    answered = begun;
                    self.tell(Some(fence), begun);
                }
                Ok(false) => {
                    warn!(service = &*self.service, fence; "lease of the leadership has ended");
                    break;
                }
                Err(error) => {
                    info!(service = &*self.service, fence, reason:% = error; "could not renew the lease");
                }
            }
        }
        self.tell(None, Time::ZERO);
        // The key may still be seen for a moment after its lease has ended.
        sleep(RETRY_PAUSE).await;
    }

    async fn still_leads(&self, fence: Revision) -> Result<bool, Error> {
        let (entry, _) = self.store.get(&job::leader_key(&self.service)).await?;
        Ok(entry.is_some_and(|entry| entry.revision == fence))
    }

    /// Gives the leadership back, so that another host takes it at once.
    async fn step_down(&self, lease: u64) {
        self.tell(None, Time::ZERO);
        if let Err(error) = self.store.revoke(lease).await {
            info!(service = &*self.service, reason:% = error; "could not give the leadership back");
        }
    }
}
