//! Process of one host.
//!
//! One control thread owns the core and runs it tick by tick. The HTTP ports, the peer links and the clients of
//! external systems run on a multi-threaded runtime and exchange events and actions with that thread.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    runtime::{self, Handle, Runtime},
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot, watch},
    time::{sleep, sleep_until, timeout_at},
};

use crate::{
    admin, cache,
    control::Control,
    core::{Core, Event, config},
    engine::Engine,
    entry,
    etcd::Etcd,
    executor::{Clients, Executor, Flow},
    http_sd::HttpSd,
    link::{Identity, Link},
    logging,
    metrics::Metrics,
    prelude::*,
    serve::{self, Connections},
    service::Service,
    settings::Settings,
};

/// Shortest time between two ticks; events that arrive meanwhile share one.
const TICK_MIN: Duration = Duration::from_millis(1);

/// Bound on the events of one tick, so that a flood of events cannot delay it.
const TICK_EVENTS_MAX: usize = 1024;

/// Time between two observations of the core's tables for the metrics.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Observations of the tables per observation of the service-level report, which counts in steps of 10 s.
const OBSERVATIONS_PER_BURN: u32 = 10;

/// Error that ends the daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("could not open the log: {source}"))]
    Log { source: io::Error },
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    #[snafu(display("could not start a thread: {source}"))]
    Thread { source: io::Error },
    #[snafu(display("control thread ended unexpectedly"))]
    Control,
}

/// A running host.
pub struct Host {
    pub control: Arc<Control>,
    pub entry_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
    connections: [Arc<Connections>; 2],
    stop: watch::Sender<bool>,
    exit: oneshot::Receiver<()>,
    flush_limit: Duration,
}

/// Runs a host until it has drained.
pub fn run(settings: Settings) -> Result<(), Error> {
    logging::init(&settings.log, &settings.core.host).context(LogSnafu)?;
    let runtime = Runtime::new().context(ThreadSnafu)?;
    let result = runtime.block_on(async {
        let host = start(settings).await?;
        let (control, runtime) = (Arc::clone(&host.control), Handle::current());
        runtime.spawn(watch_signals(control));
        host.wait().await
    });
    // Calls to external systems whose result is no longer needed must not delay the exit.
    runtime.shutdown_background();
    result
}

/// Opens the ports, spawns their tasks on the current runtime and starts the control thread.
pub async fn start(mut settings: Settings) -> Result<Host, Error> {
    settings.core.incarnation = incarnation();
    settings.core.seed = rand::random();
    let runtime = Handle::current();
    let entry_port = bind(settings.entry_address).await?;
    let admin_port = bind(settings.admin_address).await?;
    let peer_port = bind(settings.peer_address).await?;
    let address = |port: &TcpListener, configured| port.local_addr().unwrap_or(configured);
    let entry_address = address(&entry_port, settings.entry_address);
    let admin_address = address(&admin_port, settings.admin_address);
    let peer_address = address(&peer_port, settings.peer_address);
    // Port 0 binds any free port, and peers need the actual number.
    settings.core.peer_address = peer_address.to_string().into();

    let metrics = Arc::new(Metrics::new());
    let (control, events) =
        Control::new(settings.limits.clone(), Arc::clone(&metrics), runtime.clone());
    let identity = Identity {
        deployment: settings.core.deployment.clone(),
        token: settings.core.secret.clone(),
        host: settings.core.host.clone(),
        incarnation: settings.core.incarnation,
        zone: settings.core.zone.clone(),
    };
    let link =
        Link::new(identity, settings.link.clone(), control.events(), metrics, runtime.clone());
    let link = Arc::new(link);
    runtime.spawn(Arc::clone(&link).listen(peer_port));

    let (stop, stopped) = watch::channel(false);
    let connections = [Arc::default(), Arc::default()];
    let [entry_connections, admin_connections] = [&connections[0], &connections[1]].map(Arc::clone);
    let limits = &settings.limits;
    let router = entry::router(&control);
    runtime.spawn(serve::run(
        entry_port,
        router,
        limits.clone(),
        entry_connections,
        stopped.clone(),
    ));
    let router = admin::router(&control, &settings.admin_token);
    runtime.spawn(serve::run(admin_port, router, limits.clone(), admin_connections, stopped));

    let (body_sender, bodies) = watch::channel(Bytes::new());
    if let Some(dir) = &settings.data_dir {
        load_cached_config(&control, dir.clone()).await;
        runtime.spawn(write_cache(bodies, dir.clone()));
    }
    let store_timeout = settings.core.store_timeout;
    let executor = Executor::new(
        Arc::clone(&control),
        runtime,
        clients(&settings),
        link,
        store_timeout,
        body_sender,
    );
    let (exited, exit) = oneshot::channel();
    let flush_limit = settings.timeouts.flush;
    log::info!("entry={entry_address} admin={admin_address} peer={peer_address} host started");
    thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_time().build();
            match runtime {
                Ok(runtime) => runtime.block_on(run_control_thread(settings, events, &executor)),
                Err(error) => return log::error!("could not start the control thread: {error}"),
            }
            let _ = exited.send(());
        })
        .context(ThreadSnafu)?;
    Ok(Host {
        control,
        entry_address,
        admin_address,
        peer_address,
        connections,
        stop,
        exit,
        flush_limit,
    })
}

