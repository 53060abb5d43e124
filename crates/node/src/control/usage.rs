//! Duty of usage reports on this host: sends its counts to the holder, competes for the duty, and as the holder settles
//! and sends the reports. [`Reporter`] decides; this module reads, writes and calls.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, sync::Arc};

use bytes::Bytes;
use futures::future::join_all;
use log::info;
use prost::Message as _;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use crate::{
    clock,
    cloud::{self, Duty, UsageReport},
    config::Config,
    control::{
        election::{Election, LeaderKey, Leadership},
        roles,
        state::Control,
    },
    holder::Holder,
    job,
    logging::ms,
    peer::{self, Kind, UsageCounts, UsageReply},
    prelude::*,
    relay::Peers,
    store::{self, Outcome, Put, Txn},
    usage::{self, Action, Ledger, Meter, Receipt, Reporter, Rules, Windows},
};

/// Interval at which a host sends what has changed. A host that is lost takes at most the counts of that time with it.
const SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a host without a holder asks for the clocks of others.
const CLOCK_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts that are asked for their clocks.
const CLOCK_REQUEST_HOSTS: usize = 3;
/// Interval at which the holder looks for what is due.
const TICK: Duration = Duration::from_millis(100);
/// Time for a host to answer a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest lease, as a multiple of that of a leader: a renewal costs a call of the store, and a report is not due soon.
const LEASE_FACTOR: u32 = 2;
/// Part (1/n) of the time until a report is due that a lease may take at most, so that the next holder has the rest.
const LEASE_DIVISOR: u32 = 4;
const RENEWALS_PER_LEASE: u32 = 4;
/// Delay of the smallest hosts before they take the duty, as a multiple of that of leaders, so that larger hosts hold it.
const DELAY_FACTOR: u32 = 3;

/// Counts of a host, with the reply.
pub(super) type Message = (UsageCounts, oneshot::Sender<Receipt>);

/// Where the duty is held: fencing token and address of its holder.
type HeldBy = Option<(Revision, SocketAddr)>;

/// What the control loop knows of the duty.
pub(super) struct Handle {
    key: watch::Sender<LeaderKey>,
    holder: watch::Sender<HeldBy>,
    messages: mpsc::UnboundedSender<Message>,
}

/// Result of an action that the duty has started.
enum Event {
    Read(Result<(Option<Ledger>, Revision), store::Error>),
    Settled((Revision, Ledger), Result<Outcome, store::Error>),
    Sent(Revision, UsageReport, Result<cloud::Outcome, cloud::Error>),
}

impl Control {
    /// Takes part in the duty once the settings name it and the configuration has workspaces.
    pub(super) fn join_usage_duty(&mut self, config: &Config) {
        let (Some(cloud), Some(settings)) = (&self.cloud, &self.settings.cloud) else {
            return;
        };
        let Some(own) = self.settings.peer.filter(|_| self.usage.is_none()) else {
            return;
        };
        if !settings.has(Duty::UsageReport) || !config.has_workspaces() {
            return;
        }
        let rules = self.usage_rules(settings);
        let reporter = Reporter::new(rules, clock::now());
        let (key, leader_key) = watch::channel(LeaderKey::Unknown);
        let (holder, held_by) = watch::channel(None);
        let (messages, received) = mpsc::unbounded_channel();
        let (leaderships, leadership_receiver) = mpsc::unbounded_channel();
        let (release, released) = watch::channel(Revision::default());
        let (rejoin, not_before) = watch::channel(reporter.rejoin_at());
        let ttl = self.usage_lease(settings);
        let election = Election {
            service: usage::DUTY.into(),
            holder: Holder { host: self.settings.host.clone(), peer: Some(own) },
            ttl,
            renewal_interval: ttl / RENEWALS_PER_LEASE,
            delay: Election::delay(self.settings.cpu_share) * DELAY_FACTOR,
            store: Rc::clone(&self.store),
            leader_key,
            leaderships,
            stopping: self.step_down.subscribe(),
            released,
            not_before,
            links: Arc::clone(&self.links),
        };
        info!(window_ms = ms(settings.usage_window), lease_ms = ms(ttl), turn_interval_ms = ms(settings.turn_interval); "taking part in usage reports");
        tokio::task::spawn_local(election.run());
        let client: Rc<peer::Client> = Rc::default();
        let sender = Sender {
            own,
            meter: Arc::clone(&self.meter),
            peers: self.peers.clone(),
            client: Rc::clone(&client),
            held_by,
            messages: messages.clone(),
        };
        tokio::task::spawn_local(sender.run());
        let duty = UsageDuty {
            own,
            reporter,
            meter: Arc::clone(&self.meter),
            peers: self.peers.clone(),
            client,
            store: Rc::clone(&self.store),
            cloud: Rc::clone(cloud),
            release,
            rejoin,
            stopping: self.stopping.clone(),
        };
        tokio::task::spawn_local(duty.run(leadership_receiver, received));
        self.usage = Some(Handle { key, holder, messages });
        self.update_usage_key();
    }

