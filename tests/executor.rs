//! Guards against news of an attempt that are lost or come out of order, and against work that outlives its cancel.

mod util;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use assert_matches::assert_matches;
use async_trait::async_trait;
use lagoonyard::{
    border::{Directory, Engine, Service, Sink, Store},
    control::{Control, Reply},
    core::{
        Action, Event, listing,
        request::{self, Attempt, Call, News, Output, Response, Work},
        rollout, store, target,
    },
    executor::{Borders, Executor, Flow},
    ids::ZoneId,
    link::{Identity, Link, Settings},
    metrics::Metrics,
    settings::Limits,
};
use tokio::{
    runtime::Handle,
    sync::{mpsc, watch},
    time::{sleep, timeout},
};
use util::SOON;

/// All outside systems; a call of a service with path `/wait` never ends.
#[derive(Default)]
struct Fake {
    running: Arc<Mutex<u32>>,
}

struct Counted(Arc<Mutex<u32>>);

impl Drop for Counted {
    fn drop(&mut self) {
        *self.0.lock().unwrap() -= 1;
    }
}

#[async_trait]
impl Service for Fake {
    async fn call(&self, attempt: &Attempt, sink: &mut dyn Sink) -> News {
        *self.running.lock().unwrap() += 1;
        let _counted = Counted(Arc::clone(&self.running));
        sink.sent();
        sink.leaving();
        let Work::Call(call) = &attempt.work else { panic!() };
        if &*call.path == "/wait" {
            std::future::pending::<()>().await;
        }
        News::Done(Output::Response(Response::default()))
    }
}

#[async_trait]
impl Engine for Fake {
    async fn generate(&self, _: &Attempt, _: &mut dyn Sink) -> News {
        unreachable!()
    }

    async fn poll(&self, _: &str) -> target::Outcome {
        target::Outcome::Unreachable
    }

    async fn order(&self, _: &rollout::Order) -> Result<(), rollout::Failure> {
        Ok(())
    }
}

#[async_trait]
impl Store for Fake {
    async fn call(&self, _: store::Call, _: Duration) -> Result<store::Reply, store::Failure> {
        Err(store::Failure::Unsent)
    }
}

#[async_trait]
impl Directory for Fake {
    async fn read(&self, _: &ZoneId) -> Option<Vec<listing::Entry>> {
        None
    }
}

struct Rig {
    executor: Executor,
    control: Arc<Control>,
    events: mpsc::Receiver<Event>,
    running: Arc<Mutex<u32>>,
}

fn rig() -> Rig {
    let limits = Limits {
        max_events: 1,
        ..Limits::default()
    };
    let metrics = Arc::new(Metrics::new());
    let (control, events) = Control::new(limits, Arc::clone(&metrics), Handle::current());
    let fake = Arc::new(Fake::default());
    let running = Arc::clone(&fake.running);
    let borders = Borders {
        store: fake.clone(),
        directory: fake.clone(),
        engine: fake.clone(),
        service: fake,
    };
    let identity = Identity {
        deployment: "d".into(),
        token: "token".into(),
        host: "a".into(),
        incarnation: 1,
        zone: "z".into(),
    };
    let link = Link::new(
        identity,
        Settings::default(),
        control.events(),
        metrics,
        Handle::current(),
    );
    let (cache, _) = watch::channel(bytes::Bytes::new());
    let executor = Executor::new(
        Arc::clone(&control),
        Handle::current(),
        borders,
        Arc::new(link),
        SOON,
        cache,
    );
    Rig {
        executor,
        control,
        events,
        running,
    }
}

fn attempt(id: u64, path: &str) -> Action {
    Action::Dispatch(Attempt {
        id,
        request: 1,
        target: "t".into(),
        address: "127.0.0.1:1".into(),
        work: Work::Call(Call {
            service: "s".into(),
            method: "GET".into(),
            path: path.into(),
            content_type: "".into(),
            body: bytes::Bytes::new(),
            content: 0,
        }),
        so_far: None,
        ticket: None,
        priority: 0,
        timeout: SOON,
    })
}

impl Rig {
    async fn event(&mut self) -> Event {
        timeout(SOON, self.events.recv()).await.unwrap().unwrap()
    }
}

#[tokio::test]
async fn news_wait_for_room_and_keep_their_order() {
    let mut rig = rig();
    // The only place is taken, as when the control thread is behind.
    let filler = Event::Request(request::Event::Gone { ticket: 0 });
    rig.control.events().send(filler).await.unwrap();
    assert_eq!(rig.executor.run(attempt(7, "/")), Flow::Continue);
    sleep(Duration::from_millis(50)).await;
    assert_matches!(rig.event().await, Event::Request(_));
    assert_matches!(rig.event().await, Event::Attempt(it) => {
        assert_eq!(it.attempt, 7);
        assert_matches!(it.news, News::Sent);
    });
    assert_matches!(rig.event().await, Event::Attempt(it) => assert_matches!(it.news, News::Done(_)));
    assert_matches!(rig.event().await, Event::Polled(it) => {
        assert_matches!(it.outcome, target::Outcome::Leaving);
    });
}

#[tokio::test]
async fn a_cancelled_attempt_stops_at_once_and_gives_no_news() {
    let mut rig = rig();
    rig.executor.run(attempt(7, "/wait"));
    assert_matches!(rig.event().await, Event::Attempt(it) => assert_matches!(it.news, News::Sent));
    assert_eq!(*rig.running.lock().unwrap(), 1);
    rig.executor.run(Action::Cancel(7));
    while *rig.running.lock().unwrap() > 0 {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(timeout(Duration::from_millis(50), rig.events.recv()).await.is_err());
}

#[tokio::test]
async fn outcomes_come_back_under_their_ids_and_exit_ends_the_thread() {
    let mut rig = rig();
    let call = store::Call::Get { key: "k".into() };
    rig.executor.run(Action::Store { id: 9, call });
    assert_matches!(rig.event().await, Event::Store(it) => {
        assert_eq!((it.id, it.result), (9, Err(store::Failure::Unsent)));
    });
    // An answer that nobody waits for any more is dropped.
    let answer = request::Answer::Done(Output::Response(Response::default()));
    rig.executor.run(Action::Answer { ticket: 5, answer });
    let ask = |ticket| Event::Key(lagoonyard::core::key::Ask { ticket, count: 1 });
    let mut pending = rig.control.ask(ask).unwrap();
    let keys = vec!["k".into()];
    rig.executor.run(Action::Keys { ticket: 1, keys });
    assert_matches!(pending.reply().await, Ok(Reply::Keys(keys)) => assert_eq!(keys.len(), 1));
    assert_eq!(rig.executor.run(Action::Exit), Flow::Exit);
}
