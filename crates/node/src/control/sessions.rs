//! Connections of a leader to the hosts that run its items.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use futures::StreamExt;
use log::{info, warn};
use prost::Message;
use tokio::{
    sync::mpsc,
    time::{Instant, interval, timeout},
};

use crate::{
    events::Progress,
    fleet::Departure,
    job::{Assignment, End, Origin, Outcome},
    peer::{self, Frames, FromRunner, Kind, Lead, News, Order, Request, RunItem, ToRunner},
    prelude::*,
    rate,
    traffic::{Command, Run, RunReport},
};

/// Interval of heartbeats.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Silence of a runner after which it counts as lost; by then it has stopped its runs.
const RUNNER_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time for a runner to accept the leader.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);

/// A runner of a service.
pub type RunnerId = (ServiceId, SocketAddr);

/// What happens at a runner.
#[derive(Debug)]
pub enum Event {
    /// The runner takes items.
    Connected {
        runner: RunnerId,
        connection: u64,
    },
    Run(RunReport),
    /// The runner stops and takes no more items.
    Leaving(RunnerId),
    /// The connection has ended. The ends of its runs were reported before.
    Lost {
        runner: RunnerId,
        connection: u64,
    },
    /// The runner knows the limit of a target.
    Limit {
        target: TargetId,
        news: rate::News,
    },
    /// The runner knows that a target leaves.
    Departure(Departure),
    /// The runner knows that the leader's term is over, and the earliest fencing token that a leader may still have.
    Superseded {
        service: ServiceId,
        bound: Revision,
    },
    /// Text of an item that ran for an earlier leader.
    Retained {
        service: ServiceId,
        origin: Origin,
        progress: Progress,
        text_complete: bool,
    },
}

/// Sends commands to the runs' hosts.
pub struct Outbox {
    local: mpsc::UnboundedSender<Command>,
    sessions: BTreeMap<RunnerId, Connection>,
    /// Number of the last connection.
    last_connection: u64,
    events: mpsc::UnboundedSender<Event>,
}

/// A connection to a runner.
struct Connection {
    number: u64,
    commands: mpsc::UnboundedSender<Command>,
}

impl Outbox {
    pub fn new(
        local: mpsc::UnboundedSender<Command>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        Self { local, sessions: BTreeMap::new(), last_connection: 0, events }
    }

    /// Connects to a runner unless a connection exists or is being opened.
    pub fn connect(&mut self, runner: RunnerId, fence: Revision) {
        if self.sessions.contains_key(&runner) {
            return;
        }
        let (sender, commands) = mpsc::unbounded_channel();
        self.last_connection += 1;
        let number = self.last_connection;
        self.sessions.insert(runner.clone(), Connection { number, commands: sender });
        let (runs, events) = (HashMap::new(), self.events.clone());
        let session = Session { runner, number, fence, runs, events };
        tokio::task::spawn_local(session.run(commands));
    }

    /// Whether a connection is the one in use.
    pub fn is_current(&self, runner: &RunnerId, connection: u64) -> bool {
        self.sessions.get(runner).is_some_and(|current| current.number == connection)
    }

    /// Removes a connection that has ended; `false` if another one has replaced it.
    pub fn remove(&mut self, runner: &RunnerId, connection: u64) -> bool {
        self.is_current(runner, connection) && self.sessions.remove(runner).is_some()
    }

    /// Closes the connections of a service.
    pub fn disconnect_all(&mut self, service: &str) {
        self.sessions.retain(|(of, _), _| &**of != service);
    }

    /// Sends commands of a service's leader: those on runs to the runs' hosts, the others to the local traffic thread.
    pub fn send(&self, service: &ServiceId, commands: Vec<Command>) {
        for command in commands {
            let runner = match &command {
                Command::Run(run) => run.runner,
                Command::Stop { runner, .. } => *runner,
                _ => None,
            };
            match runner {
                Some(address) => self.send_to((service.clone(), address), command),
                None => {
                    if let Err(mpsc::error::SendError(Command::Run(run))) = self.local.send(command)
                    {
                        warn!(run = run.id; "run not started: traffic thread has ended");
                    }
                }
            }
        }
    }

