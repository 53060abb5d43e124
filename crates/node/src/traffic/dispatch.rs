//! Dispatch of requests to plain services: attempts, retries and hedging within the deadline of a request.
//!
//! An idempotent request is retried after errors, and hedged: when an attempt is slower than usual, another one starts
//! on another target. Any other request is retried only if nothing was sent or if the target stated that it did not run
//! the request.

use std::{rc::Rc, sync::Arc};

use futures::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use http::StatusCode;
use log::debug;
use tokio::time::{Instant, sleep_until};

use crate::{
    config::{Kind, Route},
    crash::Run,
    fleet::Target,
    metrics::METERS,
    prelude::*,
    traffic::{
        exchange::{Call, ExchangeError, InFlight, Repeat, Response, demand, exchange},
        permit,
        select::{Selection, Wanted, select},
        serve::Traffic,
        suspects::{self, Admission, Suspect},
        turn::{self, Turn},
    },
};

/// A hedge starts after this multiple of the usual response time of the route, within the bounds below. The average of a target
/// mixes routes, so long requests would nearly always be hedged beside short ones.
const HEDGE_DELAY_AVERAGES: u32 = 3;
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(80);
const HEDGE_DELAY_MAX: Duration = Duration::from_millis(600);
/// Delay before all targets are tried again when none is left to try.
pub(super) const REFUSED_BACKOFF: Duration = Duration::from_millis(20);

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No target has run the request, and none will.
    NotRun,
    /// The same, because the targets have no room; with the time after which to try again.
    NoRoom(Duration),
    /// The same, because the targets' limits are reached; with the time after which to try again.
    Limited(Duration),
    /// The same, because targets ended under its content.
    Held(Duration),
    /// A target may have run the request.
    Unknown,
    /// The deadline passed while a target may still have been processing the request.
    Timeout,
}

/// How an attempt ended.
enum Outcome {
    Answered(Response),
    /// The target stated that it did not run the request, or nothing was sent.
    NotRun,
    /// The same, unless that was a second copy of an earlier refusal.
    Doubtful,
    /// Nothing was sent, because the target's limit is reached.
    Limited {
        target: TargetId,
        retry_after: Duration,
    },
    /// There is no valid response, and the target may have run the request.
    Broken,
}

/// State of a request between its attempts.
struct Dispatch<'a> {
    traffic: &'a Rc<Traffic>,
    route: &'a Route,
    call: &'a Call,
    service: ServiceId,
    idempotent: bool,
    admission: Admission,
    /// Targets tried so far; cleared when none is left to try.
    tried: Vec<TargetId>,
    /// Attempts that count before the targets tried were cleared.
    ran_before: u32,
    /// Attempts that a target may have run.
    maybe_run: u32,
    /// Attempts with a refusal that may be a second copy of an earlier one.
    doubtful: u32,
    /// Attempts that a target answered with status 500.
    failures: u32,
    last_failure: Option<Response>,
    /// Targets whose limit is reached, and the shortest time after which one takes a request.
    limited: Vec<TargetId>,
    retry_after: Option<Duration>,
    /// Time for which the content is held since targets ended under it.
    held_for: Option<Duration>,
    /// Turn among the requests that wait for targets with room.
    turn: Option<Turn>,
}

/// Sends a request to targets of its route, with retries and hedges, and returns the response or why there is none.
pub async fn dispatch(
    traffic: &Rc<Traffic>,
    route: &Route,
    call: &Call,
) -> Result<Response, Failure> {
    let service = route.service(&call.id).cloned().ok_or(Failure::NotRun)?;
    let admission = suspects::admit(traffic, call).await.map_err(Failure::Held)?;
    let state = Dispatch {
        traffic,
        route,
        call,
        service,
        idempotent: route.kind == Kind::Idempotent,
        admission,
        tried: Vec::new(),
        ran_before: 0,
        maybe_run: 0,
        doubtful: 0,
        failures: 0,
        last_failure: None,
        limited: Vec::new(),
        retry_after: None,
        held_for: None,
        turn: None,
    };
    state.run().await
}

