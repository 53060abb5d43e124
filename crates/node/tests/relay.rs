//! Failover of store calls between the direct path and the relay, with transports that a test makes fail.

mod common;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;
use common::ms;
use lagoonyard_node::{
    prelude::*,
    relay::{Call, Client, Path, Peer, Peers, Response, Transport, serve},
    store::Error,
};
use tokio::{net::TcpListener, time::sleep};

/// Time by which the check of the direct path after a call without a response has ended.
const CHECK_DURATION: Duration = Duration::from_millis(350);

/// How the store behaves on a direct transport.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Answer,
    Refuse,
    Hang,
}

/// Direct transport that records its calls.
struct Recorder {
    mode: Cell<Mode>,
    calls: RefCell<Vec<String>>,
}

impl Recorder {
    fn new(mode: Mode) -> Rc<Self> {
        Rc::new(Self { mode: Cell::new(mode), calls: RefCell::default() })
    }

    fn count(&self, path: &str) -> usize {
        self.calls.borrow().iter().filter(|call| *call == path).count()
    }
}

#[async_trait(?Send)]
impl Transport for Recorder {
    async fn call(&self, call: &Call) -> Result<Response, Error> {
        self.calls.borrow_mut().push(call.path.clone());
        match self.mode.get() {
            Mode::Answer => {
                // A watch is a long poll.
                if call.path == "watch" {
                    sleep(ms(1500)).await;
                }
                Ok(Response { status: 200, body: Bytes::from(call.path.clone()), refused: false })
            }
            Mode::Refuse => Err(Error::Refused { status: 503 }),
            Mode::Hang => {
                sleep(call.timeout()).await;
                Err(Error::NoResponse { reason: "silent".into() })
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

/// Client with its own direct transport, and one other host with another.
async fn client(own: &Rc<Recorder>, other: &Rc<Recorder>) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, Rc::clone(other) as Rc<dyn Transport>));
    let peers = Peers::default();
    peers.set(vec![Peer { zone: "z".into(), address, peer: None, cpu_share: 1.0 }]);
    Client::new(Rc::clone(own) as Rc<dyn Transport>, peers, "z".into(), Arc::default())
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Guards against a host that makes no progress because the store refuses its calls but not those of other hosts.
#[test]
fn a_refused_call_is_relayed_through_another_host() {
    run(async {
        let (own, other) = (Recorder::new(Mode::Refuse), Recorder::new(Mode::Answer));
        let client = client(&own, &other).await;
        for _ in 0..3 {
            let response = client.call(&call("read", 500)).await;
            assert_matches!(response, Ok(response) if response.body == "read");
        }
        assert_eq!(own.count("read"), 1, "later calls go through the other host at once");
        assert_eq!(other.count("read"), 3);
    });
}

/// Guards against a call that takes effect twice because it is retried after it got no response.
#[test]
fn a_call_without_a_response_is_not_retried() {
    run(async {
        let (own, other) = (Recorder::new(Mode::Hang), Recorder::new(Mode::Answer));
        let client = client(&own, &other).await;
        assert_matches!(client.call(&call("write", 50)).await, Err(Error::NoResponse { .. }));
        sleep(CHECK_DURATION).await;
        assert_eq!(other.count("write"), 0);
        assert_matches!(client.call(&call("write", 50)).await, Ok(_));
    });
}

/// Guards against a direct path that is not checked, so that each later call is refused on it first.
#[test]
fn a_refused_call_without_a_response_through_another_host_starts_a_check() {
    run(async {
        let (own, other) = (Recorder::new(Mode::Refuse), Recorder::new(Mode::Hang));
        let client = client(&own, &other).await;
        assert_matches!(client.call(&call("write", 50)).await, Err(Error::NoResponse { .. }));
        sleep(CHECK_DURATION).await;
        assert_eq!(own.count("probe"), 1);
        assert_eq!((own.count("write"), other.count("write")), (1, 1), "it may have taken effect");
        other.mode.set(Mode::Answer);
        assert_matches!(client.call(&call("write", 50)).await, Ok(_));
        assert_eq!((own.count("write"), other.count("write")), (1, 2));
    });
}

/// Guards against calls that are still relayed after the direct path works again.
#[test]
fn calls_return_to_the_direct_path_when_it_works_again() {
    run(async {
        let (own, other) = (Recorder::new(Mode::Refuse), Recorder::new(Mode::Answer));
        let client = client(&own, &other).await;
        assert_matches!(client.call(&call("read", 500)).await, Ok(_));
        own.mode.set(Mode::Answer);
        // Relayed; the response comes after the direct path works again.
        assert_matches!(client.call(&call("watch", 2500)).await, Ok(_));
        assert_eq!(own.count("probe"), 1);
        let before = other.count("read");
        assert_matches!(client.call(&call("read", 500)).await, Ok(_));
        assert_eq!(other.count("read"), before);
    });
}

/// Guards against a watch that keeps waiting for a response on a lost direct path.
#[test]
fn a_watch_fails_when_the_direct_path_is_lost() {
    run(async {
        let (own, other) = (Recorder::new(Mode::Hang), Recorder::new(Mode::Answer));
        let client = Rc::new(client(&own, &other).await);
        let watching = Rc::clone(&client);
        let watch =
            tokio::task::spawn_local(async move { watching.call(&call("watch", 10_000)).await });
        sleep(ms(20)).await;
        assert_matches!(client.call(&call("read", 50)).await, Err(_));
        assert!(!watch.is_finished());
        sleep(CHECK_DURATION).await;
        assert!(watch.is_finished());
    });
}

/// Guards against calls that are multiplied by relaying while the store refuses every host.
#[test]
fn calls_are_not_relayed_while_the_store_refuses_all_hosts() {
    run(async {
        let (own, other) = (Recorder::new(Mode::Refuse), Recorder::new(Mode::Refuse));
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

/// Guards against a backoff that never ends or does not grow.
#[test]
fn the_relay_backoff_doubles_up_to_its_maximum() {
    let mut path = Path::default();
    for (at, backoff) in
        [(10_000, 500), (20_000, 1000), (30_000, 2000), (40_000, 4000), (50_000, 4000)]
    {
        path.relay_refused(ms(at));
        assert!(!path.may_relay(ms(at + backoff - 1)));
        assert!(path.may_relay(ms(at + backoff)));
    }
    path.relay_answered();
    path.relay_refused(ms(60_000));
    assert!(path.may_relay(ms(60_500)));
}

/// Guards against a switch to the relay after one lost response while the direct path works.
#[test]
fn one_lost_response_does_not_start_relaying() {
    run(async {
        let (own, other) = (Recorder::new(Mode::Hang), Recorder::new(Mode::Answer));
        let client = client(&own, &other).await;
        assert_matches!(client.call(&call("read", 50)).await, Err(_));
        own.mode.set(Mode::Answer);
        sleep(CHECK_DURATION).await;
        assert_matches!(client.call(&call("read", 50)).await, Ok(_));
        assert_eq!(other.count("read"), 0);
    });
}
