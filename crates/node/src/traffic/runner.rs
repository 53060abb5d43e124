//! Runs items for the leader of a service on another host.
//!
//! The leader gives the items and gets their texts over one connection. A runner that hears nothing from the leader
//! stops its runs before the leader may give them to another host. It keeps their texts for the next leader.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use futures::StreamExt;
use log::{info, warn};
use prost::Message;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    events::Progress,
    job::Origin,
    peer::{
        self, Departure, Ended, Frames, FromRunner, Generated, Lead, Limit, News, Order, Retained,
        RunItem, TextPart, ToRunner,
    },
    prelude::*,
    term,
    traffic::{Report, Run, RunReport, run, serve::Traffic, stop},
};

/// Silence of the leader after which its runs are stopped. A leader waits longer before it counts a runner as lost.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which the texts of stopped runs are kept for the next leader.
const TEXT_RETENTION: Duration = Duration::from_secs(15);
/// Largest total size of the kept texts.
const TEXT_BYTES_MAX: usize = 8 << 20;

/// An unfinished text.
#[derive(Clone, Debug)]
struct Text {
    progress: Progress,
    complete: bool,
    stopped_at: Instant,
}

/// What a host keeps between the connections of leaders.
#[derive(Debug, Default)]
pub struct Runner {
    /// Terms that are over by the leaders that have connected. They end the connections of earlier leaders and nothing else:
    /// at the address of a host that is gone, a host of another deployment may answer or call.
    connected: term::Table,
    texts: RefCell<HashMap<Origin, Text>>,
}

impl Runner {
    fn keep_text(&self, origin: Origin, progress: Progress, complete: bool) {
        if progress.last_event == 0 {
            return;
        }
        let mut texts = self.texts.borrow_mut();
        texts.retain(|_, text| text.stopped_at.elapsed() < TEXT_RETENTION);
        let bytes: usize = texts.values().map(|text| text.progress.text.len()).sum();
        if bytes + progress.text.len() <= TEXT_BYTES_MAX {
            texts.insert(origin, Text { progress, complete, stopped_at: Instant::now() });
        }
    }

    fn take_texts(&self) -> Vec<(Origin, Text)> {
        let texts = self.texts.borrow_mut().drain().collect::<Vec<_>>();
        texts.into_iter().filter(|(_, text)| text.stopped_at.elapsed() < TEXT_RETENTION).collect()
    }
}

/// A run of this connection.
struct ActiveRun {
    /// `None` once the run was told to stop.
    stop: Option<oneshot::Sender<()>>,
    /// Bytes of the text that the leader has.
    sent: usize,
}

/// A connection of a leader.
struct Session {
    traffic: Rc<Traffic>,
    lead: Lead,
    frames: Frames,
    runs: HashMap<u64, ActiveRun>,
    /// Reports of the runs.
    sender: mpsc::UnboundedSender<Report>,
    /// An item was refused, as the leader sends none with a workspace.
    refuses: bool,
}

/// Serves the connection of a leader until it ends.
pub async fn serve_leader(traffic: Rc<Traffic>, lead: Lead, frames: Frames) {
    if traffic.view.load().config.is_none() {
        info!(service = lead.service, fence = lead.fence; "leader refused: no configuration is known yet");
        return;
    }
    let (sender, reports) = mpsc::unbounded_channel();
    let mut session =
        Session { traffic, lead, frames, runs: HashMap::new(), sender, refuses: false };
    let lead = &session.lead;
    if session.is_over() {
        warn!(service = lead.service, fence = lead.fence; "leader refused: its term is over");
        session.report_superseded().await;
        return;
    }
    info!(service = lead.service, fence = lead.fence; "running items for a leader");
    session.traffic.runner.connected.begin(&lead.service, lead.fence);
    session.serve(reports).await;
}

impl Session {
    /// Whether the leader is known to lead no longer.
    fn is_over(&self) -> bool {
        let Lead { service, fence } = &self.lead;
        let connected = &self.traffic.runner.connected;
        self.traffic.terms.is_over(service, *fence) || connected.is_over(service, *fence)
    }