    fn usage_rules(&self, settings: &cloud::Settings) -> Rules {
        Rules {
            host: self.settings.host.clone(),
            windows: Windows::new(settings.usage_window),
            deadline: settings.usage_deadline,
            turn_interval: settings.turn_interval,
            calls_per_s: settings.calls_per_s,
            value_bytes: self.settings.value_bytes,
        }
    }

    /// Length of the lease of the duty.
    fn usage_lease(&self, settings: &cloud::Settings) -> Duration {
        let lease_min = self.settings.lease_min;
        let lease = Election::ttl(lease_min) * LEASE_FACTOR;
        lease.min(settings.usage_deadline / LEASE_DIVISOR).max(lease_min)
    }

    /// Tells the tasks of the duty who holds it.
    pub(super) fn update_usage_key(&self) {
        let Some(usage) = &self.usage else {
            return;
        };
        let entry = self.store_state.usage_holder.as_ref();
        let key = entry.map_or(LeaderKey::Absent, |entry| LeaderKey::Present(entry.revision));
        roles::set(&usage.key, key);
        let holder = entry.and_then(|entry| Some((entry.revision, entry.peer?)));
        roles::set(&usage.holder, holder);
    }

    /// Passes on the counts of a host. Without the duty on this host the reply is dropped.
    pub(super) fn take_usage(&self, message: Message) {
        if let Some(usage) = &self.usage {
            // Fails only while the process ends.
            let _ = usage.messages.send(message);
        }
    }
}

/// Sends the counts of this host.
struct Sender {
    own: SocketAddr,
    meter: Arc<Meter>,
    peers: Peers,
    client: Rc<peer::Client>,
    held_by: watch::Receiver<HeldBy>,
    messages: mpsc::UnboundedSender<Message>,
}

impl Sender {
    async fn run(self) {
        let mut asked_at = Time::ZERO;
        while !self.messages.is_closed() {
            sleep(SEND_INTERVAL).await;
            let held_by = *self.held_by.borrow();
            match held_by {
                Some((fence, holder)) => {
                    self.meter.set_holder(fence);
                    if let Some(counts) = self.meter.unsent() {
                        self.send(holder, counts).await;
                    }
                }
                None if !self.meter.is_synced()
                    && clock::now() >= asked_at + CLOCK_REQUEST_INTERVAL =>
                {
                    asked_at = clock::now();
                    self.ask_for_clocks().await;
                }
                None => {}
            }
        }
    }

    /// Sends counts to the holder, which may be this host, and applies its reply.
    async fn send(&self, holder: SocketAddr, counts: UsageCounts) {
        let reply = if holder == self.own {
            let (reply, replied) = oneshot::channel();
            // Fails only while the process ends; the reply then fails as well.
            let _ = self.messages.send((counts.clone(), reply));
            replied.await.ok().map(|receipt| self.meter.reply(receipt))
        } else {
            self.ask(holder, counts.clone()).await
        };
        if let Some(reply) = reply {
            self.meter.apply_reply(&counts, &reply);
        }
    }

    async fn ask_for_clocks(&self) {
        let Some(request) = self.meter.clock_request() else {
            return;
        };
        let hosts = self.peers.all();
        let hosts = hosts.iter().filter_map(|host| host.peer).take(CLOCK_REQUEST_HOSTS);
        let replies = join_all(hosts.map(|host| self.ask(host, request.clone()))).await;
        for reply in replies.into_iter().flatten() {
            self.meter.apply_reply(&request, &reply);
        }
    }

    /// Reply of a host to a message; `None` without one in time.
    async fn ask(&self, host: SocketAddr, message: UsageCounts) -> Option<UsageReply> {
        let response = self.client.call(host, Kind::Usage(message), ANSWER_TIMEOUT).await?;
        UsageReply::decode(response.body).ok().filter(|_| response.served)
    }
}

/// Task that collects the counts of all hosts and, while this host holds the duty, settles and sends them.
struct UsageDuty {
    own: SocketAddr,
    reporter: Reporter,
    meter: Arc<Meter>,
    peers: Peers,
    client: Rc<peer::Client>,
    store: store::Handle,
    cloud: cloud::Handle,
    release: watch::Sender<Revision>,
    /// Time from which this host may compete for the duty.
    rejoin: watch::Sender<Time>,
    stopping: watch::Receiver<bool>,
}

