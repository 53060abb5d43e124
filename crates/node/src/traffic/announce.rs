//! Tells other hosts what targets say of themselves in their answers: limits that begin, change or end, and that they
//! leave; and under which contents they end.
//!
//! A host hears it from answers to its own requests. In a large deployment it sends few requests to each target, so without
//! the others it would learn of most too late. What one host hears goes to the holder of the target's quota, and from there
//! to all hosts. What it sees of contents goes to all hosts directly, and again to those that do not answer.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
};

use futures::StreamExt;
use http::StatusCode;
use tokio::{
    sync::Notify,
    time::{Instant, interval},
};

use crate::{
    clock,
    crash::Content,
    dialect::Answer,
    fleet::Departure,
    peer::{self, Kind, Limit, Notice, Suspect},
    prelude::*,
    traffic::{Report, Source, permit, serve::Traffic, suspects},
};

/// Interval at which changes are sent.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time for a host to answer.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Hosts that are told at the same time.
const CONCURRENT_HOSTS: usize = 16;
/// Time for which a host that does not answer is told of contents again.
const RETELL_TIME: Duration = Duration::from_secs(60);

/// What has changed since the last announcement.
#[derive(Debug, Default)]
pub struct Changes {
    /// Targets whose limits have changed.
    limits: RefCell<BTreeSet<TargetId>>,
    /// Targets that leave, with the start time of the instance.
    departures: RefCell<BTreeMap<TargetId, u64>>,
    /// Contents whose records have changed.
    contents: RefCell<BTreeSet<Content>>,
    unheard: RefCell<BTreeMap<SocketAddr, Unheard>>,
    /// Ends the wait for the next interval.
    urgent: Notify,
}

/// Contents of which a host has not heard.
#[derive(Debug)]
struct Unheard {
    contents: BTreeSet<Content>,
    since: Instant,
    /// The host is being told.
    in_progress: bool,
}

impl Default for Unheard {
    fn default() -> Self {
        Self { contents: BTreeSet::new(), since: Instant::now(), in_progress: false }
    }
}

impl Changes {
    /// Has other hosts told of a content.
    pub fn tell(&self, content: Content) {
        self.contents.borrow_mut().insert(content);
    }

    /// The same, before the interval has passed.
    pub fn tell_at_once(&self, content: Content) {
        self.tell(content);
        self.urgent.notify_one();
    }
}

/// Records what an answer of a target, an instance with a start time, says of it. A misdirected request was answered by
/// another one.
pub fn record(
    traffic: &Traffic,
    (target, started_ms): (&TargetId, u64),
    status: StatusCode,
    answer: &Answer,
    sent_at: Time,
) {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if answer.leaving && !is_leaving(traffic, target, started_ms) {
        traffic.changes.departures.borrow_mut().insert(target.clone(), started_ms);
        depart(traffic, Departure { target: target.clone(), started_ms }, Source::Answer);
    }
    // The control thread shares the table, so it hears of changes only.
    if traffic.limits.record(target, answer.limit, sent_at, clock::now()) {
        traffic.changes.limits.borrow_mut().insert(target.clone());
        report(traffic, target);
    }
}

/// Whether an instance of a target is known to leave, by its registration or by an answer.
pub fn is_leaving(traffic: &Traffic, target: &TargetId, started_ms: u64) -> bool {
    let view = traffic.view.load();
    let known = view.targets.get(target);
    known.is_some_and(|known| known.draining && known.started_ms == started_ms)
}

/// Adopts what another host has heard, and tells the other hosts if it is for this one to do so.
pub fn apply(traffic: &Traffic, notice: Notice) {
    suspects::apply(traffic, notice.suspects);
    for departure in notice.departures {
        let departure = Departure::from(departure);
        if is_leaving(traffic, &departure.target, departure.started_ms) {
            continue;
        }
        if notice.forward {
            let mut departures = traffic.changes.departures.borrow_mut();
            departures.insert(departure.target.clone(), departure.started_ms);
        }
        depart(traffic, departure, Source::Host);
    }
    for limit in notice.limits {
        let (target, news) = limit.into();
        if !traffic.limits.merge(&target, news) {
            continue;
        }
        report(traffic, &target);
        if notice.forward {
            traffic.changes.limits.borrow_mut().insert(target);
        }
    }
}

/// Tells the control thread, which has the target count as draining.
fn depart(traffic: &Traffic, departure: Departure, source: Source) {
    if traffic.reports.send(Report::Departure { departure, source }).is_err() {
        log::debug!("control thread has ended");
    }
}

/// Tells the control thread, which starts items on engines.
fn report(traffic: &Traffic, target: &TargetId) {
    if let Some(news) = traffic.limits.news(target)
        && traffic.reports.send(Report::Limit { target: target.clone(), news }).is_err()
    {
        log::debug!("control thread has ended");
    }
}

