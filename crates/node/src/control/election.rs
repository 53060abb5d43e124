//! Leader election of a service. The leader holds a key bound to a lease; the revision at which the key was written is
//! the fencing token of its leadership.

use std::sync::Arc;

use log::{info, warn};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{
    clock,
    holder::Holder,
    job,
    links::Links,
    prelude::*,
    store::{self, Error, Outcome, Put, Txn},
};

/// Lease of a leader, as a multiple of the store's shortest lease.
const LEASE_FACTOR: u32 = 2;
/// Renewals per lease time.
const RENEWALS_PER_LEASE: u32 = 6;
/// A leader that could not renew stops sending orders once this fraction (1/n) of its lease is left.
const ORDER_STOP_DIVISOR: u32 = 2;
/// Maximum random delay before a free leadership is acquired.
const JITTER_MAX: Duration = Duration::from_millis(200);
/// Maximum delay for a small CPU share, so that larger hosts lead.
const SMALL_HOST_DELAY: Duration = Duration::from_millis(300);
/// Share of a core from which a host has no such delay.
const LARGE_HOST_SHARE: f64 = 0.5;
/// Delay of a host that reaches no target, so that others lead.
const CUT_OFF_DELAY: Duration = Duration::from_millis(1500);
/// Subtracted from the end of a lease, for clocks that run at different rates.
const LEASE_MARGIN: Duration = Duration::from_millis(50);
/// Delay after a failed attempt or the end of a leadership.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// This host's leadership of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Fencing token, if this host leads.
    pub fence: Option<Revision>,
    /// Time until which orders may be sent without another renewal.
    pub orders_until: Time,
    /// Time until which no other host can lead.
    pub exclusive_until: Time,
}

/// Leader key as last read from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaderKey {
    /// Not read yet.
    #[default]
    Unknown,
    Absent,
    Present(Revision),
}

/// Competes for the leadership of one service.
pub struct Election {
    pub service: ServiceId,
    /// Value of the leader key.
    pub holder: Holder,
    pub ttl: Duration,
    /// Interval at which the lease is renewed.
    pub renewal_interval: Duration,
    /// Delay before a free leadership is acquired.
    pub delay: Duration,
    pub store: store::Handle,
    pub leader_key: watch::Receiver<LeaderKey>,
    pub leaderships: mpsc::UnboundedSender<(ServiceId, Leadership)>,
    /// Set when all leaderships of this host are to be released.
    pub stopping: watch::Receiver<bool>,
    /// Fencing token of a leadership that is to be released.
    pub released: watch::Receiver<Revision>,
    /// Time before which this host does not compete.
    pub not_before: watch::Receiver<Time>,
    pub links: Arc<Links>,
}

impl Election {
    /// Lease time, given the shortest lease of the store.
    pub fn ttl(lease_min: Duration) -> Duration {
        lease_min * LEASE_FACTOR
    }

    /// Renewal interval of a leader.
    pub fn renewal_interval(lease_min: Duration) -> Duration {
        Self::ttl(lease_min) / RENEWALS_PER_LEASE
    }

    /// Delay for a share of a core.
    pub fn delay(cpu_share: f64) -> Duration {
        SMALL_HOST_DELAY.mul_f64(Self::small_host_share(cpu_share))
    }

    /// Share of the delays of small hosts that applies to a share of a core: none on large hosts.
    pub fn small_host_share(cpu_share: f64) -> f64 {
        1.0 - (cpu_share / LARGE_HOST_SHARE).clamp(0.0, 1.0)
    }

