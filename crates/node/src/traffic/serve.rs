//! The traffic thread: listeners, connections of callers, and orders of the control thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};

use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info, warn};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, oneshot, watch},
    time::{Instant, interval, sleep},
};

use crate::{
    dialect,
    freshness::Freshness,
    metrics::METERS,
    prelude::*,
    relay::{self, Transport},
    settings::Settings,
    store,
    traffic::{
        accept,
        channel::{Channels, set_keepalive},
        entry,
        jobs::Cache,
        pool::Pool,
        run::{self, Command, Report},
    },
    view::{Shared, View},
};

/// Connections of callers held at once.
const CONNECTIONS_MAX: usize = 2000;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time after the signal to stop in which new connections are still served, as readiness is asked for once a second.
const STOP_ACCEPT: Duration = Duration::from_millis(2600);
/// Time kept back from the grace period.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which idle connections and gone targets are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time of a caller's connection while no configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(15);
/// Interval at which a stopping host looks whether callers are still connected.
const STOP_POLL: Duration = Duration::from_millis(50);

/// What the traffic thread gets from the process.
pub struct Parts {
    pub settings: Settings,
    pub view: Shared,
    pub dialect: dialect::Handle,
    pub store: store::Handle,
    /// Way to the store for calls of other hosts.
    pub direct: Rc<dyn Transport>,
    pub freshness: Arc<Freshness>,
    pub commands: mpsc::UnboundedReceiver<Command>,
    pub reports: mpsc::UnboundedSender<Report>,
}

/// State of the traffic thread.
pub struct Traffic {
    pub settings: Settings,
    pub view: Shared,
    pub dialect: dialect::Handle,
    pub store: store::Handle,
    /// Of the targets in the view.
    pub freshness: Arc<Freshness>,
    pub channels: Channels,
    pub pool: RefCell<Pool>,
    pub cache: Cache,
    connections: Cell<usize>,
    stops: RefCell<HashMap<u64, oneshot::Sender<()>>>,
}

/// Serves until the process was told to stop and the last request is answered.
pub async fn run(parts: Parts) -> io::Result<()> {
    let Parts { settings, view, dialect, store, direct, freshness, commands, reports } = parts;
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
        freshness,
        channels: Channels::default(),
        pool,
        cache: Cache::default(),
        connections: Cell::new(0),
        stops: RefCell::default(),
    });
    let (close, closed) = watch::channel(false);
    if let Some(metrics) = metrics {
        let metrics = listen_on(Rc::clone(&traffic), metrics, Port::Metrics, closed.clone());
        tokio::task::spawn_local(metrics);
    }
    tokio::task::spawn_local(carry_out(Rc::clone(&traffic), commands, reports));
    tokio::task::spawn_local(sweep(Rc::clone(&traffic)));
    tokio::task::spawn_local(listen_on(Rc::clone(&traffic), ready, Port::Ready, closed.clone()));
    let accepting =
        tokio::task::spawn_local(listen_on(Rc::clone(&traffic), entry, Port::Entry, closed));
    stopped(&traffic).await;
    let end = Instant::now() + traffic.settings.stop_grace.saturating_sub(STOP_MARGIN);
    sleep(STOP_ACCEPT).await;
    accepting.abort();
    let _ = close.send(true);
    while traffic.connections.get() > 0 && Instant::now() < end {
        sleep(STOP_POLL).await;
    }
    info!(connections_left = traffic.connections.get(); "traffic stopped");
    Ok(())
}

async fn stopped(traffic: &Traffic) {
    while !traffic.view.load().stopping {
        sleep(Duration::from_millis(100)).await;
    }
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
        traffic.pool.borrow_mut().sweep(&traffic.view.load());
    }
}

/// Carries out the orders of the control thread.
async fn carry_out(
    traffic: Rc<Traffic>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    reports: mpsc::UnboundedSender<Report>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Run(order) => {
                let (stop, stopped) = oneshot::channel();
                let id = order.id;
                traffic.stops.borrow_mut().insert(id, stop);
                let (traffic, reports) = (Rc::clone(&traffic), reports.clone());
                tokio::task::spawn_local(async move {
                    let report = run::run(Rc::clone(&traffic), order, stopped, &reports).await;
                    traffic.stops.borrow_mut().remove(&id);
                    if reports.send(report).is_err() {
                        debug!(run = id; "control thread has ended");
                    }
                });
            }
            Command::Stop { run } => {
                if let Some(stop) = traffic.stops.borrow_mut().remove(&run) {
                    // A run that has just ended needs no stop.
                    let _ = stop.send(());
                }
            }
        }
    }
}

/// Which address a connection came in at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Entry,
    Ready,
    Metrics,
}

async fn listen_on(
    traffic: Rc<Traffic>,
    listener: TcpListener,
    port: Port,
    closed: watch::Receiver<bool>,
) {
    loop {
        let stream = accept(&listener).await;
        if port == Port::Entry && traffic.connections.get() >= CONNECTIONS_MAX {
            warn!(connections = traffic.connections.get(); "connection refused: too many");
            continue;
        }
        if let Err(error) = set_keepalive(&stream) {
            debug!(reason:% = error; "could not set socket options");
        }
        tokio::task::spawn_local(connection(Rc::clone(&traffic), stream, port, closed.clone()));
    }
}

/// Counts a caller's connection for as long as it lives.
struct Counted(Rc<Traffic>);

impl Counted {
    fn new(traffic: &Rc<Traffic>) -> Self {
        traffic.connections.set(traffic.connections.get() + 1);
        Self(Rc::clone(traffic))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn connection(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    port: Port,
    mut closed: watch::Receiver<bool>,
) {
    let _counted = (port == Port::Entry).then(|| Counted::new(&traffic));
    let idle =
        traffic.view.load().config.as_ref().map_or(IDLE_DEFAULT, |config| config.limits.idle);
    let service = service_fn(|request: Request<Incoming>| {
        let traffic = Rc::clone(&traffic);
        async move {
            Ok::<_, std::convert::Infallible>(match port {
                Port::Entry => entry::handle(traffic, request).await,
                Port::Ready => readiness(&traffic.view.load()),
                Port::Metrics => Response::new(Full::new(METERS.text().into())),
            })
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(64 << 10)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let result = tokio::select! {
        result = serving.as_mut() => result,
        _ = closed.wait_for(|closed| *closed) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = result {
        debug!(reason:% = error; "caller's connection ended");
    }
}

fn readiness(view: &View) -> Response<Full<bytes::Bytes>> {
    let mut response = Response::new(Full::default());
    if view.config.is_none() || view.stopping {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