/// Sends the changes until the process ends.
pub async fn run(traffic: Rc<Traffic>) {
    let mut ticks = interval(INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = traffic.changes.urgent.notified() => {}
        }
        let notices = notices(&traffic);
        if !notices.is_empty() {
            // A host that does not answer must not hold up what others are told.
            tokio::task::spawn_local(send(Rc::clone(&traffic), notices));
        }
    }
}

/// Takes the changes, and returns what each host is to be told.
fn notices(traffic: &Traffic) -> BTreeMap<SocketAddr, Notice> {
    let mut notices: BTreeMap<SocketAddr, Notice> = BTreeMap::new();
    for target in traffic.changes.limits.take() {
        if let Some(news) = traffic.limits.news(&target) {
            let limit = Limit::new(&target, news);
            tell(traffic, &mut notices, &target, |notice| notice.limits.push(limit.clone()));
        }
    }
    for (target, started_ms) in traffic.changes.departures.take() {
        let departure = peer::Departure::new(&target, started_ms);
        tell(traffic, &mut notices, &target, |notice| notice.departures.push(departure.clone()));
    }
    for (host, contents) in contents_by_host(traffic) {
        let known = contents.iter().filter_map(|content| {
            let record = traffic.crashes.record(*content)?;
            Some(Suspect::new(*content, &record))
        });
        let suspects: Vec<Suspect> = known.collect();
        notices.entry(host).or_default().suspects.extend(suspects);
    }
    notices
}

/// Takes the contents of which each host is to be told, those included of which it has not heard. All count as unheard until
/// the host answers.
fn contents_by_host(traffic: &Traffic) -> BTreeMap<SocketAddr, BTreeSet<Content>> {
    let hosts = traffic.hosts.all();
    let hosts: BTreeSet<SocketAddr> = hosts.iter().filter_map(|host| host.peer).collect();
    // Shortly after the start no other host is known yet.
    if hosts.is_empty() {
        return BTreeMap::new();
    }
    let changed = traffic.changes.contents.take();
    let mut unheard = traffic.changes.unheard.borrow_mut();
    unheard.retain(|host, it| hosts.contains(host) && it.since.elapsed() < RETELL_TIME);
    if !changed.is_empty() {
        for host in hosts {
            unheard.entry(host).or_default().contents.extend(&changed);
        }
    }
    let to_tell = unheard.iter_mut().filter(|(_, it)| !it.in_progress);
    to_tell
        .map(|(host, it)| {
            it.in_progress = true;
            (*host, it.contents.clone())
        })
        .collect()
}

/// Adds news of a target to the notice for the holder of its quota, or, at the holder, to those for all hosts.
fn tell(
    traffic: &Traffic,
    notices: &mut BTreeMap<SocketAddr, Notice>,
    target: &TargetId,
    add: impl Fn(&mut Notice),
) {
    let known = traffic.view.load().targets.get(target).cloned();
    let holder = known.and_then(|target| permit::holder(traffic, &target).1);
    match holder.filter(|holder| Some(*holder) != traffic.settings.peer) {
        Some(holder) => {
            let notice = notices.entry(holder).or_default();
            notice.forward = true;
            add(notice);
        }
        None => {
            for host in traffic.hosts.all().iter().filter_map(|host| host.peer) {
                add(notices.entry(host).or_default());
            }
        }
    }
}

async fn send(traffic: Rc<Traffic>, notices: BTreeMap<SocketAddr, Notice>) {
    let traffic = &traffic;
    let calls = notices.into_iter().map(|(host, notice)| async move {
        let told = contents_of(&notice);
        // A host that misses other news hears them by the answer to its next request.
        let response = traffic.peers.call(host, Kind::Notice(notice), TIMEOUT).await;
        if !told.is_empty() {
            end_telling(traffic, host, &told, response.is_some());
        }
    });
    futures::stream::iter(calls).buffer_unordered(CONCURRENT_HOSTS).collect::<Vec<()>>().await;
}

fn contents_of(notice: &Notice) -> Vec<Content> {
    let contents = notice.suspects.iter();
    contents.filter_map(|suspect| Content::try_from(suspect.content.as_slice()).ok()).collect()
}

fn end_telling(traffic: &Traffic, host: SocketAddr, told: &[Content], is_heard: bool) {
    let mut unheard = traffic.changes.unheard.borrow_mut();
    let Some(entry) = unheard.get_mut(&host) else {
        return;
    };
    entry.in_progress = false;
    if is_heard {
        entry.contents.retain(|content| !told.contains(content));
        entry.since = Instant::now();
    }
    if entry.contents.is_empty() {
        unheard.remove(&host);
    }
}
