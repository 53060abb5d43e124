//! Keyed calls of a plain service run at most once.

use std::{net::SocketAddr, thread, time::Duration};

use serde_json::json;
use snafu::{OptionExt, ensure_whatever};

use crate::{
    Result,
    http::{Answer, Request},
    process::until,
    relay::Relay,
    yard::{Plan, Yard},
};

/// Time for a call to reach the service.
const REACH: Duration = Duration::from_millis(500);
/// Longest time of one call here.
const CALL_BOUND: Duration = Duration::from_secs(20);

pub fn key(entry: SocketAddr) -> Result<Box<str>> {
    let answer = Request::post(entry, "/v1/keys", &json!({"count": 1})).send()?;
    let keys = answer.json();
    let key = keys["keys"][0].as_str().whatever_context("no key")?;
    Ok(key.into())
}

pub fn book(entry: SocketAddr, key: &str, id: &str) -> Result<Answer> {
    let request = Request::post(entry, "/v1/services/entry-desk/bookings", &json!({ "id": id }));
    let request = request.header("idempotency-key", key).header("x-deadline-ms", "3000");
    request.timeout(CALL_BOUND).send()
}

pub fn service(yard: &Yard, index: usize, control: &serde_json::Value) -> Result<()> {
    let answer = Request::post(yard.services[index].address, "/control", control).send()?;
    ensure_whatever!(answer.status == 200, "control: {}", answer.text());
    Ok(())
}

/// Runs of a booking over all services that live.
pub fn count(yard: &Yard, id: &str) -> u64 {
    let counted = yard.services.iter().filter_map(|it| {
        let answer = Request::get(it.address, &format!("/count?id={id}")).send().ok()?;
        answer.json()["count"].as_u64()
    });
    counted.sum()
}

fn unknown(answer: &Answer) -> Result<()> {
    let fits = matches!(&*answer.code(), "LY-204" | "LY-205");
    ensure_whatever!(fits, "not outcome unknown: {} {}", answer.status, answer.text());
    Ok(())
}

fn at_most_once(yard: &Yard, id: &str) -> Result<()> {
    let count = count(yard, id);
    ensure_whatever!(count <= 1, "{id} ran {count} times");
    Ok(())
}

/// Guards against two runs when a caller sends a call through two hosts at once.
pub fn two_hosts() -> Result<()> {
    let yard = Yard::start(Plan::default())?;
    service(&yard, 0, &json!({"delay_ms": 300}))?;
    for round in 0..5 {
        let id = format!("b-{round}");
        let key = key(yard.hosts[round % 2].entry)?;
        let answers = thread::scope(|scope| {
            let calls = [0, 1, 0, 1].map(|host| {
                let (entry, key, id) = (yard.hosts[host].entry, &key, &id);
                scope.spawn(move || book(entry, key, id))
            });
            calls.map(|call| call.join().unwrap_or_else(|_| snafu::whatever!("call ended early")))
        });
        let mut bodies = Vec::new();
        for answer in answers {
            let answer = answer?;
            ensure_whatever!(answer.status == 201, "{} {}", answer.status, answer.text());
            bodies.push(answer.body);
        }
        bodies.dedup();
        ensure_whatever!(bodies.len() == 1, "copies got different answers");
        let count = count(&yard, &id);
        ensure_whatever!(count == 1, "{id} ran {count} times");
    }
    Ok(())
}

/// Guards against a second run, or a false "not run", when the issuer of a key dies in mid-call.
pub fn issuer_killed() -> Result<()> {
    let mut yard = Yard::start(Plan::default())?;
    service(&yard, 0, &json!({"delay_ms": 1500}))?;
    let (near, issuer) = (yard.hosts[0].entry, yard.hosts[1].entry);
    let key = key(issuer)?;
    let first = thread::scope(|scope| {
        let call = scope.spawn(|| book(near, &key, "b-1"));
        thread::sleep(REACH);
        let killed = yard.process(1).and_then(|it| it.kill());
        killed.and(call.join().unwrap_or_else(|_| snafu::whatever!("call ended early")))
    })?;
    unknown(&first)?;
    yard.hosts[1].process = None;
    // The service may go on with a call whose caller is gone.
    thread::sleep(Duration::from_millis(1500));
    unknown(&book(near, &key, "b-1")?)?;
    yard.start_host(1)?;
    yard.serves(&yard.hosts[1], Duration::from_secs(20))?;
    service(&yard, 0, &json!({"delay_ms": 0}))?;
    for entry in [issuer, near] {
        unknown(&book(entry, &key, "b-1")?)?;
    }
    at_most_once(&yard, "b-1")
}

