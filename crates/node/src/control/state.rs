//! The control loop: takes what the store, the traffic thread and finished calls tell, and acts on it.

use std::{collections::BTreeMap, rc::Rc, sync::Arc};

use log::info;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::interval,
};

use crate::{
    clock,
    control::{
        known::{Effect, Known},
        lead::send,
        leader::Leader,
        mirror::{Mirror, Pace, Update},
        orders::Orders,
        role::{Role, Seen, Standing},
        tasks::{Done, report_emptied, save_texts},
    },
    dialect::{self, Subject},
    freshness::Freshness,
    job,
    metrics::METERS,
    prelude::*,
    relay::{self, Peer, Peers},
    settings::Settings,
    store::{self, Put, Txn},
    traffic::{Channels, Command, Report},
    view::{Shared, View},
};

/// Interval of the control loop while jobs are open, and while none is.
const TICK: Duration = Duration::from_millis(20);
const IDLE_TICKS: u32 = 10;
/// Shortest time between two watches of a prefix of this program.
const OWN_PACE: Duration = Duration::from_millis(40);
/// Part of the time in which a configuration must be in force that may pass between two watches, as a divisor.
const CONFIG_PACE_DIVISOR: u32 = 4;
/// Longest time in which a stopping leader ends its runs and keeps what they made.
const HAND_OVER_MAX: Duration = Duration::from_millis(800);

/// What the control thread gets from the process.
pub struct Parts {
    pub settings: Settings,
    pub view: Shared,
    pub dialect: dialect::Handle,
    pub store: store::Handle,
    /// Hosts through which the store can be called.
    pub peers: Peers,
    pub freshness: Arc<Freshness>,
    pub commands: mpsc::UnboundedSender<Command>,
    pub reports: mpsc::UnboundedReceiver<Report>,
    pub stopping: watch::Receiver<bool>,
}

pub(super) struct Control {
    pub(super) settings: Settings,
    pub(super) view: Shared,
    pub(super) dialect: dialect::Handle,
    pub(super) store: store::Handle,
    /// Of the registrations of targets.
    pub(super) freshness: Arc<Freshness>,
    /// Time at which the registrations that are to be published were current.
    pub(super) current_at: Option<Time>,
    pub(super) commands: mpsc::UnboundedSender<Command>,
    pub(super) done: mpsc::UnboundedSender<Done>,
    pub(super) orders: Rc<Orders>,
    pub(super) known: Known,
    /// Follow what only a leader acts on, while this host leads a service.
    pub(super) leader_mirrors: Vec<JoinHandle<()>>,
    pub(super) updates: mpsc::UnboundedSender<Update>,
    pub(super) seen: BTreeMap<ServiceId, watch::Sender<Seen>>,
    pub(super) leaders: BTreeMap<ServiceId, Leader>,
    pub(super) standings: mpsc::UnboundedSender<(ServiceId, Standing)>,
    pub(super) stopping: watch::Receiver<bool>,
    /// Tells the roles to give their leadership back.
    pub(super) step_down: watch::Sender<bool>,
    /// Time at which leadership is given back at the latest, once the process was told to stop.
    pub(super) hand_over_by: Option<Time>,
    pub(super) cleaned_at: Time,
}