    fn send_to(&self, runner: RunnerId, command: Command) {
        let unsent = match self.sessions.get(&runner) {
            Some(session) => session.commands.send(command).err().map(|error| error.0),
            None => Some(command),
        };
        if let Some(Command::Run(run)) = unsent {
            report_unrun(&self.events, &run);
        }
    }
}

/// Reports the end of a run that no host has started.
fn report_unrun(events: &mpsc::UnboundedSender<Event>, run: &Run) {
    let tracked = Tracked::new(run);
    report(events, Event::Run(RunReport::Ended { run: run.id, outcome: tracked.stopped() }));
}

fn report(events: &mpsc::UnboundedSender<Event>, event: Event) {
    if events.send(event).is_err() {
        log::debug!("control loop has ended");
    }
}

/// A run at a runner, with the text received so far.
struct Tracked {
    run: u64,
    assignment: Assignment,
    /// The text is complete, so the slot on the engine is free.
    generated: bool,
}

impl Tracked {
    fn new(run: &Run) -> Self {
        let assignment = run.assignment.clone();
        let generated = run.target.is_none();
        Self { run: run.id, generated, assignment }
    }

    fn outcome(&self, end: End) -> Outcome {
        Outcome {
            run: self.run,
            job: self.assignment.job.clone(),
            item: self.assignment.item,
            origin: self.assignment.origin.clone(),
            target: self.assignment.target.clone(),
            end,
            progress: self.assignment.progress.clone(),
            text_complete: self.assignment.target.is_none(),
            pace: None,
            judge_failures: 0,
            holds_slot: !self.generated,
            connection_broke: false,
        }
    }

    fn stopped(&self) -> Outcome {
        self.outcome(End::Stopped)
    }
}

/// A connection to a runner.
struct Session {
    runner: RunnerId,
    /// Number of the connection.
    number: u64,
    fence: Revision,
    runs: HashMap<u64, Tracked>,
    events: mpsc::UnboundedSender<Event>,
}

