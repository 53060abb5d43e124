//! Whether a target has ended, after a connection to it broke or it gave no answer.
//!
//! A connection also breaks when only it is reset, when an answer is no answer, when the links of this host are cut, or when
//! the host that carries it ends. A target that has ended takes no new connections, neither from this host nor from others.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use tokio::time::{Instant, sleep};

use crate::{
    clock, links,
    prelude::*,
    traffic::{
        Endpoint, announce,
        channel::{Channel, Liveness},
        connect::CONNECT_TIMEOUT,
        serve::Traffic,
        tunnel::{self, Word},
    },
};

/// Time for which a finding serves all requests whose connections to the same instance broke.
const FINDING_TTL: Duration = Duration::from_millis(300);
/// Time for which a new connection has to stay open until the target counts as sound.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(50);

/// What is found of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    Ended,
    /// It takes connections, or it was told to stop.
    Sound,
    Unknown,
}

impl Finding {
    /// Label in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Sound => "sound",
            Self::Unknown => "unknown",
        }
    }
}

type SharedFinding = Shared<LocalBoxFuture<'static, Finding>>;

/// A look at a target.
#[derive(Clone)]
pub struct Look {
    begun: Instant,
    /// What is found at once.
    pub first: SharedFinding,
    /// The same, after a connection that was opened at once has stayed open for a time: a target that ends may still take
    /// one.
    pub settled: SharedFinding,
}

/// Why this host looks at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    ConnectionBroke,
    /// No byte of an answer came for a time.
    Silence,
}

/// Looks at targets, by instance and cause.
#[derive(Default)]
pub struct Looks(RefCell<HashMap<(TargetId, u64, Cause), Look>>);

impl Looks {
    /// Drops what has run out.
    pub fn sweep(&self) {
        self.0.borrow_mut().retain(|_, look| look.begun.elapsed() < FINDING_TTL);
    }
}

/// Looks whether a target has ended, or joins a look that has just begun.
pub fn look(traffic: &Rc<Traffic>, target: &Endpoint, cause: Cause) -> Look {
    let mut looks = traffic.looks.0.borrow_mut();
    let key = (target.id.clone(), target.started_ms, cause);
    if let Some(look) = looks.get(&key).filter(|look| look.begun.elapsed() < FINDING_TTL) {
        return look.clone();
    }
    let look = begin(traffic, target, cause);
    looks.insert(key, look.clone());
    look
}

/// Connection that a look has opened.
type Held = Rc<RefCell<Option<Channel>>>;

fn begin(traffic: &Rc<Traffic>, target: &Endpoint, cause: Cause) -> Look {
    let held = Held::default();
    let (to, at, channel) = (Rc::clone(traffic), target.clone(), Rc::clone(&held));
    let first = async move { find(&to, &at, cause, &channel).await }.boxed_local().shared();
    let (to, at, before) = (Rc::clone(traffic), target.clone(), first.clone());
    let settled = async move {
        let finding = before.await;
        let Some(channel) = held.take() else {
            return finding;
        };
        sleep(SETTLE_TIME).await;
        if channel.is_closed() {
            return find(&to, &at, cause, &held).await;
        }
        to.channels.keep(at.address, channel, None);
        finding
    };
    Look { begun: Instant::now(), first, settled: settled.boxed_local().shared() }
}

async fn find(traffic: &Rc<Traffic>, target: &Endpoint, cause: Cause, held: &Held) -> Finding {
    if cause == Cause::Silence {
        // A host that only runs items may not know the target, nor its zone.
        traffic.freshness.wait_for_refresh().await;
    }
    if announce::is_leaving(traffic, &target.id, target.started_ms) {
        return Finding::Sound;
    }
    match cause {
        Cause::ConnectionBroke => find_after_break(traffic, target, held).await,
        Cause::Silence => find_after_silence(traffic, target, held).await,
    }
}

/// A zone that is cut off is as silent as a target that has ended, so only what hosts near the target see counts, however
/// this host fails to reach it.
async fn find_after_silence(traffic: &Rc<Traffic>, target: &Endpoint, held: &Held) -> Finding {
    if connect(traffic, target, held).await.is_none() {
        return Finding::Sound;
    }
    match tunnel::ask_about(traffic, target, links::Failure::Silent).await {
        Word::Reached => Finding::Sound,
        Word::Unreachable => Finding::Ended,
        Word::Unsure | Word::NoAnswer => Finding::Unknown,
    }
}

async fn find_after_break(traffic: &Rc<Traffic>, target: &Endpoint, held: &Held) -> Finding {
    // A host that is cut off sees nothing by itself.
    let seen = match traffic.links.cut_since() {
        Some(_) => links::Failure::Refused,
        None => match connect(traffic, target, held).await {
            None => return Finding::Sound,
            Some(failure) => failure,
        },
    };
    match tunnel::ask_about(traffic, target, seen).await {
        Word::Reached => Finding::Sound,
        Word::Unreachable => Finding::Ended,
        Word::NoAnswer
            if seen == links::Failure::Refused && traffic.links.cut_since().is_none() =>
        {
            Finding::Ended
        }
        Word::Unsure | Word::NoAnswer => Finding::Unknown,
    }
}

/// Opens a connection to a target. Returns why that failed, if it did.
async fn connect(traffic: &Traffic, target: &Endpoint, held: &Held) -> Option<links::Failure> {
    let by = Instant::now() + CONNECT_TIMEOUT;
    match Channel::open(target.address, Liveness::Deadline, by).await {
        Ok(channel) => {
            traffic.links.opened(&target.id, clock::now());
            *held.borrow_mut() = Some(channel);
            None
        }
        Err(error) => Some(error.failure()),
    }
}
