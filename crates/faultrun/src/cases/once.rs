//! Idempotency keys: a service call with a key runs at most once, and an error never says "not run" of a call that ran.

use std::{net::SocketAddr, thread, time::Duration};

use serde_json::json;
use snafu::{OptionExt, ensure_whatever};

use crate::{
    Result,
    cluster::{Cluster, Plan},
    http::{Request, Response},
    process::wait_until,
    relay::Relay,
};

/// Time after which a submitted call runs at the service.
const DISPATCH_TIME: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

pub fn issue_key(entry: SocketAddr) -> Result<Box<str>> {
    let response = Request::post(entry, "/v1/keys", &json!({"count": 1})).send()?;
    let keys = response.json();
    let key =
        keys["keys"][0].as_str().whatever_context("could not find the key in the response")?;
    Ok(key.into())
}

pub fn submit_booking(entry: SocketAddr, key: &str, id: &str) -> Result<Response> {
    let request = Request::post(entry, "/v1/services/entry-desk/bookings", &json!({ "id": id }));
    let request = request.header("idempotency-key", key).header("x-deadline-ms", "3000");
    request.timeout(CALL_TIMEOUT).send()
}

pub fn control_service(cluster: &Cluster, index: usize, control: &serde_json::Value) -> Result<()> {
    let response = Request::post(cluster.services[index].address, "/control", control).send()?;
    ensure_whatever!(response.status == 200, "could not control the service: {}", response.text());
    Ok(())
}

/// Counts the runs of a booking at all services that still respond.
pub fn booking_count(cluster: &Cluster, id: &str) -> u64 {
    let counted = cluster.services.iter().filter_map(|it| {
        let response = Request::get(it.address, &format!("/count?id={id}")).send().ok()?;
        response.json()["count"].as_u64()
    });
    counted.sum()
}

fn expect_outcome_unknown(response: &Response) -> Result<()> {
    let unknown = matches!(&*response.code(), "LY-204" | "LY-205");
    ensure_whatever!(
        unknown,
        "expected an unknown outcome, got {} {}",
        response.status,
        response.text()
    );
    Ok(())
}

fn expect_at_most_one_run(cluster: &Cluster, id: &str) -> Result<()> {
    let count = booking_count(cluster, id);
    ensure_whatever!(count <= 1, "{id} ran {count} times");
    Ok(())
}

/// Guards against two runs when a caller sends the same call through two hosts at once.
pub fn two_hosts() -> Result<()> {
    let cluster = Cluster::start(Plan::default())?;
    control_service(&cluster, 0, &json!({"delay_ms": 300}))?;
    for round in 0..5 {
        let id = format!("b-{round}");
        let key = issue_key(cluster.hosts[round % 2].entry)?;
        let responses = thread::scope(|scope| {
            let calls = [0, 1, 0, 1].map(|host| {
                let (entry, key, id) = (cluster.hosts[host].entry, &key, &id);
                scope.spawn(move || submit_booking(entry, key, id))
            });
            calls.map(|call| {
                call.join().unwrap_or_else(|_| snafu::whatever!("calling thread panicked"))
            })
        });
        let mut bodies = Vec::new();
        for response in responses {
            let response = response?;
            ensure_whatever!(
                response.status == 201,
                "booking failed: {} {}",
                response.status,
                response.text()
            );
            bodies.push(response.body);
        }
        bodies.dedup();
        ensure_whatever!(bodies.len() == 1, "copies of one call got different responses");
        let count = booking_count(&cluster, &id);
        ensure_whatever!(count == 1, "{id} ran {count} times");
    }
    Ok(())
}

/// Guards against a second run, or a false "not run", when the host that issued the key is killed during the call.
pub fn issuer_killed() -> Result<()> {
    let mut cluster = Cluster::start(Plan::default())?;
    control_service(&cluster, 0, &json!({"delay_ms": 1500}))?;
    let (other, issuer) = (cluster.hosts[0].entry, cluster.hosts[1].entry);
    let key = issue_key(issuer)?;
    let first = thread::scope(|scope| {
        let call = scope.spawn(|| submit_booking(other, &key, "b-1"));
        thread::sleep(DISPATCH_TIME);
        let killed = cluster.process(1).and_then(|it| it.kill());
        killed.and(call.join().unwrap_or_else(|_| snafu::whatever!("calling thread panicked")))
    })?;
    expect_outcome_unknown(&first)?;
    cluster.hosts[1].process = None;
    // The service may complete a call whose caller has disconnected.
    thread::sleep(Duration::from_millis(1500));
    expect_outcome_unknown(&submit_booking(other, &key, "b-1")?)?;
    cluster.start_host(1)?;
    cluster.wait_until_serving(&cluster.hosts[1], Duration::from_secs(20))?;
    control_service(&cluster, 0, &json!({"delay_ms": 0}))?;
    for entry in [issuer, other] {
        expect_outcome_unknown(&submit_booking(entry, &key, "b-1")?)?;
    }
    expect_at_most_one_run(&cluster, "b-1")
}