    /// Tells the leader why its connection ends.
    async fn report_superseded(&mut self) {
        let service = &self.lead.service;
        let connected = self.traffic.runner.connected.bound(service);
        let bound = self.traffic.terms.bound(service).max(connected);
        if self.feed(News::Superseded(bound)).await.is_some() {
            // The connection ends either way.
            let _ = self.flush().await;
        }
    }

    async fn serve(&mut self, mut reports: mpsc::UnboundedReceiver<Report>) {
        if self.send_state().await.is_none() {
            return;
        }
        let mut heard_at = Instant::now();
        let (traffic, lead) = (Rc::clone(&self.traffic), self.lead.clone());
        let stopping = stop::requested(&traffic);
        let mut stopping = std::pin::pin!(stopping);
        let known = traffic.terms.over(&lead.service, lead.fence);
        let connected = traffic.runner.connected.over(&lead.service, lead.fence);
        let (mut known, mut connected) = (std::pin::pin!(known), std::pin::pin!(connected));
        let mut leaving = false;
        let reason = loop {
            tokio::select! {
                () = &mut known => {
                    self.report_superseded().await;
                    break "its term is over";
                }
                () = &mut connected => {
                    self.report_superseded().await;
                    break "a newer leader has connected";
                }
                frame = self.frames.next() => {
                    heard_at = Instant::now();
                    let Some(Ok(frame)) = frame else {
                        break "connection closed";
                    };
                    if self.is_over() {
                        continue;
                    }
                    let Ok(message) = ToRunner::decode(frame) else {
                        break "message could not be decoded";
                    };
                    if self.apply(message, leaving).await.is_none() {
                        break if self.refuses { "items have no workspace" } else { "connection broke" };
                    }
                }
                Some(report) = reports.recv() => {
                    if self.report(report).await.is_none() {
                        break "connection broke";
                    }
                    while let Ok(report) = reports.try_recv() {
                        if self.report(report).await.is_none() {
                            break;
                        }
                    }
                    if self.flush().await.is_none() {
                        break "connection broke";
                    }
                    if leaving && self.runs.is_empty() {
                        break "stopping";
                    }
                }
                () = sleep_until(heard_at + LEADER_TIMEOUT) => break "leader is silent",
                () = &mut stopping, if !leaving => {
                    leaving = true;
                    self.stop_all();
                    let sent = self.feed(News::Leaving(true)).await;
                    if sent.is_none() || self.flush().await.is_none() {
                        break "connection broke";
                    }
                    if self.runs.is_empty() {
                        break "stopping";
                    }
                }
            }
        };
        info!(service = lead.service, fence = lead.fence, runs = self.runs.len(), reason; "no longer running items for a leader");
        self.keep_texts(reports).await;
    }

    /// Stops the runs and keeps their texts for the next leader.
    async fn keep_texts(&mut self, mut reports: mpsc::UnboundedReceiver<Report>) {
        self.stop_all();
        while !self.runs.is_empty() {
            match reports.recv().await {
                Some(Report::Run(RunReport::Ended { run, outcome })) => {
                    self.runs.remove(&run);
                    let text = (outcome.progress, outcome.text_complete);
                    self.traffic.runner.keep_text(outcome.origin, text.0, text.1);
                }
                Some(_) => {}
                None => return,
            }
        }
    }

    fn stop_all(&mut self) {
        for stop in self.runs.values_mut().filter_map(|run| run.stop.take()) {
            // The send fails only if the run has just ended.
            let _ = stop.send(());
        }
    }

    /// Sends what a new leader has to know before items start: the limits of the engines, those that leave, and the texts kept.
    async fn send_state(&mut self) -> Option<()> {
        for (target, news) in self.traffic.limits.all() {
            self.feed(News::Limit(Limit::new(&target, news))).await?;
        }
        let view = self.traffic.view.load_full();
        for target in view.targets.values().filter(|target| target.draining) {
            self.feed(News::Departure(Departure::new(&target.id, target.started_ms))).await?;
        }
        for (origin, text) in self.traffic.runner.take_texts() {
            self.feed(News::Retained(Retained {
                item: origin.item.to_string(),
                content: origin.content.to_bytes().to_vec(),
                part: Some(TextPart::new(0, &text.progress, 0)),
                text_complete: text.complete,
            }))
            .await?;
        }
        self.flush().await
    }