/// Runs until the process is told to stop.
pub async fn run(parts: Parts) {
    let (updates, mut updated) = mpsc::unbounded_channel();
    let (done, mut finished) = mpsc::unbounded_channel();
    let (standings, mut standing) = mpsc::unbounded_channel();
    let Parts {
        settings,
        view,
        dialect,
        store,
        peers,
        freshness,
        commands,
        mut reports,
        mut stopping,
    } = parts;
    let platform = dialect.prefixes().iter().filter_map(|(prefix, subject)| match subject {
        Subject::Config => {
            Some((*prefix, Pace::Follow(settings.config_deadline / CONFIG_PACE_DIVISOR)))
        }
        Subject::Targets => Some((*prefix, Pace::OnDemand(Arc::clone(&freshness)))),
        Subject::Operations => None,
    });
    let mirrors: Vec<Mirror> = platform
        .chain([(job::LEADS, Pace::Follow(OWN_PACE))])
        .enumerate()
        .map(|(number, (prefix, pace))| Mirror::new(number, prefix, pace))
        .collect();
    let orders = Rc::new(Orders {
        store: Rc::clone(&store),
        dialect: Arc::clone(&dialect),
        channels: Channels::default(),
    });
    if let Some(address) = settings.relay {
        let own = Peer { zone: settings.zone.clone(), address };
        let discovery = relay::discover(Rc::clone(&store), settings.host.clone(), own, peers);
        tokio::task::spawn_local(discovery);
    }
    let mut control = Control {
        settings,
        view,
        dialect,
        store,
        freshness,
        current_at: None,
        commands,
        done,
        orders,
        known: Known::new(mirrors.len()),
        leader_mirrors: Vec::new(),
        updates: updates.clone(),
        seen: BTreeMap::new(),
        leaders: BTreeMap::new(),
        standings,
        stopping: stopping.clone(),
        step_down: watch::channel(false).0,
        hand_over_by: None,
        cleaned_at: Time::ZERO,
    };
    for mirror in mirrors {
        tokio::task::spawn_local(mirror.follow(Rc::clone(&control.store), updates.clone()));
    }
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut idle = 0;
    loop {
        tokio::select! {
            Some(update) = updated.recv() => {
                control.update(update);
                while let Ok(update) = updated.try_recv() {
                    control.update(update);
                }
            }
            Some(report) = reports.recv() => control.report(report),
            Some(done) = finished.recv() => control.done(done),
            Some((service, standing)) = standing.recv() => control.stands(&service, standing),
            _ = ticks.tick() => {
                idle += 1;
                if !control.is_busy() && idle < IDLE_TICKS {
                    continue;
                }
                idle = 0;
            }
            _ = stopping.wait_for(|stopping| *stopping), if control.hand_over_by.is_none() => {
                control.stop();
            }
        }
        control.act();
    }
}

impl Control {
    fn is_busy(&self) -> bool {
        self.hand_over_by.is_some() || self.leaders.values().any(Leader::is_busy)
    }

    /// Ends all runs; what they made is kept and saved before the leadership is given back. The traffic thread ends the
    /// process.
    fn stop(&mut self) {
        info!("stopping");
        let now = clock::now();
        self.hand_over_by = Some(now + HAND_OVER_MAX);
        for leader in self.leaders.values() {
            send(&self.commands, leader.stop_all());
        }
        self.publish();
    }

    /// Gives the leadership back once nothing runs and nothing waits to be kept.
    fn hand_over(&mut self, now: Time) {
        let Some(by) = self.hand_over_by.filter(|by| *by < Time::MAX) else {
            return;
        };
        if now < by && self.leaders.values().any(Leader::is_unsettled) {
            return;
        }
        let saves = self.leaders.values_mut().filter_map(|leader| leader.saves_now(now));
        let saves: Vec<_> = saves.map(|save| save_texts(Rc::clone(&self.store), save)).collect();
        let told = self.step_down.clone();
        self.hand_over_by = Some(Time::MAX);
        tokio::task::spawn_local(async move {
            futures::future::join_all(saves).await;
            told.send_replace(true);
        });
    }

    fn update(&mut self, update: Update) {
        if let Update::Current { at } = update {
            self.current_at = Some(at);
        }
        match self.known.update(update, self.dialect.as_ref()) {
            Some(Effect::JobEnded { service, job }) => {
                if let Some(leader) = self.leaders.get_mut(&service) {
                    let stops = leader.end(&job, clock::now());
                    METERS.open_jobs(&service, leader.board.len());
                    send(&self.commands, stops);
                }
            }
            Some(Effect::Led { service }) => self.led(&service),
            Some(Effect::Retire { host }) => self.retire(host),
            None => {}
        }
    }

    /// A host leads a service; if it is another one, the jobs of this one are dropped.
    fn led(&mut self, service: &ServiceId) {
        if let Some(leader) = self.leaders.get_mut(service)
            && leader.standing.fence.is_none()
        {
            let stops = leader.drop_all(clock::now());
            send(&self.commands, stops);
        }
    }

    /// No host keeps anything on its disk, so a host is empty at once.
    fn retire(&self, host: HostId) {
        let entry = self.dialect.retired_entry(&host);
        let put = Put { key: entry.key.clone(), value: entry.value, lease: None };
        let txn = Txn { expected: vec![(entry.key, 0)], puts: vec![put], removes: Vec::new() };
        tokio::task::spawn_local(report_emptied(Rc::clone(&self.store), host, txn));
    }