impl Host {
    /// Waits until the host has drained and its last answers are written, at most for the flush time.
    pub async fn wait(self) -> Result<(), Error> {
        if self.exit.await.is_err() {
            return Err(Error::Control);
        }
        let _ = self.stop.send(true);
        let deadline = Instant::now() + self.flush_limit;
        while self.connections.iter().any(|it| it.count() > 0) {
            if Instant::now() > deadline {
                log::warn!(
                    "could not flush all answers before the exit; some connections are still open"
                );
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        log::info!("host ended");
        Ok(())
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Incarnation with the seconds since 1970 in the upper half, so that a later start has a higher one, and a random
/// lower half.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs() << 32 | u64::from(rand::random::<u32>())
}

/// Clients of the external systems named in the settings.
pub fn clients(settings: &Settings) -> Clients {
    let (timeouts, max_answer_bytes) = (&settings.timeouts, settings.limits.max_answer_bytes);
    Clients {
        store: Arc::new(Etcd::new(settings.store_urls.clone(), timeouts.connect)),
        directory: Arc::new(HttpSd {
            url: settings.directory_url.clone(),
            timeout: timeouts.directory,
        }),
        engine: Arc::new(Engine {
            connect_timeout: timeouts.connect,
            poll_timeout: timeouts.poll,
            chunk_timeout: timeouts.chunk,
            max_answer_bytes,
        }),
        service: Arc::new(Service { connect_timeout: timeouts.connect, max_answer_bytes }),
    }
}

/// Sends the core the configuration cached in the data folder.
async fn load_cached_config(control: &Control, dir: PathBuf) {
    match cache::read(&dir) {
        Ok(Some(body)) => {
            let _ = control.events().send(Event::CachedConfig(body.into())).await;
        }
        Ok(None) => {}
        Err(error) => log::warn!("could not read the data folder: {error}"),
    }
}

/// Writes each new configuration to the data folder; while a write runs, only the latest is kept for the next.
async fn write_cache(mut bodies: watch::Receiver<Bytes>, dir: PathBuf) {
    while bodies.changed().await.is_ok() {
        let body = bodies.borrow_and_update().clone();
        let dir = dir.clone();
        let writing = tokio::task::spawn_blocking(move || cache::write(&dir, &body));
        if let Ok(Err(error)) = writing.await {
            log::warn!("could not write to the data folder: {error}");
        }
    }
}

/// Main loop of the control thread: feeds events to the core, ticks it and starts its actions until `Action::Exit`.
async fn run_control_thread(
    settings: Settings,
    mut events: mpsc::Receiver<Event>,
    executor: &Executor,
) {
    let start = tokio::time::Instant::now();
    let metrics = &executor.control.metrics;
    let mut core = Core::new(settings.core, Duration::ZERO);
    let mut ticked_at = start;
    let (mut observed_at, mut observations) = (start, 0);
    loop {
        match timeout_at(start + core.wake(), events.recv()).await {
            Ok(Some(event)) => core.input(start.elapsed(), event),
            Ok(None) => return,
            Err(_) => {}
        }
        sleep_until(ticked_at + TICK_MIN).await;
        for _ in 0..TICK_EVENTS_MAX {
            let Ok(event) = events.try_recv() else { break };
            core.input(start.elapsed(), event);
        }
        ticked_at = tokio::time::Instant::now();
        let actions = core.tick(start.elapsed());
        metrics.record_tick(ticked_at.elapsed());
        for action in actions {
            if executor.run(action) == Flow::Exit {
                return;
            }
        }
        if observed_at.elapsed() >= OBSERVE_INTERVAL {
            observed_at = ticked_at;
            metrics.observe(core.world(), events.len());
            observations += 1;
            if observations % OBSERVATIONS_PER_BURN == 0 {
                metrics.observe_burn(core.world());
            }
        }
    }
}

/// Drains the host on the first SIGTERM or SIGINT and ends the process at once on the second.
async fn watch_signals(control: Arc<Control>) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return log::error!("could not watch for signals");
    };
    let mut first = true;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if !first {
            log::warn!("second signal received, exiting at once");
            std::process::exit(1);
        }
        first = false;
        log::info!("signal received, draining");
        control.set_draining();
        let events = control.events();
        // Sent from a task of its own, so that a second signal is handled while the event channel is full.
        tokio::spawn(async move {
            let _ = events.send(Event::Admin(config::Admin::Drain { ticket: None })).await;
        });
    }
}