impl Dispatch<'_> {
    async fn run(mut self) -> Result<Response, Failure> {
        let mut refuse_at = None;
        let mut in_flight: FuturesUnordered<LocalBoxFuture<'static, Outcome>> =
            FuturesUnordered::new();
        let mut next_attempt_at = Some(Instant::now());
        loop {
            if next_attempt_at.is_some_and(|at| at <= Instant::now()) {
                if in_flight.is_empty() {
                    self.traffic.freshness.wait_for_refresh().await;
                }
                // A request that no target accepts is refused well before its deadline, so that the caller has time to
                // retry.
                let refuse_at = *refuse_at.get_or_insert_with(|| {
                    (Instant::now() + self.route.objective / 4).min(self.call.deadline)
                });
                if self.is_behind_others() {
                    self.wait_turn(refuse_at).await?;
                }
                next_attempt_at = match self.start_attempt() {
                    Some((attempt, hedge_delay)) => {
                        in_flight.push(attempt);
                        let hedges = self.admission == Admission::Free && self.may_retry();
                        hedges.then(|| Instant::now() + hedge_delay)
                    }
                    None if in_flight.is_empty()
                        && self.retry_after.is_none()
                        && self.held_for.is_none()
                        && self.maybe_run + self.doubtful < self.attempts_max()
                        && Instant::now() < refuse_at =>
                    {
                        self.ran_before = self.maybe_run + self.doubtful;
                        self.tried.clear();
                        Some(self.wait_turn(refuse_at).await?)
                    }
                    None if in_flight.is_empty() => {
                        let failure = self.refuse();
                        // An error response from a target is more useful to the caller than the error of a later
                        // attempt.
                        return self.last_failure.ok_or(failure);
                    }
                    None => None,
                };
            }
            let wake = next_attempt_at.map_or(self.call.deadline, |at| at.min(self.call.deadline));
            tokio::select! {
                Some(outcome) = in_flight.next(), if !in_flight.is_empty() => {
                    if let Some(result) = self.finish_attempt(outcome) {
                        return result;
                    }
                    if in_flight.is_empty() {
                        next_attempt_at = Some(Instant::now());
                    }
                }
                () = sleep_until(wake) => {
                    if Instant::now() >= self.call.deadline {
                        return self.last_failure.ok_or(if self.maybe_run == 0 && in_flight.is_empty() {
                            Failure::NotRun
                        } else {
                            Failure::Timeout
                        });
                    }
                }
            }
        }
    }

    /// Whether other requests wait for the targets, of which this one has tried none yet.
    fn is_behind_others(&self) -> bool {
        let has_tried = !self.tried.is_empty() || !self.limited.is_empty() || self.ran() > 0;
        let is_new = self.turn.is_none() && !has_tried;
        let Traffic { turns, view, pool, .. } = &**self.traffic;
        is_new && turn::is_contended(turns, &view.load(), &pool.borrow(), &self.service)
    }

    /// Waits until the request may try targets again. Returns the time of the next attempt. A request that a target may have
    /// run is retried at intervals, so that its response is not lost to a refusal, and so is one that may wait no longer than
    /// an interval.
    async fn wait_turn(&mut self, refuse_at: Instant) -> Result<Instant, Failure> {
        let retry_at = Instant::now() + REFUSED_BACKOFF;
        let is_short = self.route.objective / 4 <= REFUSED_BACKOFF;
        if self.ran() > 0 || is_short || !self.traffic.view.load().has_workspaces() {
            return Ok(retry_at);
        }
        let new = || Turn::new(&self.traffic.turns, (self.route, &self.service), self.call);
        let waited = self.turn.get_or_insert_with(new).wait(refuse_at.max(retry_at)).await;
        waited.map_err(|refusal| Failure::NoRoom(refusal.retry_after))?;
        Ok(Instant::now())
    }

    /// Attempts that a target may have run.
    fn ran(&self) -> u32 {
        self.maybe_run + self.doubtful
    }

    fn may_retry(&self) -> bool {
        self.idempotent && self.may_attempt()
    }

    /// Whether the route allows another attempt.
    fn may_attempt(&self) -> bool {
        self.ran_before + (self.tried.len() as u32) < self.attempts_max()
    }

    fn attempts_max(&self) -> u32 {
        if self.admission == Admission::Once { 1 } else { self.route.max_attempts }
    }

    /// Ends the turn of the request. Returns why it is refused.
    fn refuse(&mut self) -> Failure {
        let failure = self.failure();
        let turn = self.turn.take().filter(|_| self.ran() == 0);
        match (turn, failure) {
            (Some(turn), Failure::NotRun) => Failure::NoRoom(turn.give_up().retry_after),
            (Some(turn), _) => {
                turn.pass();
                failure
            }
            (None, _) => failure,
        }
    }

    fn failure(&self) -> Failure {
        match (self.held_for, self.retry_after) {
            _ if self.maybe_run > 0 => Failure::Unknown,
            (Some(left), _) => Failure::Held(left),
            (None, Some(retry_after)) => Failure::Limited(retry_after),
            (None, None) => Failure::NotRun,
        }
    }

    /// Starts an attempt. Returns it and the delay after which a hedge may start.
    fn start_attempt(&mut self) -> Option<(LocalBoxFuture<'static, Outcome>, Duration)> {
        if !self.may_attempt() {
            return None;
        }
        if self.admission != Admission::Once {
            self.held_for = suspects::held_for(self.traffic, self.call);
            if self.held_for.is_some() {
                return None;
            }
        }
        let view = self.traffic.view.load();
        let now = std::time::Instant::now();
        let (channels, demand) = (&self.traffic.channels, demand(&self.call.id, self.repeat()));
        let connection = |target: &Target| channels.connection(target.address, demand);
        let pool = self.traffic.pool.borrow();
        let mut excluded = self.tried.clone();
        excluded.append(&mut self.limited.clone());
        let wanted = Wanted { service: &self.service, excluded };
        let refused_for = |id: &str| permit::refused_for(self.traffic, id, self.route.priority);
        let Selection { target, refused } =
            select(&pool, &view, wanted, refused_for, connection, now);
        let Some(target) = target else {
            drop(pool);
            refused.iter().for_each(|(_, left)| self.refuse_until(*left));
            return None;
        };
        let hedge_delay = (pool.usual(&self.route.name, &target.id) * HEDGE_DELAY_AVERAGES)
            .clamp(HEDGE_DELAY_MIN, HEDGE_DELAY_MAX);
        drop(pool);
        self.tried.push(target.id.clone());
        let traffic = Rc::clone(self.traffic);
        let sending = Sending {
            route: self.route.name.clone(),
            priority: self.route.priority,
            repeat: self.repeat(),
            alone: self.admission != Admission::Free,
        };
        let attempt = attempt(traffic, target, self.call.clone(), sending);
        Some((attempt.boxed_local(), hedge_delay))
    }

    /// Whether the request may run again after the attempt that begins. The last one leaves no room for doubt.
    fn repeat(&self) -> Repeat {
        match self.idempotent {
            true if self.may_attempt() => Repeat::AfterDoubt,
            true => Repeat::AfterFailure,
            false => Repeat::Never,
        }
    }

    /// Records that a target takes a request after a time.
    fn refuse_until(&mut self, retry_after: Duration) {
        let known = self.retry_after.unwrap_or(retry_after);
        self.retry_after = Some(known.min(retry_after));
    }

    /// Records the outcome of an attempt. Returns the result of the request if the outcome decides it.
    fn finish_attempt(&mut self, outcome: Outcome) -> Option<Result<Response, Failure>> {
        match outcome {
            Outcome::NotRun => None,
            Outcome::Doubtful => {
                self.doubtful += 1;
                None
            }
            Outcome::Limited { target, retry_after } => {
                // Nothing was sent, so it does not count as an attempt.
                self.tried.retain(|id| *id != target);
                self.limited.push(target);
                self.refuse_until(retry_after);
                None
            }
            Outcome::Broken => {
                self.maybe_run += 1;
                // The next target is no longer to run it beside others.
                if self.admission == Admission::Free && !self.traffic.crashes.is_empty() {
                    self.admission = Admission::Alone;
                }
                (!self.idempotent).then_some(Err(Failure::Unknown))
            }
            Outcome::Answered(mut response) => {
                self.maybe_run += 1;
                self.failures += u32::from(response.status == StatusCode::INTERNAL_SERVER_ERROR);
                response.failures = self.failures;
                let retry = response.status.is_server_error() && self.may_retry();
                if retry {
                    self.last_failure = Some(response);
                    return None;
                }
                Some(Ok(response))
            }
        }
    }
}

