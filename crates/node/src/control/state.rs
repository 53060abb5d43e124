//! The control loop: applies updates of the store, reports of the traffic thread and results of tasks, then starts
//! whatever is due.

use std::{cell::Cell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc};

use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{interval, sleep},
};

use crate::{
    clock, cloud,
    control::{
        election::{Election, LeaderKey, Leadership},
        leader::Leader,
        mirror::Mirror,
        orders,
        parts::Parts,
        scale::Scaling,
        schedule::Schedule,
        sessions::Outbox,
        software,
        store_state::StoreState,
        tasks::Completion,
        update::Update,
        usage,
        waits::Waits,
    },
    dialect::{self, Subject},
    feed::{self, Direct, Feed, MaxAge, Readers},
    freshness::Freshness,
    job::{self, Failures},
    links::Links,
    metrics::METERS,
    prelude::*,
    rate,
    relay::{self, Peer, Peers},
    settings::Settings,
    store, term,
    usage::Meter,
    view::{Shared, View},
    workspace::Upkeep,
};

/// Tick interval of the control loop while jobs are open.
const TICK: Duration = Duration::from_millis(20);
/// Ticks per iteration while no job is open.
const IDLE_TICKS: u32 = 10;
/// Minimum interval between watches of a prefix that this program writes. Changes that matter sooner are also announced
/// by other hosts.
pub(super) const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Bound on the age of the leader keys, well within the time for which an item may be at no engine.
const LEADERS_MAX_AGE: MaxAge = MaxAge::new(Duration::from_secs(5));
/// Watches of the configuration within the time in which a new one must be in force.
const CONFIG_WATCHES_PER_DEADLINE: u32 = 4;
/// Time for which a new job may still be announced by the host that wrote it, instead of being read from the store.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(100);
/// Delay of the first read on the smallest hosts. Larger hosts, which become readers, start at once, so that the others
/// find a reader.
const SMALL_HOST_START_DELAY: Duration = Duration::from_millis(600);
/// Share of the age at which registrations are refreshed up to which those of the zone's reader serve.
const FEED_AGE_SHARE: f64 = 0.75;

/// State of the control loop.
pub(super) struct Control {
    pub(super) settings: Settings,
    pub(super) view: Shared,
    pub(super) dialect: dialect::Handle,
    pub(super) store: store::Handle,
    /// API of the platform, if this deployment has duties there.
    pub(super) cloud: Option<cloud::Handle>,
    /// Freshness of the target registrations.
    pub(super) freshness: Arc<Freshness>,
    /// Time at which registrations that are not published yet were current.
    pub(super) refreshed_at: Option<Time>,
    /// What this host reads for the other hosts of its zone.
    pub(super) feed: Arc<Feed>,
    /// Limits that targets name.
    pub(super) limits: Arc<rate::Table>,
    /// Links from this host to targets.
    pub(super) links: Arc<Links>,
    /// Terms that are over.
    pub(super) terms: Arc<term::Table>,
    /// Failed items that this host knows.
    pub(super) failures: Arc<Failures>,
    /// Usage of workspaces on this host.
    pub(super) meter: Arc<Meter>,
    /// Duty of usage reports, once this host takes part in it.
    pub(super) usage: Option<usage::Handle>,
    /// Source of the prefixes that this host reads for its zone.
    pub(super) direct: feed::Handle,
    /// Address of the host that reads for the zone, if it is another one.
    pub(super) reader: watch::Sender<Option<SocketAddr>>,
    /// Address of the primary reader, unless this host is it.
    pub(super) primary: watch::Sender<Option<SocketAddr>>,
    /// Leader key of the reader, for its election.
    pub(super) reader_key: watch::Sender<LeaderKey>,
    /// Mirror of the hosts, which only a reader needs.
    pub(super) hosts_mirror: Option<JoinHandle<()>>,
    pub(super) outbox: Outbox,
    pub(super) peers: Peers,
    /// Hosts that get no items until a time.
    pub(super) avoided_runners: BTreeMap<SocketAddr, Time>,
    /// Time at which open jobs that were not announced are read from the store.
    pub(super) heads_due: Option<Time>,
    /// The engines have to be assigned to hosts anew.
    pub(super) runners_due: bool,
    pub(super) runners_updated_at: Time,
    /// Time of the last request for a new list of hosts.
    pub(super) peers_requested_at: Time,
    pub(super) completions: mpsc::UnboundedSender<Completion>,
    pub(super) orders: Rc<orders::Client>,
    pub(super) store_state: StoreState,
    /// Mirrors of prefixes that only a leader needs; run while this host leads a service.
    pub(super) leader_mirrors: Vec<JoinHandle<()>>,
    pub(super) updates: mpsc::UnboundedSender<Update>,
    pub(super) leader_keys: BTreeMap<ServiceId, watch::Sender<LeaderKey>>,
    pub(super) leaders: BTreeMap<ServiceId, Leader>,
    /// Make an election release the leadership with a fencing token.
    pub(super) releases: BTreeMap<ServiceId, watch::Sender<Revision>>,
    /// Leaderships that are being handed over, with the time by which they are released.
    pub(super) resigning: BTreeMap<ServiceId, Time>,
    pub(super) leaderships: mpsc::UnboundedSender<(ServiceId, Leadership)>,
    pub(super) stopping: watch::Receiver<bool>,
    /// What keeps the age of the configuration within its bounds; `None` if its age does not count.
    upkeep: watch::Sender<Option<Upkeep>>,
    /// Makes the elections release their leadership.
    pub(super) step_down: watch::Sender<bool>,
    /// Deadline for releasing leadership; set when the process has to stop, `Time::MAX` once the release has begun.
    pub(super) hand_over_deadline: Option<Time>,
    pub(super) cleaned_up_at: Time,
    /// Software versions that this host keeps in the store.
    pub(super) software: software::Writer,
    /// Items that are at no engine.
    pub(super) waits: Waits,
    /// Orders for targets of the led services.
    pub(super) scaling: Scaling,
}