impl UsageDuty {
    async fn run(
        mut self,
        mut leaderships: mpsc::UnboundedReceiver<(ServiceId, Leadership)>,
        mut messages: mpsc::UnboundedReceiver<Message>,
    ) {
        let (sender, mut events) = mpsc::unbounded_channel();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((_, leadership)) = leaderships.recv() => {
                    let held = self.reporter.is_holder();
                    self.reporter.set_leadership(leadership, clock::now());
                    if self.reporter.is_holder() && !held {
                        // A host that was started with others does not know them yet.
                        self.peers.request_refresh();
                    }
                }
                message = messages.recv() => {
                    let Some((counts, reply)) = message else {
                        return;
                    };
                    let receipt = self.take(&counts);
                    // A dropped receiver means that the sender has given up.
                    let _ = reply.send(receipt);
                }
                Some(event) = events.recv() => self.apply(event),
                _ = ticks.tick(), if self.reporter.is_holder() => {}
            }
            self.act(&sender);
        }
    }

    /// Takes the counts of a host. Those of the holder itself go to all other hosts, which keep them for the next holder.
    fn take(&mut self, counts: &UsageCounts) -> Receipt {
        let known = self.reporter.addresses().len();
        let receipt = self.reporter.accept(counts, clock::now(), self.meter.true_ms());
        if !self.reporter.is_holder() {
            return receipt;
        }
        if self.reporter.addresses().len() > known {
            self.meter.send_again();
        }
        if counts.address != self.own.to_string() {
            return receipt;
        }
        for host in self.hosts().into_iter().filter(|host| *host != self.own) {
            let (client, kind) = (Rc::clone(&self.client), Kind::Usage(counts.clone()));
            tokio::task::spawn_local(async move {
                client.call(host, kind, ANSWER_TIMEOUT).await;
            });
        }
        receipt
    }

    /// Addresses of all hosts: those in the list, those that were heard, and this one.
    fn hosts(&self) -> BTreeSet<SocketAddr> {
        let listed = self.peers.all();
        let listed = listed.iter().filter_map(|host| host.peer);
        listed.chain(self.reporter.addresses()).chain([self.own]).collect()
    }

    fn apply(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Read(result) => self.reporter.read(result, now, self.meter.true_ms()),
            Event::Settled(write, result) => self.reporter.settled(write, result, now),
            Event::Sent(fence, report, result) => {
                if let Some(Action::GiveUp(fence)) = self.reporter.sent(fence, &report, result, now)
                {
                    self.release.send_replace(fence);
                }
            }
        }
    }

    /// Starts whatever is due.
    fn act(&mut self, events: &mpsc::UnboundedSender<Event>) {
        let stopping = *self.stopping.borrow();
        let hosts = if self.reporter.is_holder() { self.hosts() } else { BTreeSet::new() };
        while self.reporter.is_holder() && !stopping {
            let action = self.reporter.next(clock::now(), self.meter.true_ms(), &hosts);
            // Published before the call begins, and again at its end.
            self.rejoin.send_replace(self.reporter.rejoin_at());
            match action {
                Some(Action::GiveUp(fence)) => {
                    self.release.send_replace(fence);
                }
                Some(action) => self.start(action, events.clone()),
                None => return,
            }
        }
        self.rejoin.send_replace(self.reporter.rejoin_at());
    }

    fn start(&self, action: Action, events: mpsc::UnboundedSender<Event>) {
        let (store, cloud) = (Rc::clone(&self.store), Rc::clone(&self.cloud));
        tokio::task::spawn_local(async move {
            let event = match action {
                Action::Read => Event::Read(read(store.as_ref()).await),
                Action::Settle { fence, revision, ledger } => {
                    let result = store.commit(&settle(fence, revision, &ledger)).await;
                    Event::Settled((fence, ledger), result)
                }
                Action::Send(authority, report) => {
                    let call = cloud::Call::Usage(report.clone());
                    let result = cloud.call(&authority, &call).await;
                    Event::Sent(authority.fence, report, result)
                }
                Action::GiveUp(_) => return,
            };
            // Fails only while the process ends.
            let _ = events.send(event);
        });
    }
}

/// Reads the ledger with its revision, which is 0 if there is none.
async fn read(store: &dyn store::Store) -> Result<(Option<Ledger>, Revision), store::Error> {
    let (entry, _) = store.get(usage::LEDGER).await?;
    let Some(entry) = entry else {
        return Ok((None, 0));
    };
    let ledger = Ledger::decode(&entry.value);
    if ledger.is_none() {
        log::warn!(key = usage::LEDGER, revision = entry.revision; "settled usage ignored: it cannot be decoded");
    }
    Ok((ledger, entry.revision))
}

/// Write of a ledger, which takes effect only if this host still holds the duty and nobody else has written the ledger.
pub fn settle(fence: Revision, revision: Revision, ledger: &Ledger) -> Txn {
    let key: Box<str> = usage::LEDGER.into();
    let value = Bytes::from(ledger.encode());
    Txn {
        expected: vec![(job::leader_key(usage::DUTY), fence), (key.clone(), revision)],
        puts: vec![Put { key, value, lease: None }],
        removes: Vec::new(),
    }
}