    async fn apply(&mut self, message: ToRunner, leaving: bool) -> Option<()> {
        match message.order {
            Some(Order::Run(item)) => self.start(*item, leaving).await?,
            Some(Order::Stop(run)) => {
                if let Some(stop) = self.runs.get_mut(&run).and_then(|run| run.stop.take()) {
                    let _ = stop.send(());
                }
            }
            Some(Order::Ping(number)) => {
                self.feed(News::Pong(number)).await?;
                self.flush().await?;
            }
            None => {}
        }
        Some(())
    }

    async fn start(&mut self, item: RunItem, leaving: bool) -> Option<()> {
        let (id, unstarted) = (item.run, Ended::unstarted(&item));
        let (job, name, target) = (item.job.clone(), item.item.clone(), item.target.clone());
        let run = match Run::try_from(item) {
            Ok(run) => run,
            Err(error) => {
                warn!(run = id, job, item = name, target_id = target, reason:% = error; "item not run: its engine's address is malformed");
                // Without a report the leader would wait for the run's end as long as the connection lasts.
                self.feed(News::Ended(Box::new(unstarted))).await?;
                return self.flush().await;
            }
        };
        if run::lacks_workspace(&self.traffic, &run) {
            return self.refuse(unstarted).await;
        }
        let (stop, stopped) = oneshot::channel();
        let sent = run.assignment.progress.text.len();
        self.runs.insert(id, ActiveRun { stop: Some(stop), sent });
        let (traffic, reports) = (Rc::clone(&self.traffic), self.sender.clone());
        tokio::task::spawn_local(async move {
            let report = run::run(traffic, Box::new(run), stopped, &reports).await;
            // The send fails only if the connection has ended without its runs.
            let _ = reports.send(Report::Run(report));
        });
        if leaving {
            // It reports its end like any other run, and the leader gives the item to another host.
            self.stop_all();
        }
        Some(())
    }

    /// Refuses an item without a workspace and ends the connection: a leader of an earlier build sends no workspaces, and gives
    /// the engines of a host that leaves to others.
    async fn refuse(&mut self, unstarted: Ended) -> Option<()> {
        self.refuses = true;
        self.feed(News::Leaving(true)).await?;
        self.feed(News::Ended(Box::new(unstarted))).await?;
        self.flush().await?;
        None
    }

    async fn report(&mut self, report: Report) -> Option<()> {
        let report = match report {
            Report::Run(report) => report,
            Report::Limit { target, news } => {
                return self.feed(News::Limit(Limit::new(&target, news))).await;
            }
            // The runs make no other reports.
            _ => return Some(()),
        };
        let id = report.run();
        let Some(run) = self.runs.get_mut(&id) else {
            return Some(());
        };
        let news = match report {
            RunReport::Progress { progress, .. } => {
                let part = TextPart::new(id, &progress, run.sent);
                run.sent = progress.text.len();
                News::Progress(part)
            }
            // Only the connection to a runner makes this report.
            RunReport::Advanced { .. } => return Some(()),
            RunReport::Generated { pace, .. } => News::Generated(Generated::new(id, pace)),
            RunReport::Ended { outcome, .. } => {
                let ended = Ended::new(id, &outcome, run.sent);
                self.runs.remove(&id);
                News::Ended(Box::new(ended))
            }
        };
        self.feed(news).await
    }

    async fn feed(&mut self, news: News) -> Option<()> {
        peer::feed(&mut self.frames, &FromRunner { news: Some(news) }).await
    }

    async fn flush(&mut self) -> Option<()> {
        peer::flush(&mut self.frames).await
    }
}
