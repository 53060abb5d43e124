//! Simulated outages of the platform, set through its control interface.

use std::time::Duration;

use serde::Deserialize;
use tokio::{sync::watch, time};

/// Kind of outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    #[default]
    None,
    /// New connections are refused, and open ones are closed at their next request.
    Refuse,
    /// Requests are read but have no effect and get no response.
    Hang,
    /// Writes take effect, but their connection is closed without a response.
    LoseAnswers,
}

/// Body of `POST /control/outage`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    pub mode: Mode,
    /// New response delay; unchanged if absent.
    pub delay_ms: Option<u64>,
    /// Responses to lose before the mode returns to `None`; unlimited if absent.
    pub count: Option<u64>,
    /// Responses to writes that are still sent before the first one is lost.
    #[serde(default)]
    pub skip: u64,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    delay: Duration,
    remaining: Option<u64>,
    skip: u64,
}

/// Current outage and response delay.
#[derive(Debug)]
pub struct Outage {
    state: watch::Sender<State>,
}

impl Outage {
    pub fn new(delay: Duration) -> Self {
        let state = State { mode: Mode::None, delay, remaining: None, skip: 0 };
        Self { state: watch::Sender::new(state) }
    }

    pub fn set(&self, request: &Request) {
        self.state.send_modify(|state| {
            state.mode = request.mode;
            state.remaining = request.count;
            state.skip = request.skip;
            if let Some(delay) = request.delay_ms {
                state.delay = Duration::from_millis(delay);
            }
        });
    }

    pub fn mode(&self) -> Mode {
        self.state.borrow().mode
    }

    /// Waits for the configured response delay.
    pub async fn wait_delay(&self) {
        let delay = self.state.borrow().delay;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
    }

    /// Waits until the mode is no longer `Hang`.
    pub async fn wait_while_hanging(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.mode != Mode::Hang).await;
    }

    /// Whether the response to this write is to be lost; updates `skip` and the remaining count.
    pub fn should_lose_response(&self) -> bool {
        if self.mode() != Mode::LoseAnswers {
            return false;
        }
        let mut lost = true;
        self.state.send_modify(|state| {
            if state.skip > 0 {
                state.skip -= 1;
                lost = false;
                return;
            }
            if let Some(remaining) = &mut state.remaining {
                *remaining = remaining.saturating_sub(1);
                if *remaining == 0 {
                    state.mode = Mode::None;
                }
            }
        });
        lost
    }

    /// Receiver of `predicate(mode)`, updated at each change of the outage.
    pub fn subscribe(
        &self,
        predicate: impl Fn(Mode) -> bool + Send + 'static,
    ) -> watch::Receiver<bool> {
        let mut state = self.state.subscribe();
        let (sender, receiver) = watch::channel(predicate(self.mode()));
        tokio::spawn(async move {
            while state.changed().await.is_ok() {
                let mode = state.borrow_and_update().mode;
                let _ = sender.send(predicate(mode));
            }
        });
        receiver
    }
}