    /// Acquires the leadership whenever it is free, and holds it.
    pub async fn run(mut self) {
        while !*self.stopping.borrow() {
            if self.leader_key.wait_for(|key| *key == LeaderKey::Absent).await.is_err() {
                return;
            }
            let wait = self.not_before.borrow().saturating_sub(clock::now());
            sleep(wait).await;
            let cut_off = self.links.cut_since().map_or(Duration::ZERO, |_| CUT_OFF_DELAY);
            sleep(self.delay + cut_off + JITTER_MAX.mul_f64(rand::random())).await;
            let too_early = clock::now() < *self.not_before.borrow();
            if *self.leader_key.borrow() != LeaderKey::Absent
                || *self.stopping.borrow()
                || too_early
            {
                continue;
            }
            match self.acquire().await {
                Ok(Some((lease, fence, begun))) => self.hold(lease, fence, begun).await,
                Ok(None) => sleep(RETRY_DELAY).await,
                Err(error) => {
                    info!(service = &*self.service, reason:% = error; "could not acquire the leadership");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the lease, the fencing token and the time from which the lease counts at the earliest.
    async fn acquire(&self) -> Result<Option<(u64, Revision, Time)>, Error> {
        let begun = clock::now();
        let lease = self.store.grant(self.ttl).await?;
        let key = job::leader_key(&self.service);
        let value = self.holder.encode().into();
        let put = Put { key: key.clone(), value, lease: Some(lease) };
        let txn = Txn { expected: vec![(key, 0)], puts: vec![put], removes: Vec::new() };
        match self.store.commit(&txn).await? {
            Outcome::Committed(fence) => {
                info!(service = &*self.service, fence; "leadership taken");
                self.publish(Some(fence), begun);
                Ok(Some((lease, fence, begun)))
            }
            Outcome::Conflict(_) | Outcome::NoLease => Ok(None),
        }
    }

    fn publish(&self, fence: Option<Revision>, renewed: Time) {
        let orders_until = renewed + self.ttl - self.ttl / ORDER_STOP_DIVISOR;
        let exclusive_until = (renewed + self.ttl).saturating_sub(LEASE_MARGIN);
        let leadership = Leadership { fence, orders_until, exclusive_until };
        if self.leaderships.send((self.service.clone(), leadership)).is_err() {
            log::debug!(service = &*self.service; "control loop has ended");
        }
    }

    /// Renews the lease until it has ended or another host holds the key.
    async fn hold(&self, lease: u64, fence: Revision, mut renewed_at: Time) {
        let (mut leader_key, mut stopping) = (self.leader_key.clone(), self.stopping.clone());
        let mut released = self.released.clone();
        loop {
            let lost = |key: &LeaderKey| match key {
                LeaderKey::Present(revision) => *revision > fence,
                LeaderKey::Absent | LeaderKey::Unknown => false,
            };
            tokio::select! {
                () = sleep(self.renewal_interval) => {}
                _ = leader_key.wait_for(lost) => {
                    warn!(service = &*self.service, fence; "leadership lost: another host has acquired it");
                    break;
                }
                _ = stopping.wait_for(|stopping| *stopping) => {
                    self.step_down(lease).await;
                    break;
                }
                Ok(_) = released.wait_for(|released| *released == fence) => {
                    self.step_down(lease).await;
                    break;
                }
            }
            match self.renew(lease, fence, renewed_at).await {
                Ok(Some(begun)) => {
                    renewed_at = begun;
                    self.publish(Some(fence), begun);
                }
                Ok(None) => {
                    warn!(service = &*self.service, fence; "leadership lost: its lease has ended");
                    break;
                }
                Err(error) => {
                    info!(service = &*self.service, fence, reason:% = error; "could not renew the lease");
                }
            }
        }
        self.publish(None, Time::ZERO);
        // The mirror may still show the key for a short time after its lease has ended.
        sleep(RETRY_DELAY).await;
    }

    /// Renews the lease. Returns the time at which that began; `None` if this host leads no longer.
    async fn renew(
        &self,
        lease: u64,
        fence: Revision,
        renewed_at: Time,
    ) -> Result<Option<Time>, Error> {
        // A renewal whose response is lost would extend the lease of a host that cannot lead. Once the lease should have
        // expired, a read first shows that this host still leads and gets responses. It extends nothing.
        if clock::now().saturating_sub(renewed_at) > self.ttl && !self.still_leads(fence).await? {
            return Ok(None);
        }
        let begun = clock::now();
        Ok(self.store.renew(lease).await?.then_some(begun))
    }

    async fn still_leads(&self, fence: Revision) -> Result<bool, Error> {
        let (entry, _) = self.store.get(&job::leader_key(&self.service)).await?;
        Ok(entry.is_some_and(|entry| entry.revision == fence))
    }

    /// Releases the leadership, so that another host can acquire it at once.
    async fn step_down(&self, lease: u64) {
        self.publish(None, Time::ZERO);
        if let Err(error) = self.store.revoke(lease).await {
            info!(service = &*self.service, reason:% = error; "could not release the leadership");
        }
    }
}