impl Session {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let reason = match self.open().await {
            Some(frames) => self.serve(frames, &mut commands).await,
            None => "not reached",
        };
        commands.close();
        while let Ok(command) = commands.try_recv() {
            if let Command::Run(run) = command {
                report_unrun(&self.events, &run);
            }
        }
        let (service, address) = &self.runner;
        info!(service = &**service, runner:% = address, runs = self.runs.len(), reason; "runner disconnected");
        for (run, tracked) in self.runs.drain() {
            let outcome = tracked.stopped();
            report(&self.events, Event::Run(RunReport::Ended { run, outcome }));
        }
        report(&self.events, Event::Lost { runner: self.runner, connection: self.number });
    }

    /// Connects, and waits until the runner has answered a heartbeat.
    async fn open(&mut self) -> Option<Frames> {
        let mut frames = peer::connect(self.runner.1).await?;
        let lead = Lead { service: self.runner.0.to_string(), fence: self.fence };
        let request = Request { kind: Some(Kind::Lead(lead)) };
        peer::feed(&mut frames, &request).await?;
        feed(&mut frames, Order::Ping(0)).await?;
        peer::flush(&mut frames).await?;
        let accepted = async {
            loop {
                let message = FromRunner::decode(frames.next().await?.ok()?).ok()?;
                if matches!(message.news, Some(News::Pong(_))) {
                    return Some(());
                }
                self.apply(message);
            }
        };
        timeout(ACCEPT_TIMEOUT, accepted).await.ok()??;
        let (runner, connection) = (self.runner.clone(), self.number);
        report(&self.events, Event::Connected { runner, connection });
        Some(frames)
    }

    async fn serve(
        &mut self,
        mut frames: Frames,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> &'static str {
        let mut pings = interval(PING_INTERVAL);
        pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (mut heard_at, mut number) = (Instant::now(), 0);
        loop {
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else {
                        return "closed by the leader";
                    };
                    if self.order(&mut frames, command).await.is_none() {
                        return "connection broke";
                    }
                    while let Ok(command) = commands.try_recv() {
                        if self.order(&mut frames, command).await.is_none() {
                            return "connection broke";
                        }
                    }
                    if peer::flush(&mut frames).await.is_none() {
                        return "connection broke";
                    }
                }
                frame = frames.next() => {
                    heard_at = Instant::now();
                    let Some(Ok(frame)) = frame else {
                        return "closed by the runner";
                    };
                    let Ok(message) = FromRunner::decode(frame) else {
                        return "message could not be decoded";
                    };
                    if !self.apply(message) {
                        return "text does not follow the one before";
                    }
                }
                _ = pings.tick() => {
                    if heard_at.elapsed() > RUNNER_TIMEOUT {
                        return "runner is silent";
                    }
                    number += 1;
                    let sent = feed(&mut frames, Order::Ping(number)).await;
                    if sent.is_none() || peer::flush(&mut frames).await.is_none() {
                        return "connection broke";
                    }
                }
            }
        }
    }

    /// Sends a command on a run.
    async fn order(&mut self, frames: &mut Frames, command: Command) -> Option<()> {
        match command {
            Command::Run(run) => {
                self.runs.insert(run.id, Tracked::new(&run));
                feed(frames, Order::Run(Box::new(RunItem::from(run.as_ref())))).await
            }
            Command::Stop { run, .. } => feed(frames, Order::Stop(run)).await,
            _ => Some(()),
        }
    }

    /// Applies a message of the runner. Returns `false` if it does not follow the one before.
    fn apply(&mut self, message: FromRunner) -> bool {
        match message.news {
            Some(News::Progress(part)) => {
                let run = part.run;
                let Some(tracked) = self.runs.get_mut(&run) else {
                    return true;
                };
                if !part.apply(&mut tracked.assignment.progress) {
                    return false;
                }
                let last_event = tracked.assignment.progress.last_event;
                report(&self.events, Event::Run(RunReport::Advanced { run, last_event }));
            }
            Some(News::Generated(generated)) => {
                if let Some(tracked) = self.runs.get_mut(&generated.run) {
                    tracked.generated = true;
                }
                report(&self.events, Event::Run(generated.into()));
            }
            Some(News::Ended(ended)) => return self.apply_end(*ended),
            Some(News::Leaving(_)) => report(&self.events, Event::Leaving(self.runner.clone())),
            Some(News::Retained(retained)) => {
                let (service, mut progress) = (self.runner.0.clone(), Progress::default());
                let text_complete = retained.text_complete;
                // A runner of an earlier build does not say what its text was generated for.
                if let Some(origin) = retained.origin()
                    && retained.part.is_some_and(|part| part.apply(&mut progress))
                {
                    let retained = Event::Retained { service, origin, progress, text_complete };
                    report(&self.events, retained);
                }
            }
            Some(News::Limit(limit)) => {
                let (target, news) = limit.into();
                report(&self.events, Event::Limit { target, news });
            }
            Some(News::Departure(departure)) => {
                report(&self.events, Event::Departure(departure.into()));
            }
            Some(News::Superseded(bound)) => {
                let service = self.runner.0.clone();
                report(&self.events, Event::Superseded { service, bound });
            }
            Some(News::Pong(_)) | None => {}
        }
        true
    }

    fn apply_end(&mut self, mut ended: peer::Ended) -> bool {
        let Some(part) = ended.part.take() else {
            return false;
        };
        let run = part.run;
        let Some(mut tracked) = self.runs.remove(&run) else {
            return true;
        };
        if !part.apply(&mut tracked.assignment.progress) {
            self.runs.insert(run, tracked);
            return false;
        }
        let outcome = Outcome {
            text_complete: ended.text_complete,
            pace: ended.pace_us.map(Duration::from_micros),
            judge_failures: ended.judge_failures,
            holds_slot: ended.holds_slot,
            connection_broke: ended.connection_broke,
            ..tracked.outcome(ended.decoded_end())
        };
        report(&self.events, Event::Run(RunReport::Ended { run, outcome }));
        true
    }
}

async fn feed(frames: &mut Frames, order: Order) -> Option<()> {
    peer::feed(frames, &ToRunner { order: Some(order) }).await
}
