//! Choice of a plain service's target by expected response time and by the connections at hand.

mod common;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use common::ms;
use lagoonyard_node::{
    fleet::Target,
    traffic::{Channel, Channels, Connection, Demand, Liveness, Pool},
    view::View,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::net::TcpListener;

/// Targets of a service with 4 slots each; the zone is the part of an id before the dash.
fn view(ids: &[&str]) -> View {
    let target = |id: &&str| {
        let zone = id.split('-').next().unwrap_or_default().into();
        let target = Target { zone, slots: 4, ..common::engine(id, 1) };
        (target.id.clone(), Arc::new(target))
    };
    View {
        targets: Arc::new(ids.iter().map(target).collect::<BTreeMap<_, _>>()),
        ..View::default()
    }
}

struct Case {
    pool: Pool,
    view: View,
    held: Vec<&'static str>,
    now: Instant,
}

impl Case {
    fn new(ids: &[&str], held: &[&'static str]) -> Self {
        let (pool, view) = (Pool::new("a".into()), view(ids));
        Self { pool, view, held: held.to_vec(), now: Instant::now() }
    }

    fn choose(&mut self) -> Box<str> {
        let held = &self.held;
        let connection = |target: &Target| {
            if held.contains(&&*target.id) { Connection::Idle } else { Connection::New }
        };
        let chosen = self.pool.choose(&self.view, "llm", &[], connection, self.now);
        chosen.expect("a target").id.clone()
    }

    fn start(&mut self, id: &str) {
        self.pool.start_request(&self.view.targets[id]);
    }

    /// Has a target answer a request in `took`, which lasted long enough to become its average.
    fn answer(&mut self, id: &str, took: Duration) {
        for _ in 0..40 {
            self.start(id);
            self.pool.record_response(id, took, self.now);
            self.pool.end_request(id);
        }
    }
}

/// Guards against new connections for nearly each request, as requests go around among targets that are alike.
#[test]
fn target_with_connection_is_chosen_among_equals() {
    let mut case = Case::new(&["a-1", "a-2", "a-3"], &["a-2"]);
    assert_eq!(&*case.choose(), "a-2");
    for id in ["a-1", "a-3"] {
        case.answer(id, ms(30));
    }
    case.answer("a-2", ms(33));
    assert_eq!(&*case.choose(), "a-2");
}

/// Guards against requests that pile up on a slow or busy target because a connection to it is at hand.
#[test]
fn target_with_connection_is_left_once_another_is_sooner() {
    let mut case = Case::new(&["a-1", "a-2"], &["a-2"]);
    case.answer("a-1", ms(30));
    case.answer("a-2", ms(36));
    assert_eq!(&*case.choose(), "a-1", "slower than another with its set-up");
    case.answer("a-2", ms(30));
    case.start("a-2");
    assert_eq!(&*case.choose(), "a-1", "busy");
    case.pool.end_request("a-2");
    case.pool.record_refusal("a-2", case.now);
    assert_eq!(&*case.choose(), "a-1", "refused lately");
    case.now += ms(100);
    assert_eq!(&*case.choose(), "a-2");
    case.pool.record_failure("a-2", case.now);
    assert_eq!(&*case.choose(), "a-1", "broke lately");
}

/// Guards against idle connections that draw requests into another zone, and against a round trip that is not counted.
#[test]
fn set_up_counts_round_trip_of_zone() {
    let mut case = Case::new(&["a-1", "b-1"], &["b-1"]);
    assert_eq!(&*case.choose(), "a-1", "the zone outweighs a connection");
    let mut case = Case::new(&["b-1", "c-1"], &[]);
    case.pool.record_connection(&"b".into(), ms(6));
    case.pool.record_connection(&"c".into(), ms(1));
    assert_eq!(&*case.choose(), "c-1");
    // One connection that took long, as this host was short of processor time, must not keep a zone out for good.
    case.pool.record_connection(&"c".into(), Duration::from_secs(5));
    case.pool.record_connection(&"c".into(), ms(1));
    case.answer("b-1", ms(50));
    assert_eq!(&*case.choose(), "c-1");
}

/// Guards against a slow target that is never tried again since a connection to another one is at hand.
#[test]
fn slow_target_is_tried_again() {
    let mut case = Case::new(&["a-1", "a-2"], &["a-1"]);
    case.answer("a-2", ms(310));
    case.answer("a-1", ms(300));
    assert_eq!(&*case.choose(), "a-1");
    case.now += ms(4000);
    case.answer("a-1", ms(300));
    assert_eq!(&*case.choose(), "a-2");
}

/// Guards against idle connections that are closed because a request that may run only once needs a fresher one.
#[tokio::test]
async fn connection_that_is_too_old_for_one_request_is_kept_for_others() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let work = async {
        let deadline = tokio::time::Instant::now() + Duration::from_secs(5);
        let channel = Channel::open(address, Liveness::Deadline, deadline).await.unwrap();
        let channels = Channels::default();
        channels.keep(address, channel, None);
        tokio::time::sleep(ms(5)).await;
        let fresh = Demand { request: "r", idle_max: ms(1), allows_doubt: true };
        assert_eq!(channels.connection(address, fresh), Connection::New);
        assert!(channels.take(address, fresh, deadline).await.is_none());
        let any = Demand { idle_max: Duration::MAX, ..fresh };
        assert_eq!(channels.connection(address, any), Connection::Idle);
        assert!(channels.take(address, any, deadline).await.is_some());
        assert_eq!(channels.connection(address, any), Connection::New);
    };
    tokio::task::LocalSet::new().run_until(work).await;
}

/// Requests of one host, one at a time: how many open a connection, and the sum of the response times. A connection stays
/// idle for 4 s, and its set-up takes 5 ms.
fn play(gap: Duration, typical: Duration, knows_connections: bool) -> (usize, Duration) {
    let ids: Vec<String> = (0..20).map(|number| format!("a-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
    let mut case = Case::new(&ids, &[]);
    let mut random = StdRng::seed_from_u64(1);
    let mut used_at: HashMap<Box<str>, Instant> = HashMap::new();
    let (mut opened, mut total) = (0, Duration::ZERO);
    for _ in 0..1000 {
        let now = case.now;
        let held = |id: &str| used_at.get(id).is_some_and(|at| now - *at < ms(4000));
        let connection = |target: &Target| match knows_connections && held(&target.id) {
            true => Connection::Idle,
            false => Connection::New,
        };
        let target = case.pool.choose(&case.view, "llm", &[], connection, now).unwrap();
        let setup = if held(&target.id) { Duration::ZERO } else { ms(5) };
        opened += usize::from(!setup.is_zero());
        let took = typical.mul_f64(random.random_range(0.7..1.3)) + setup;
        case.start(&target.id);
        case.pool.record_response(&target.id, took, now + took);
        case.pool.end_request(&target.id);
        used_at.insert(target.id.clone(), now + took);
        total += took;
        case.now += gap + took;
    }
    (opened, total)
}

/// Guards against a choice that knows the connections and opens about as many, or answers later.
#[test]
fn rare_requests_open_fewer_connections_and_end_no_later() {
    for (gap, typical) in
        [(ms(500), ms(20)), (ms(100), ms(60)), (ms(500), ms(150)), (ms(500), ms(300))]
    {
        let (aware, unaware) = (play(gap, typical, true), play(gap, typical, false));
        println!("gap {gap:?}, typical {typical:?}: {aware:?} instead of {unaware:?}");
        assert!(aware.0 == 1 || aware.0 < unaware.0, "{aware:?} {unaware:?}");
        assert!(aware.1 <= unaware.1, "{aware:?} {unaware:?}");
    }
}

/// Guards against second attempts of nearly every long request: its targets also answer short ones, so their average is far
/// below what it takes.
#[test]
fn the_usual_time_of_a_route_does_not_depend_on_other_routes_of_its_targets() {
    let mut pool = Pool::new("a".into());
    assert_eq!(pool.usual("long", "a-1"), ms(50), "no response of the route yet");
    for _ in 0..50 {
        pool.record_route("long", ms(200));
        pool.record_route("short", ms(20));
    }
    assert!(pool.usual("long", "a-1") > ms(190));
    assert!(pool.usual("short", "a-1") < ms(25));
    pool.retain_routes(|route| route == "short");
    assert_eq!(pool.usual("long", "a-1"), ms(50), "routes that are gone are dropped");
}
