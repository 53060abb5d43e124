//! The traffic thread: listeners, connections of callers, and commands from the control thread.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use http::{Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info, warn};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, oneshot, watch},
    time::{interval, sleep},
};
use tokio_io_timeout::TimeoutStream;

use crate::{
    clock,
    contact::Contact,
    crash, dialect, dry_run,
    feed::Feed,
    freshness::Freshness,
    job::Failures,
    links::Links,
    log_limit::LogLimit,
    metrics::METERS,
    peer,
    prelude::*,
    rate,
    relay::{self, Transport},
    settings::Settings,
    store, term,
    traffic::{
        accept, announce,
        body::Budget,
        cache::Cache,
        channel::{Channels, set_keepalive},
        connect,
        ended::Looks,
        entry, held,
        origins::Origins,
        peers::PeerHandler,
        permit::Permits,
        pool::Pool,
        report::{Command, Report},
        run as item_run,
        runner::Runner,
        stop::{self, Phase},
        suspects,
        tunnel::Tunnels,
        turns::Turns,
        visit::Followed,
    },
    usage::Meter,
    view::{Shared, View},
};

/// Largest total size of the bodies that are being read from callers, and from targets.
const REQUEST_BYTES_TOTAL: usize = 40 << 20;
const RESPONSE_BYTES_TOTAL: usize = 40 << 20;
/// Length of a listener's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;
/// Interval at which expired idle connections and statistics of removed targets are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Resources of the traffic thread that the process provides.
pub struct Parts {
    pub settings: Settings,
    pub view: Shared,
    pub dialect: dialect::Handle,
    pub store: store::Handle,
    pub contact: Arc<Contact>,
    /// Carries calls to the store that other hosts relay through this one.
    pub direct: Rc<dyn Transport>,
    pub freshness: Arc<Freshness>,
    pub feed: Arc<Feed>,
    pub limits: Arc<rate::Table>,
    pub links: Arc<Links>,
    pub crashes: Arc<crash::Table>,
    pub terms: Arc<term::Table>,
    pub failures: Arc<Failures>,
    pub meter: Arc<Meter>,
    pub hosts: relay::Peers,
    pub commands: mpsc::UnboundedReceiver<Command>,
    pub reports: mpsc::UnboundedSender<Report>,
}

/// State of the traffic thread.
pub struct Traffic {
    pub settings: Settings,
    pub view: Shared,
    pub dialect: dialect::Handle,
    pub store: store::Handle,
    /// Answers of the store to this host.
    pub contact: Arc<Contact>,
    /// Age of the target registrations in the view.
    pub freshness: Arc<Freshness>,
    pub channels: Channels,
    pub pool: RefCell<Pool>,
    /// Limits that targets name.
    pub limits: Arc<rate::Table>,
    pub permits: Permits,
    /// Requests of workspaces that wait for targets with room.
    pub turns: Rc<Turns>,
    /// Links from this host to targets.
    pub links: Arc<Links>,
    pub tunnels: Tunnels,
    /// Contents under which targets ended.
    pub crashes: Arc<crash::Table>,
    /// Terms of leaders that are over.
    pub terms: Arc<term::Table>,
    /// Failed items, for the next leader.
    pub failures: Arc<Failures>,
    /// Usage of workspaces.
    pub meter: Arc<Meter>,
    pub looks: Looks,
    /// Requests that have left their targets before an answer.
    pub followed: Followed,
    pub origins: Origins,
    /// What other hosts are to be told of targets.
    pub changes: announce::Changes,
    /// The other hosts.
    pub hosts: relay::Peers,
    /// Bytes of callers' bodies and of targets' bodies that may be held at the same time.
    pub request_bytes: Rc<Budget>,
    pub response_bytes: Rc<Budget>,
    pub cache: Cache,
    /// What this host reads for the other hosts of its zone.
    pub feed: Arc<Feed>,
    /// State of the runs for leaders on other hosts.
    pub runner: Runner,
    /// Client for requests to other hosts.
    pub peers: peer::Client,
    pub reports: mpsc::UnboundedSender<Report>,
    pub phase: watch::Sender<Phase>,
    /// Log of calls refused because the configuration is too old.
    pub behind_log: LogLimit,
    /// Bounds the dry runs in progress.
    pub dry_runs: dry_run::Gate,
    connections: Cell<usize>,
    /// Senders that stop runs, by id of the run.
    stops: RefCell<HashMap<u64, oneshot::Sender<()>>>,
}