/// Guards against a second run, or a false "not run", when the host that issued the key is frozen before or during the
/// call.
pub fn issuer_frozen() -> Result<()> {
    let mut cluster = Cluster::start(Plan::default())?;
    control_service(&cluster, 0, &json!({"delay_ms": 800}))?;
    let (other, issuer) = (cluster.hosts[0].entry, cluster.hosts[1].entry);
    for (id, delay) in [("b-1", Duration::ZERO), ("b-2", DISPATCH_TIME)] {
        cluster.wait_until_serving(&cluster.hosts[1], Duration::from_secs(20))?;
        let key = issue_key(issuer)?;
        if delay.is_zero() {
            cluster.process(1)?.freeze()?;
        }
        let mut responses = thread::scope(|scope| {
            let call = scope.spawn(|| submit_booking(other, &key, id));
            thread::sleep(delay);
            cluster.process(1)?.freeze()?;
            thread::sleep(Duration::from_secs(2));
            let second = submit_booking(other, &key, id);
            cluster.process(1)?.thaw()?;
            let first = call.join().unwrap_or_else(|_| snafu::whatever!("calling thread panicked"));
            Ok([first?, second?])
        })?
        .to_vec();
        thread::sleep(Duration::from_secs(1));
        for entry in [issuer, other] {
            responses.push(submit_booking(entry, &key, id)?);
        }
        let ran = booking_count(&cluster, id);
        ensure_whatever!(ran <= 1, "{id} ran {ran} times");
        for response in &responses {
            if ran == 1 {
                ensure_whatever!(
                    &*response.kind() != "not_run",
                    "{id} ran, but the response was: {}",
                    response.text()
                );
            }
            if response.status == 201 {
                ensure_whatever!(
                    ran == 1,
                    "{id} did not run, but the response was: {}",
                    response.text()
                );
            }
        }
    }
    Ok(())
}

/// Guards against a second run at another target when the service crashes after the run and before its response.
pub fn service_killed() -> Result<()> {
    let plan = Plan { services: 3, ..Plan::default() };
    let mut cluster = Cluster::start(plan)?;
    let entries = [cluster.hosts[0].entry, cluster.hosts[1].entry];
    for index in 0..3 {
        control_service(&cluster, index, &json!({"die_after_run": true}))?;
    }
    let key = issue_key(entries[1])?;
    for entry in [entries[0], entries[1], entries[0]] {
        expect_outcome_unknown(&submit_booking(entry, &key, "b-1")?)?;
    }
    thread::sleep(Duration::from_secs(1));
    let dead =
        cluster.services.iter_mut().filter_map(|it| (!it.process.is_running()).then_some(()));
    let dead = dead.count();
    ensure_whatever!(dead == 1, "expected the call to run on 1 target, but {dead} crashed");
    let other = booking_count(&cluster, "b-1");
    ensure_whatever!(other == 0, "the call ran {other} times on other targets");
    Ok(())
}

fn read_register(entry: SocketAddr) -> Result<Response> {
    let request = Request::get(entry, "/v1/services/entry-desk/register");
    request.header("x-deadline-ms", "1000").send()
}

/// Guards against a second run, or a false "not run", when the connection to the service is cut during the call.
pub fn link_cut() -> Result<()> {
    let mut cluster = Cluster::start(Plan::default())?;
    let relay = Relay::start(cluster.services[0].address)?;
    cluster.services[0].listed_address = relay.address;
    cluster.publish_targets()?;
    // Hosts have read the new address from the host list once cutting the relay makes their calls fail.
    let entries = [cluster.hosts[0].entry, cluster.hosts[1].entry];
    relay.cut();
    wait_until("hosts call the service through the relay", Duration::from_secs(20), || {
        let failing = entries.iter().map(|it| read_register(*it));
        Ok(failing.filter(|it| it.as_ref().is_ok_and(|it| it.status != 200)).count() == 2)
    })?;
    relay.restore();
    for host in &cluster.hosts {
        cluster.wait_until_serving(host, Duration::from_secs(30))?;
    }
    control_service(&cluster, 0, &json!({"delay_ms": 1000}))?;
    let key = issue_key(entries[1])?;
    let first = thread::scope(|scope| {
        let call = scope.spawn(|| submit_booking(entries[0], &key, "b-1"));
        thread::sleep(DISPATCH_TIME);
        relay.cut();
        call.join().unwrap_or_else(|_| snafu::whatever!("calling thread panicked"))
    })?;
    expect_outcome_unknown(&first)?;
    relay.restore();
    thread::sleep(Duration::from_millis(1500));
    for entry in entries {
        expect_outcome_unknown(&submit_booking(entry, &key, "b-1")?)?;
    }
    expect_at_most_one_run(&cluster, "b-1")
}

/// Guards against keyed calls that fail, or run twice, while the store is down.
pub fn store_down() -> Result<()> {
    let cluster = Cluster::start(Plan::default())?;
    for mode in ["refuse", "hang"] {
        cluster.set_outage(&json!({"mode": mode}))?;
        thread::sleep(DISPATCH_TIME);
        let (one, two) = (cluster.hosts[0].entry, cluster.hosts[1].entry);
        let key = issue_key(one)?;
        let (first, second) = (submit_booking(two, &key, mode)?, submit_booking(one, &key, mode)?);
        for response in [&first, &second] {
            ensure_whatever!(
                response.status == 201,
                "booking failed: {} {}",
                response.status,
                response.text()
            );
        }
        ensure_whatever!(first.body == second.body, "copies of one call got different responses");
        let count = booking_count(&cluster, mode);
        ensure_whatever!(count == 1, "{mode} ran {count} times");
        cluster.set_outage(&json!({"mode": "none"}))?;
    }
    Ok(())
}