/// Runs the control loop until the process ends.
pub async fn run(parts: Parts) {
    let (updates, mut update_receiver) = mpsc::unbounded_channel();
    let (completions, mut completion_receiver) = mpsc::unbounded_channel();
    let (leaderships, mut leadership_receiver) = mpsc::unbounded_channel();
    let (runner_events, mut runner_event_receiver) = mpsc::unbounded_channel();
    let Parts {
        settings,
        view,
        dialect,
        store,
        contact,
        cloud,
        peers,
        freshness,
        feed,
        limits,
        links,
        terms,
        failures,
        meter,
        commands,
        mut reports,
        mut stopping,
    } = parts;
    let platform = dialect.prefixes().iter().filter_map(|(prefix, subject)| match subject {
        Subject::Config => Some((
            *prefix,
            Schedule::Follow {
                interval: settings.config_deadline / CONFIG_WATCHES_PER_DEADLINE,
                max_age: MaxAge::new(settings.config_deadline),
            },
        )),
        Subject::Targets => Some((*prefix, Schedule::OnDemand(Arc::clone(&freshness)))),
        Subject::Versions | Subject::Retirements => None,
    });
    let is_config = |prefix: &str| dialect.prefixes().contains(&(prefix, Subject::Config));
    let (upkeep, upkept) = watch::channel(None);
    let leaders = Schedule::Follow { interval: WATCH_INTERVAL, max_age: LEADERS_MAX_AGE };
    let leaders = [(job::LEADERS, leaders)];
    let mirrors: Vec<Mirror> = leaders
        .into_iter()
        .chain(platform)
        .enumerate()
        .map(|(number, (prefix, schedule))| {
            let mirror = Mirror::new(number, prefix, schedule);
            if is_config(prefix) { mirror.with_upkeep(upkept.clone()) } else { mirror }
        })
        .collect();
    let direct = Direct { store: Rc::clone(&store), contact: Arc::clone(&contact) };
    let (reader, zone_reader) = watch::channel(None);
    let (primary, primary_reader) = watch::channel(None);
    let source: feed::Handle = feed::Client::new(
        direct.clone(),
        Readers { zone: zone_reader, primary: primary_reader },
        settings.config_deadline / CONFIG_WATCHES_PER_DEADLINE,
        freshness.refresh_age().mul_f64(FEED_AGE_SHARE),
    );
    let orders = Rc::new(orders::Client {
        store: Rc::clone(&store),
        dialect: Arc::clone(&dialect),
        links: Arc::clone(&links),
        completions: completions.clone(),
        ordered_at: Cell::default(),
    });
    if let Some(address) = settings.relay {
        let own = Peer {
            zone: settings.zone.clone(),
            address,
            peer: settings.peer,
            cpu_share: settings.cpu_share,
        };
        let discovery = relay::discover(
            Rc::clone(&source),
            Rc::clone(&store),
            settings.host.clone(),
            own,
            peers.clone(),
        );
        tokio::task::spawn_local(discovery);
    }
    let store_state = StoreState::new(mirrors.len(), settings.zone.clone(), Arc::clone(&terms));
    let mut control = Control {
        settings,
        view,
        dialect,
        store,
        cloud,
        freshness,
        refreshed_at: None,
        feed,
        limits,
        links,
        terms,
        failures,
        meter,
        usage: None,
        direct: Rc::new(direct),
        reader,
        primary,
        reader_key: watch::Sender::new(LeaderKey::Unknown),
        hosts_mirror: None,
        outbox: Outbox::new(commands, runner_events),
        peers: peers.clone(),
        avoided_runners: BTreeMap::new(),
        heads_due: None,
        runners_due: false,
        runners_updated_at: Time::ZERO,
        peers_requested_at: Time::ZERO,
        completions,
        orders,
        store_state,
        leader_mirrors: Vec::new(),
        updates: updates.clone(),
        leader_keys: BTreeMap::new(),
        leaders: BTreeMap::new(),
        releases: BTreeMap::new(),
        resigning: BTreeMap::new(),
        leaderships,
        stopping: stopping.clone(),
        upkeep,
        step_down: watch::channel(false).0,
        hand_over_deadline: None,
        cleaned_up_at: Time::ZERO,
        software: software::Writer::default(),
        waits: Waits::default(),
        scaling: Scaling::new(clock::now()),
    };
    let start_delay = Election::small_host_share(control.settings.cpu_share);
    let start_delay = SMALL_HOST_START_DELAY.mul_f64(start_delay);
    for mirror in mirrors {
        let feed = Arc::clone(&control.feed);
        let follow = mirror.follow(Rc::clone(&source), feed, updates.clone());
        tokio::task::spawn_local(async move {
            sleep(start_delay).await;
            follow.await;
        });
    }
    control.join_reader_election();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut idle_ticks = 0;
    loop {
        tokio::select! {
            Some(update) = update_receiver.recv() => {
                control.apply_update(update);
                while let Ok(update) = update_receiver.try_recv() {
                    control.apply_update(update);
                }
            }
            Some(report) = reports.recv() => {
                control.apply_report(report);
                while let Ok(report) = reports.try_recv() {
                    control.apply_report(report);
                }
            }
            Some(event) = runner_event_receiver.recv() => {
                control.apply_runner_event(event);
                while let Ok(event) = runner_event_receiver.try_recv() {
                    control.apply_runner_event(event);
                }
            }
            Some(completion) = completion_receiver.recv() => control.complete(completion),
            Some((service, leadership)) = leadership_receiver.recv() => {
                control.set_leadership(&service, leadership);
            }
            _ = ticks.tick() => {
                idle_ticks += 1;
                if !control.is_busy() && idle_ticks < IDLE_TICKS {
                    continue;
                }
                idle_ticks = 0;
            }
            _ = stopping.wait_for(|stopping| *stopping), if control.hand_over_deadline.is_none() => {
                control.stop();
            }
        }
        control.step();
    }
}