impl Traffic {
    /// Whether a caller is connected, or another host uses this one.
    pub fn is_in_use(&self) -> bool {
        self.connections.get() > 0 || self.tunnels.carried() > 0
    }
}

/// Serves until the process is stopping and all callers' connections are closed or the grace period is over.
pub async fn run(parts: Parts) -> io::Result<()> {
    let Parts {
        settings,
        view,
        dialect,
        store,
        contact,
        direct,
        freshness,
        feed,
        limits,
        links,
        crashes,
        terms,
        failures,
        meter,
        hosts,
        commands,
        reports,
    } = parts;
    let entry = listen(settings.entry)?;
    let ready = listen(settings.ready)?;
    let metrics = settings.metrics.map(listen).transpose()?;
    if let Some(address) = settings.relay {
        tokio::task::spawn_local(relay::serve(listen(address)?, direct));
    }
    let pool = RefCell::new(Pool::new(settings.zone.clone()));
    let traffic = Rc::new(Traffic {
        settings,
        view,
        dialect,
        store,
        contact,
        freshness,
        channels: Channels::default(),
        pool,
        limits,
        permits: Permits::default(),
        turns: Rc::default(),
        links,
        tunnels: Tunnels::default(),
        crashes,
        terms,
        failures,
        meter,
        looks: Looks::default(),
        followed: Followed::default(),
        origins: Origins::default(),
        changes: announce::Changes::default(),
        hosts,
        request_bytes: Budget::new(REQUEST_BYTES_TOTAL),
        response_bytes: Budget::new(RESPONSE_BYTES_TOTAL),
        cache: Cache::default(),
        feed,
        runner: Runner::default(),
        peers: peer::Client::default(),
        reports: reports.clone(),
        phase: watch::Sender::new(Phase::Open),
        behind_log: LogLimit::default(),
        dry_runs: dry_run::Gate::default(),
        connections: Cell::new(0),
        stops: RefCell::default(),
    });
    if let Some(address) = traffic.settings.peer {
        let handler = Rc::new(PeerHandler(Rc::clone(&traffic)));
        tokio::task::spawn_local(peer::serve(listen(address)?, handler));
    }
    let (shutdown, shutting_down) = watch::channel(false);
    if let Some(metrics) = metrics {
        let metrics =
            accept_loop(Rc::clone(&traffic), metrics, Port::Metrics, shutting_down.clone());
        tokio::task::spawn_local(metrics);
    }
    tokio::task::spawn_local(execute_commands(Rc::clone(&traffic), commands, reports));
    tokio::task::spawn_local(sweep(Rc::clone(&traffic)));
    tokio::task::spawn_local(announce::run(Rc::clone(&traffic)));
    tokio::task::spawn_local(suspects::pull(Rc::clone(&traffic)));
    tokio::task::spawn_local(held::read(traffic.store.clone(), Arc::clone(&traffic.crashes)));
    tokio::task::spawn_local(connect::probe(Rc::clone(&traffic)));
    tokio::task::spawn_local(accept_loop(
        Rc::clone(&traffic),
        ready,
        Port::Ready,
        shutting_down.clone(),
    ));
    let accepting = tokio::task::spawn_local(accept_loop(
        Rc::clone(&traffic),
        entry,
        Port::Entry,
        shutting_down,
    ));
    stop::requested(&traffic).await;
    let deadline = stop::deadline(&traffic);
    sleep(stop::ACCEPT_PERIOD).await;
    accepting.abort();
    let _ = shutdown.send(true);
    stop::drain(&traffic, deadline).await;
    let (connections_left, tunnels_left) = (traffic.connections.get(), traffic.tunnels.carried());
    info!(connections_left, tunnels_left; "traffic stopped");
    Ok(())
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn sweep(traffic: Rc<Traffic>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        traffic.channels.sweep();
        let view = traffic.view.load();
        traffic.pool.borrow_mut().sweep(&view);
        if let Some(config) = &view.config {
            let known: HashSet<&str> = config.routes().map(|route| &*route.name).collect();
            traffic.pool.borrow_mut().retain_routes(|name| known.contains(name));
        }
        traffic.limits.retain(|target| view.targets.contains_key(target));
        traffic.links.retain(|target| view.targets.contains_key(target));
        traffic.tunnels.sweep();
        traffic.looks.sweep();
        traffic.crashes.sweep(clock::now());
        METERS.held_contents(traffic.crashes.held(clock::now()));
        traffic.permits.retain(|target| traffic.limits.limit(target).is_some());
    }
}

