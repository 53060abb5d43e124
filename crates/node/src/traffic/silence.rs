//! Attempts at which a target gives no byte for a time, and whether the target has ended.

use std::{cell::Cell, pin::pin, rc::Rc};

use log::info;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    clock,
    metrics::METERS,
    prelude::*,
    traffic::{
        ended::{self, Cause, Finding},
        exchange::ExchangeError,
        serve::Traffic,
        suspects::{self, Suspect},
    },
};

/// Time without a byte after which this host looks at the target.
const SILENCE_MIN: Duration = Duration::from_millis(1000);
/// Longest time for which a sign of life makes a look needless, and the delay until the target is to be looked at again.
const HEARD_TTL: Duration = Duration::from_millis(500);
/// Delay before the next look of an attempt that still waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(2000);
/// Delay before another look at a target of which nothing could be found, and number of such looks.
const RETRY_DELAY: Duration = Duration::from_millis(400);
const RETRIES_MAX: usize = 4;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Idle,
    Looking,
    Ended,
}

/// Looks that one attempt causes.
pub struct Silence {
    traffic: Rc<Traffic>,
    state: Rc<Cell<State>>,
}

impl Silence {
    pub fn new(traffic: &Rc<Traffic>) -> Self {
        Self { traffic: Rc::clone(traffic), state: Rc::default() }
    }

    /// Waits for something of a target until `by`, at which `awaited` ends as well. Looks whether the target has ended if
    /// nothing is heard of it for a time or until then.
    pub async fn watch<T>(
        &self,
        by: Instant,
        suspect: impl Fn() -> Suspect,
        awaited: impl Future<Output = T>,
    ) -> T {
        let _last = LastLook { silence: self, began: Instant::now(), by, suspect: &suspect };
        let mut awaited = pin!(awaited);
        let mut next = Instant::now() + SILENCE_MIN;
        loop {
            tokio::select! {
                biased;
                result = &mut awaited => return result,
                () = sleep_until(next) => {
                    let suspect = suspect();
                    let is_heard = self.is_heard(&suspect, HEARD_TTL);
                    next += if is_heard { HEARD_TTL } else { LOOK_INTERVAL };
                    if !is_heard {
                        self.look(suspect);
                    }
                }
            }
        }
    }

    /// Looks whether a target has ended, and gives a strike if so. Nobody waits for it, as it takes the time of a connection
    /// that is not answered.
    pub fn look(&self, suspect: Suspect) {
        if self.state.get() != State::Idle {
            return;
        }
        self.state.set(State::Looking);
        let (traffic, state) = (Rc::clone(&self.traffic), Rc::clone(&self.state));
        tokio::task::spawn_local(async move {
            let ended = find(&traffic, &suspect).await;
            state.set(if ended { State::Ended } else { State::Idle });
        });
    }

    /// Whether a look has found that the target ended.
    pub fn has_ended(&self) -> bool {
        self.state.get() == State::Ended
    }

    /// What an error of the attempt means: a target that was found to have ended is not looked at again when its connection
    /// breaks.
    pub fn error(&self, error: ExchangeError) -> ExchangeError {
        match error {
            ExchangeError::ConnectionBroke if self.has_ended() => ExchangeError::MaybeRun,
            error => error,
        }
    }

    fn is_heard(&self, suspect: &Suspect, within: Duration) -> bool {
        self.traffic.links.was_heard_within(&suspect.target.id, within, clock::now())
    }
}

/// Looks when an attempt ends at its own time-out, whether or not its future is dropped then.
struct LastLook<'a, F: Fn() -> Suspect> {
    silence: &'a Silence,
    began: Instant,
    by: Instant,
    suspect: &'a F,
}

impl<F: Fn() -> Suspect> Drop for LastLook<'_, F> {
    fn drop(&mut self) {
        if Instant::now() < self.by {
            return;
        }
        let suspect = (self.suspect)();
        let heard_ttl = HEARD_TTL.min(self.began.elapsed() / 2);
        if !self.silence.is_heard(&suspect, heard_ttl) {
            self.silence.look(suspect);
        }
    }
}

/// Looks at a target until something is found. Returns whether it has ended, which gives a strike.
async fn find(traffic: &Rc<Traffic>, suspect: &Suspect) -> bool {
    let Suspect { content, target, run, .. } = suspect;
    let (at, began) = (clock::now(), Instant::now());
    for _ in 0..RETRIES_MAX {
        let finding = ended::look(traffic, target, Cause::Silence).settled.await;
        // An answer may have come while this host looked, and the target ended after it.
        let is_heard = traffic.links.was_heard_within(&target.id, began.elapsed(), clock::now());
        let finding = if is_heard { Finding::Sound } else { finding };
        METERS.silent_target(finding.name());
        info!(content:% = content, target_id = &*target.id, born = target.started_ms, finding = finding.name(), events = run.reached; "target silent under a content");
        match finding {
            Finding::Sound => return false,
            Finding::Ended => {
                suspects::record_end(traffic, suspect, at);
                suspects::keep(traffic, suspect).await;
                return true;
            }
            Finding::Unknown => sleep(RETRY_DELAY).await,
        }
    }
    false
}