impl Control {
    fn is_busy(&self) -> bool {
        self.hand_over_deadline.is_some() || self.leaders.values().any(Leader::is_busy)
    }

    /// Publishes changed state and starts whatever is due.
    fn step(&mut self) {
        let now = clock::now();
        let expired = self.store_state.fleet.expire(now);
        self.store_state.changed |= !expired.is_empty();
        let knowledge_changed = std::mem::take(&mut self.store_state.knowledge_changed);
        if std::mem::take(&mut self.store_state.changed) {
            self.update_upkeep();
            self.publish();
            self.sync_leaders();
            self.update_leader_keys();
        } else if knowledge_changed {
            self.publish();
        }
        self.update_freshness();
        if std::mem::take(&mut self.store_state.heads_changed) {
            self.heads_due.get_or_insert(now + ANNOUNCEMENT_WAIT);
        }
        if self.heads_due.take_if(|due| now >= *due).is_some() {
            let services: Vec<ServiceId> = self.leaders.keys().cloned().collect();
            for service in services {
                self.read_new_jobs(&service);
            }
        }
        if self.leads_any() {
            self.update_runners_if_due(now);
        }
        let services: Vec<ServiceId> = self.leaders.keys().cloned().collect();
        for service in services {
            self.drive_leader(&service, now);
        }
        self.observe_waits(now);
        self.update_software(now);
        self.finish_resignations(now);
        self.hand_over(now);
    }

    /// Sets what keeps the age of the configuration within its bounds; nothing unless callers have keys.
    fn update_upkeep(&self) {
        let config = self.store_state.config.as_ref();
        let has_workspaces = config.is_some_and(|config| config.has_workspaces());
        let upkeep = has_workspaces.then(|| self.settings.key_bounds().upkeep());
        self.upkeep.send_if_modified(|known| std::mem::replace(known, upkeep) != upkeep);
    }

    /// Records when the published registrations were current, and requests a refresh while this host leads a service.
    fn update_freshness(&mut self) {
        if let Some(at) = self.refreshed_at.take() {
            self.freshness.refreshed(at);
        }
        if self.leads_any() {
            self.freshness.request_refresh();
        }
    }

    pub(super) fn leads_any(&self) -> bool {
        self.leaders.values().any(Leader::leads)
    }

    pub(super) fn publish(&self) {
        let version = self.store_state.config.as_ref().map_or(0, |config| config.version);
        METERS.view(self.store_state.fleet.targets().len(), version);
        let targets = self.store_state.fleet.targets().values();
        self.links.set_known(targets.filter(|target| !target.draining).count());
        let synced = self.store_state.is_synced();
        self.view.store(Arc::new(View {
            config: self.store_state.config.clone().filter(|_| synced),
            knowledge: self.store_state.knowledge,
            targets: Arc::clone(self.store_state.fleet.targets()),
            leaders: Arc::clone(&self.store_state.leader_addresses),
            readers: Arc::clone(&self.store_state.reader_addresses),
            stopping: *self.stopping.borrow(),
        }));
    }
}