    fn stands(&mut self, service: &ServiceId, standing: Standing) {
        let Some(leader) = self.leaders.get_mut(service) else {
            return;
        };
        let before = std::mem::replace(&mut leader.standing, standing);
        METERS.leads(service, standing.fence.is_some());
        let (taken, lost) = (standing.fence.is_some(), self.known.leads.contains_key(service));
        if before.fence != standing.fence && (taken || lost) {
            // Another host leads or may have led meanwhile, so a job's rows are read again before it goes on.
            let stops = leader.drop_all(clock::now());
            send(&self.commands, stops);
        }
        self.follow();
    }

    /// Only a leader has to know jobs, versions and hosts to be emptied; any other host reads the job that it is asked
    /// for.
    fn follow(&mut self) {
        let leads = self.leads();
        if leads && self.leader_mirrors.is_empty() {
            let prefixes = self.dialect.prefixes().iter();
            let orders = prefixes.filter(|(_, subject)| *subject == Subject::Operations);
            for prefix in orders.map(|(prefix, _)| *prefix).chain([job::HEADS]) {
                let mirror = Mirror::new(usize::MAX, prefix, Pace::Follow(OWN_PACE));
                let follow = mirror.follow(Rc::clone(&self.store), self.updates.clone());
                self.leader_mirrors.push(tokio::task::spawn_local(follow));
            }
        } else if !leads && !self.leader_mirrors.is_empty() {
            for mirror in self.leader_mirrors.drain(..) {
                mirror.abort();
            }
            self.known.heads.clear();
        }
    }

    /// Publishes what has changed and starts whatever is due.
    fn act(&mut self) {
        let now = clock::now();
        let expired = self.known.fleet.expire(now);
        self.known.changed |= !expired.is_empty();
        if std::mem::take(&mut self.known.changed) {
            self.publish();
            self.spread();
        }
        self.keep_fresh();
        let services: Vec<ServiceId> = self.leaders.keys().cloned().collect();
        for service in services {
            self.lead_service(&service, now);
        }
        self.hand_over(now);
    }

    /// Tells since when the published registrations are current; they are kept current where a service is led.
    fn keep_fresh(&mut self) {
        if let Some(at) = self.current_at.take() {
            self.freshness.refreshed(at);
        }
        if self.leads() {
            self.freshness.ask();
        }
    }

    fn leads(&self) -> bool {
        self.leaders.values().any(|leader| leader.standing.fence.is_some())
    }

    fn publish(&self) {
        let version = self.known.config.as_ref().map_or(0, |config| config.version);
        METERS.view(self.known.fleet.targets().len(), version);
        let synced = self.known.is_synced();
        self.view.store(Arc::new(View {
            config: self.known.config.clone().filter(|_| synced),
            targets: self.known.fleet.targets().clone(),
            stopping: *self.stopping.borrow(),
        }));
    }

    /// Brings roles and leaders up to date with the configuration, the targets and the versions.
    fn spread(&mut self) {
        if !self.known.is_synced() {
            return;
        }
        let Some(config) = self.known.config.clone() else {
            return;
        };
        for service in config.services.iter().filter(|service| service.engines) {
            self.candidate(&service.name);
        }
        for (service, seen) in &self.seen {
            let now = self.known.leads.get(service).map_or(Seen::Absent, |at| Seen::Present(*at));
            seen.send_if_modified(|seen| std::mem::replace(seen, now) != now);
        }
        for leader in self.leaders.values_mut() {
            leader.sync(self.known.fleet.targets(), &self.known.named);
        }
    }

    fn candidate(&mut self, service: &ServiceId) {
        if self.seen.contains_key(service) {
            return;
        }
        let (seen, receiver) = watch::channel(Seen::Unknown);
        self.seen.insert(service.clone(), seen);
        let first_run = (self.leaders.len() as u64) << 48;
        self.leaders.insert(service.clone(), Leader::new(service.clone(), first_run));
        let role = Role {
            service: service.clone(),
            host: self.settings.host.clone(),
            ttl: Role::ttl(self.settings.lease_min),
            delay: Role::delay(self.settings.cpu_share),
            store: Rc::clone(&self.store),
            seen: receiver,
            standings: self.standings.clone(),
            stopping: self.step_down.subscribe(),
        };
        tokio::task::spawn_local(role.run());
    }
}
