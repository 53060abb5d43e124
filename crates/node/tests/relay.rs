//! Which way calls to the store go, with ways that a test switches on and off.

mod common;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;
use common::ms;
use lagoonyard_node::{
    prelude::*,
    relay::{Answer, Call, Client, Path, Peer, Peers, Transport, serve},
    store::Error,
};
use tokio::{net::TcpListener, time::sleep};

/// Time after a call without an answer in which the direct way is checked.
const CHECKED: Duration = Duration::from_millis(350);

/// What a direct way does with calls.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Open,
    Refuses,
    Silent,
}

struct Line {
    way: Cell<Way>,
    calls: RefCell<Vec<String>>,
}

impl Line {
    fn new(way: Way) -> Rc<Self> {
        Rc::new(Self { way: Cell::new(way), calls: RefCell::default() })
    }

    fn count(&self, path: &str) -> usize {
        self.calls.borrow().iter().filter(|call| *call == path).count()
    }
}

#[async_trait(?Send)]
impl Transport for Line {
    async fn call(&self, call: &Call) -> Result<Answer, Error> {
        self.calls.borrow_mut().push(call.path.clone());
        match self.way.get() {
            Way::Open => {
                // A watch is answered late.
                if call.path == "watch" {
                    sleep(ms(1500)).await;
                }
                Ok(Answer { status: 200, body: Bytes::from(call.path.clone()), refused: false })
            }
            Way::Refuses => Err(Error::Refused { status: 503 }),
            Way::Silent => {
                sleep(call.timeout()).await;
                Err(Error::NoAnswer { reason: "silent".into() })
            }
        }
    }

    fn probe(&self) -> Call {
        call("probe", 100)
    }
}

fn call(path: &str, timeout_ms: u64) -> Call {
    Call { method: "GET".into(), path: path.into(), body: Bytes::new(), timeout_ms }
}

/// A client with an own way and one other host with its way.
async fn client(own: &Rc<Line>, other: &Rc<Line>) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, Rc::clone(other) as Rc<dyn Transport>));
    let peers = Peers::default();
    peers.set(vec![Peer { zone: "z".into(), address }]);
    Client::new(Rc::clone(own) as Rc<dyn Transport>, peers, "z".into())
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Guards against a host that stands still because the store turns only it away.
#[test]
fn a_refused_call_goes_through_another_host() {
    run(async {
        let (own, other) = (Line::new(Way::Refuses), Line::new(Way::Open));
        let client = client(&own, &other).await;
        for _ in 0..3 {
            let answer = client.call(&call("read", 500)).await;
            assert_matches!(answer, Ok(answer) if answer.body == "read");
        }
        assert_eq!(own.count("read"), 1, "later calls go through the other host at once");
        assert_eq!(other.count("read"), 3);
    });
}

/// Guards against a call that is made twice: without an answer it may have taken effect.
#[test]
fn a_call_without_an_answer_is_not_made_again() {
    run(async {
        let (own, other) = (Line::new(Way::Silent), Line::new(Way::Open));
        let client = client(&own, &other).await;
        assert_matches!(client.call(&call("write", 50)).await, Err(Error::NoAnswer { .. }));
        sleep(CHECKED).await;
        assert_eq!(other.count("write"), 0);
        assert_matches!(client.call(&call("write", 50)).await, Ok(_));
    });
}

/// Guards against calls that go through another host for good.
#[test]
fn calls_go_directly_again_when_that_works() {
    run(async {
        let (own, other) = (Line::new(Way::Refuses), Line::new(Way::Open));
        let client = client(&own, &other).await;
        assert_matches!(client.call(&call("read", 500)).await, Ok(_));
        own.way.set(Way::Open);
        // Answered through the other host after the direct way works again.
        assert_matches!(client.call(&call("watch", 2500)).await, Ok(_));
        assert_eq!(own.count("probe"), 1);
        let before = other.count("read");
        assert_matches!(client.call(&call("read", 500)).await, Ok(_));
        assert_eq!(other.count("read"), before);
    });
}

/// Guards against a watch that waits on a way that is lost.
#[test]
fn a_watch_ends_when_the_direct_way_is_lost() {
    run(async {
        let (own, other) = (Line::new(Way::Silent), Line::new(Way::Open));
        let client = Rc::new(client(&own, &other).await);
        let watching = Rc::clone(&client);
        let watch =
            tokio::task::spawn_local(async move { watching.call(&call("watch", 10_000)).await });
        sleep(ms(20)).await;
        assert_matches!(client.call(&call("read", 50)).await, Err(_));
        assert!(!watch.is_finished());
        sleep(CHECKED).await;
        assert!(watch.is_finished());
    });
}

/// Guards against calls that multiply while the store itself is away.
#[test]
fn other_hosts_are_left_alone_while_the_store_refuses_all() {
    run(async {
        let (own, other) = (Line::new(Way::Refuses), Line::new(Way::Refuses));
        let client = client(&own, &other).await;
        for _ in 0..10 {
            assert_matches!(
                client.call(&call("read", 500)).await,
                Err(Error::Refused { status: 503 })
            );
        }
        assert_eq!((own.count("read"), other.count("read")), (10, 1));
    });
}

/// Guards against pauses that never end, or that never grow.
#[test]
fn the_pause_after_refusals_doubles_up_to_a_bound() {
    let mut path = Path::default();
    for (at, pause) in
        [(10_000, 500), (20_000, 1000), (30_000, 2000), (40_000, 4000), (50_000, 4000)]
    {
        path.relay_refused(ms(at));
        assert!(!path.may_relay(ms(at + pause - 1)));
        assert!(path.may_relay(ms(at + pause)));
    }
    path.relay_answered();
    path.relay_refused(ms(60_000));
    assert!(path.may_relay(ms(60_500)));
}

/// Guards against a detour for each answer that is lost while the direct way works.
#[test]
fn a_lost_answer_alone_does_not_change_the_way() {
    run(async {
        let (own, other) = (Line::new(Way::Silent), Line::new(Way::Open));
        let client = client(&own, &other).await;
        assert_matches!(client.call(&call("read", 50)).await, Err(_));
        own.way.set(Way::Open);
        sleep(CHECKED).await;
        assert_matches!(client.call(&call("read", 50)).await, Ok(_));
        assert_eq!(other.count("read"), 0);
    });
}