/// Guards against a second run, or a false "not run", when the issuer of a key is frozen before or in mid-call.
pub fn issuer_frozen() -> Result<()> {
    let mut yard = Yard::start(Plan::default())?;
    service(&yard, 0, &json!({"delay_ms": 800}))?;
    let (near, issuer) = (yard.hosts[0].entry, yard.hosts[1].entry);
    for (id, lead) in [("b-1", Duration::ZERO), ("b-2", REACH)] {
        yard.serves(&yard.hosts[1], Duration::from_secs(20))?;
        let key = key(issuer)?;
        if lead.is_zero() {
            yard.process(1)?.freeze()?;
        }
        let mut answers = thread::scope(|scope| {
            let call = scope.spawn(|| book(near, &key, id));
            thread::sleep(lead);
            yard.process(1)?.freeze()?;
            thread::sleep(Duration::from_secs(2));
            let second = book(near, &key, id);
            yard.process(1)?.thaw()?;
            let first = call.join().unwrap_or_else(|_| snafu::whatever!("call ended early"));
            Ok([first?, second?])
        })?
        .to_vec();
        thread::sleep(Duration::from_secs(1));
        for entry in [issuer, near] {
            answers.push(book(entry, &key, id)?);
        }
        let ran = count(&yard, id);
        ensure_whatever!(ran <= 1, "{id} ran {ran} times");
        for answer in &answers {
            if ran == 1 {
                ensure_whatever!(&*answer.kind() != "not_run", "{id} ran, but: {}", answer.text());
            }
            if answer.status == 201 {
                ensure_whatever!(ran == 1, "{id} did not run, but: {}", answer.text());
            }
        }
    }
    Ok(())
}

/// Guards against a second run at another target when the service dies after the run and before its answer.
pub fn service_killed() -> Result<()> {
    let plan = Plan { services: 3, ..Plan::default() };
    let mut yard = Yard::start(plan)?;
    let entries = [yard.hosts[0].entry, yard.hosts[1].entry];
    for index in 0..3 {
        service(&yard, index, &json!({"die_after_run": true}))?;
    }
    let key = key(entries[1])?;
    for entry in [entries[0], entries[1], entries[0]] {
        unknown(&book(entry, &key, "b-1")?)?;
    }
    thread::sleep(Duration::from_secs(1));
    let dead = yard.services.iter_mut().filter_map(|it| (!it.process.running()).then_some(()));
    let dead = dead.count();
    ensure_whatever!(dead == 1, "the call ran on {dead} targets");
    let other = count(&yard, "b-1");
    ensure_whatever!(other == 0, "the call ran {other} times more");
    Ok(())
}

fn register(entry: SocketAddr) -> Result<Answer> {
    let request = Request::get(entry, "/v1/services/entry-desk/register");
    request.header("x-deadline-ms", "1000").send()
}

/// Guards against a second run, or a false "not run", when the link to the service is cut in mid-call.
pub fn link_cut() -> Result<()> {
    let mut yard = Yard::start(Plan::default())?;
    let relay = Relay::start(yard.services[0].address)?;
    yard.services[0].listed = relay.address;
    yard.list()?;
    // The list has moved the target to the relay once a cut makes calls fail.
    let entries = [yard.hosts[0].entry, yard.hosts[1].entry];
    relay.cut();
    until("hosts use the relay", Duration::from_secs(20), || {
        let failing = entries.iter().map(|it| register(*it));
        Ok(failing.filter(|it| it.as_ref().is_ok_and(|it| it.status != 200)).count() == 2)
    })?;
    relay.mend();
    for host in &yard.hosts {
        yard.serves(host, Duration::from_secs(30))?;
    }
    service(&yard, 0, &json!({"delay_ms": 1000}))?;
    let key = key(entries[1])?;
    let first = thread::scope(|scope| {
        let call = scope.spawn(|| book(entries[0], &key, "b-1"));
        thread::sleep(REACH);
        relay.cut();
        call.join().unwrap_or_else(|_| snafu::whatever!("call ended early"))
    })?;
    unknown(&first)?;
    relay.mend();
    thread::sleep(Duration::from_millis(1500));
    for entry in entries {
        unknown(&book(entry, &key, "b-1")?)?;
    }
    at_most_once(&yard, "b-1")
}

/// Guards against calls that depend on the store, or lose their single run when it is down.
pub fn store_down() -> Result<()> {
    let yard = Yard::start(Plan::default())?;
    for mode in ["refuse", "hang"] {
        yard.outage(&json!({"mode": mode}))?;
        thread::sleep(REACH);
        let (one, two) = (yard.hosts[0].entry, yard.hosts[1].entry);
        let key = key(one)?;
        let (first, second) = (book(two, &key, mode)?, book(one, &key, mode)?);
        for answer in [&first, &second] {
            ensure_whatever!(answer.status == 201, "{} {}", answer.status, answer.text());
        }
        ensure_whatever!(first.body == second.body, "copies got different answers");
        let count = count(&yard, mode);
        ensure_whatever!(count == 1, "{mode} ran {count} times");
        yard.outage(&json!({"mode": "none"}))?;
    }
    Ok(())
}