/// Starts and stops runs as the control thread commands.
async fn execute_commands(
    traffic: Rc<Traffic>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    reports: mpsc::UnboundedSender<Report>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Run(run) => {
                let (stop, stopped) = oneshot::channel();
                let id = run.id;
                traffic.stops.borrow_mut().insert(id, stop);
                let (traffic, reports) = (Rc::clone(&traffic), reports.clone());
                tokio::task::spawn_local(async move {
                    let report = item_run::run(Rc::clone(&traffic), run, stopped, &reports).await;
                    traffic.stops.borrow_mut().remove(&id);
                    if reports.send(Report::Run(report)).is_err() {
                        debug!(run = id; "control thread has ended");
                    }
                });
            }
            Command::Stop { run, .. } => {
                if let Some(stop) = traffic.stops.borrow_mut().remove(&run) {
                    // The send fails only if the run has just ended.
                    let _ = stop.send(());
                }
            }
            Command::LeadershipRenewed { service, until } => traffic.cache.renew(service, until),
            Command::JobOpened { service, workspace, spec, chunks } => {
                traffic.cache.open((service, workspace), &spec, chunks);
            }
            Command::JobsClosed { service } => traffic.cache.close(&service),
            Command::ChunkBegun { job } => traffic.cache.begin_write(&job),
            Command::ChunkWritten { job, chunk } => traffic.cache.finish_write(&job, chunk),
        }
    }
}

/// Listener through which a connection came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Entry,
    Ready,
    Metrics,
}

async fn accept_loop(
    traffic: Rc<Traffic>,
    listener: TcpListener,
    port: Port,
    shutting_down: watch::Receiver<bool>,
) {
    loop {
        let stream = accept(&listener).await;
        if port == Port::Entry && traffic.connections.get() >= traffic.connections_max() {
            warn!(connections = traffic.connections.get(); "connection refused: too many open connections");
            continue;
        }
        if let Err(error) = set_keepalive(&stream) {
            debug!(reason:% = error; "could not set socket options");
        }
        tokio::task::spawn_local(connection(
            Rc::clone(&traffic),
            stream,
            port,
            shutting_down.clone(),
        ));
    }
}

/// Counts a caller's connection until dropped.
struct ConnectionCount(Rc<Traffic>);

impl ConnectionCount {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.connections.set(traffic.connections.get() + 1);
        Self(Rc::clone(traffic))
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn connection(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    port: Port,
    mut shutting_down: watch::Receiver<bool>,
) {
    let _count = (port == Port::Entry).then(|| ConnectionCount::new(&traffic));
    let idle_timeout = traffic.idle_timeout();
    let service = service_fn(|request: Request<Incoming>| {
        let traffic = Rc::clone(&traffic);
        async move {
            Ok::<_, std::convert::Infallible>(match port {
                Port::Entry => entry::handle(traffic, request).await,
                Port::Ready => readiness(&traffic.view.load()),
                Port::Metrics => Response::new(Either::Left(Full::new(METERS.text().into()))),
            })
        }
    });
    // A caller may read slowly, but one that takes no bytes at all is gone.
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(idle_timeout));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(traffic.buffer_bytes())
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = shutting_down.wait_for(|shutting_down| *shutting_down) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(reason:% = error; "connection at a listener failed");
    }
}

/// Ready once a configuration has been read, until the process is stopping.
fn readiness(view: &View) -> entry::HttpResponse {
    let mut response = Response::new(Either::Left(Full::default()));
    if view.config.is_none() || view.stopping {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