/// How a request is sent to its targets.
#[derive(Clone, Debug)]
struct Sending {
    route: Box<str>,
    priority: u32,
    repeat: Repeat,
    /// Other requests of this host keep away from the target.
    alone: bool,
}

/// Makes one attempt on a target and records its outcome in the pool and the metrics.
async fn attempt(
    traffic: Rc<Traffic>,
    target: Arc<Target>,
    call: Call,
    Sending { route, priority, repeat, alone }: Sending,
) -> Outcome {
    if let Err(retry_after) = permit::acquire(&traffic, &target, priority).await {
        debug!(request = &*call.id, target = &*target.id, retry_after_ms = crate::logging::ms(retry_after); "request held back: the limit of the target is reached");
        return Outcome::Limited { target: target.id.clone(), retry_after };
    }
    let in_flight = InFlight::new(&traffic, &target, alone);
    let started = Instant::now();
    let result = exchange(&traffic, &target, &call, repeat).await;
    drop(in_flight);
    match &result {
        Ok((_, answer)) if !answer.not_run => suspects::answered(&traffic, || call.content()),
        Err(ExchangeError::ConnectionBroke) => {
            let suspect = Suspect::request(call.content(), &target, Run::default());
            let finding = suspects::connection_broke(&traffic, suspect);
            // The next attempt depends on it.
            if repeat != Repeat::Never {
                finding.await;
            }
        }
        _ => {}
    }
    let now = std::time::Instant::now();
    let mut pool = traffic.pool.borrow_mut();
    let (outcome, status) = match result {
        Ok((response, answer)) if answer.not_run => {
            pool.record_refusal(&target.id, now);
            (Outcome::NotRun, response.status.as_u16())
        }
        Ok((response, _)) => {
            pool.record_response(&target.id, started.elapsed(), now);
            pool.record_route(&route, started.elapsed());
            let status = response.status.as_u16();
            (Outcome::Answered(response), status)
        }
        Err(ExchangeError::DoubtfulRefusal) => {
            pool.record_refusal(&target.id, now);
            (Outcome::Doubtful, 0)
        }
        Err(ExchangeError::Unsent) => {
            pool.record_failure(&target.id, now);
            (Outcome::NotRun, 0)
        }
        Err(ExchangeError::MaybeRun | ExchangeError::ConnectionBroke) => {
            pool.record_failure(&target.id, now);
            (Outcome::Broken, 0)
        }
    };
    drop(pool);
    if matches!(outcome, Outcome::Answered(_)) {
        traffic.turns.free(&target.service);
    }
    METERS.attempt(match &outcome {
        Outcome::Answered(response) if response.status.is_success() => "success",
        Outcome::Answered(_) => "failure",
        Outcome::NotRun | Outcome::Doubtful | Outcome::Limited { .. } => "not_run",
        Outcome::Broken => "broken",
    });
    debug!(request = &*call.id, target = &*target.id, status = status, took_ms = crate::logging::ms(started.elapsed()); "attempt ended");
    outcome
}
