//! Outages of the platform, set over its control interface.

use std::time::Duration;

use serde::Deserialize;
use tokio::{sync::watch, time};

/// How the platform fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    #[default]
    None,
    /// Connections are refused and open ones closed.
    Refuse,
    /// Requests are taken in, have no effect and get no answer.
    Hang,
    /// Writes take effect and their connection is closed without an answer.
    LoseAnswers,
}

/// Body of `POST /control/outage`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    pub mode: Mode,
    /// New answer delay.
    pub delay_ms: Option<u64>,
    /// Answers to lose before the mode goes back to none.
    pub count: Option<u64>,
    /// Answers to give before the first one is lost.
    #[serde(default)]
    pub skip: u64,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    delay: Duration,
    left: Option<u64>,
    skip: u64,
}

/// The outage in force.
#[derive(Debug)]
pub struct Outage {
    state: watch::Sender<State>,
}

impl Outage {
    pub fn new(delay: Duration) -> Self {
        let state = State { mode: Mode::None, delay, left: None, skip: 0 };
        Self { state: watch::Sender::new(state) }
    }

    pub fn set(&self, request: &Request) {
        self.state.send_modify(|state| {
            state.mode = request.mode;
            state.left = request.count;
            state.skip = request.skip;
            if let Some(delay) = request.delay_ms {
                state.delay = Duration::from_millis(delay);
            }
        });
    }

    pub fn mode(&self) -> Mode {
        self.state.borrow().mode
    }

    /// Waits for the answer delay.
    pub async fn delay(&self) {
        let delay = self.state.borrow().delay;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
    }

    /// Waits until the mode is another than `Hang`.
    pub async fn hang(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.mode != Mode::Hang).await;
    }

    /// Whether the answer to this write is to be lost; counts it if so.
    pub fn loses_answer(&self) -> bool {
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
            if let Some(left) = &mut state.left {
                *left = left.saturating_sub(1);
                if *left == 0 {
                    state.mode = Mode::None;
                }
            }
        });
        lost
    }

    /// A switch that follows the mode.
    pub fn subscribe(&self, on: impl Fn(Mode) -> bool + Send + 'static) -> watch::Receiver<bool> {
        let mut state = self.state.subscribe();
        let (sender, receiver) = watch::channel(on(self.mode()));
        tokio::spawn(async move {
            while state.changed().await.is_ok() {
                let mode = state.borrow_and_update().mode;
                let _ = sender.send(on(mode));
            }
        });
        receiver
    }
}
