//! Streamed completions: a stream is complete or ends with an error event.

use std::{net::SocketAddr, thread, time::Duration};

use serde_json::{Value, json};
use snafu::{OptionExt, ensure_whatever};

use crate::{
    Result,
    cluster::{Cluster, MODEL, Plan},
    http::{Request, Response},
};

const TOKENS: u64 = 60;
const STREAMS: usize = 6;
/// Time from the start of the streams to the fault. All are open by then; a complete stream takes 1.5 s.
const FAULT_DELAY: Duration = Duration::from_millis(600);

pub fn prompt(index: usize) -> String {
    format!("A placard for lot {index}:")
}

fn body(index: usize, tokens: u64, stream: bool) -> Value {
    json!({"model": MODEL, "prompt": prompt(index), "max_tokens": tokens, "stream": stream})
}

/// Requests the text of an undisturbed run from the engine directly.
pub fn expected_text(engine: SocketAddr, index: usize, tokens: u64) -> Result<String> {
    let response = Request::post(engine, "/v1/completions", &body(index, tokens, false)).send()?;
    let response = response.json();
    let text = response["choices"][0]["text"].as_str();
    Ok(text.whatever_context("could not find the text in the engine's response")?.to_owned())
}

/// Expected texts of the first `count` prompts.
pub fn expected_texts(engine: SocketAddr, count: usize, tokens: u64) -> Result<Vec<String>> {
    thread::scope(|scope| {
        let runs: Vec<_> = (0..count)
            .map(|index| scope.spawn(move || expected_text(engine, index, tokens)))
            .collect();
        let texts = runs.into_iter().map(|it| it.join());
        texts.map(|it| it.unwrap_or_else(|_| snafu::whatever!("calling thread panicked"))).collect()
    })
}

/// Requests a streamed completion and reads it to its end.
pub fn read_stream(entry: SocketAddr, index: usize, tokens: u64) -> Result<Response> {
    Request::post(entry, "/v1/completions", &body(index, tokens, true)).send()
}

/// Checks a stream and returns whether it is complete. Fails if it is cut off without an error event, has other text
/// than expected, or is refused without an error code.
pub fn check_stream(response: &Response, expected: &str) -> Result<bool> {
    if response.status != 200 {
        let has_code = response.code().starts_with("LY-");
        ensure_whatever!(
            has_code,
            "stream was refused without an error code: {} {}",
            response.status,
            response.text()
        );
        return Ok(false);
    }
    ensure_whatever!(response.complete, "stream was cut off after {} bytes", response.body.len());
    let raw = response.text();
    let (mut text, mut finished) = (String::new(), false);
    for data in raw.lines().filter_map(|line| line.strip_prefix("data:")) {
        let event: Value = serde_json::from_str(data.trim()).unwrap_or(Value::Null);
        let choice = &event["choices"][0];
        text.push_str(choice["text"].as_str().unwrap_or_default());
        finished |= choice["finish_reason"].is_string();
    }
    let is_prefix = expected.starts_with(&text);
    ensure_whatever!(is_prefix, "text differs: {text:?}, expected {expected:?}");
    if raw.contains("LY-207") {
        ensure_whatever!(!raw.contains("[DONE]"), "incomplete stream ends with [DONE]");
        return Ok(false);
    }
    let complete = finished && raw.contains("[DONE]") && text == expected;
    ensure_whatever!(
        complete,
        "stream of {} bytes is incomplete and has no error event",
        raw.len()
    );
    Ok(true)
}

/// Runs streams through both hosts, injects a fault during them and returns how many streams were complete.
fn run_with_fault(
    cluster: &mut Cluster,
    inject: impl FnOnce(&mut Cluster) -> Result<()>,
) -> Result<usize> {
    let texts = expected_texts(cluster.engines[0].address, STREAMS, TOKENS)?;
    let entries = [cluster.hosts[0].entry, cluster.hosts[1].entry];
    thread::scope(|scope| {
        let calls: Vec<_> = (0..STREAMS)
            .map(|index| scope.spawn(move || read_stream(entries[index % 2], index, TOKENS)))
            .collect();
        thread::sleep(FAULT_DELAY);
        inject(cluster)?;
        let mut complete = 0;
        for (call, text) in calls.into_iter().zip(&texts) {
            let response =
                call.join().unwrap_or_else(|_| snafu::whatever!("calling thread panicked"))?;
            complete += usize::from(check_stream(&response, text)?);
        }
        Ok(complete)
    })
}

/// Index of the engine with the most running requests.
fn busiest_engine(cluster: &Cluster) -> usize {
    let running = |index: &usize| {
        let response = Request::get(cluster.engines[*index].address, "/load").send();
        response.map_or(0, |it| it.json()["running"].as_u64().unwrap_or(0))
    };
    (0..cluster.engines.len()).max_by_key(running).unwrap_or(0)
}

/// Guards against an incomplete stream that ends with `[DONE]`, or a resumed one with other text, when an engine is
/// killed.
pub fn engine_killed() -> Result<()> {
    let mut cluster = Cluster::start(Plan::default())?;
    let complete = run_with_fault(&mut cluster, |cluster| {
        let index = busiest_engine(cluster);
        cluster.engines[index].process.kill()
    })?;
    ensure_whatever!(complete > 0, "no stream was complete although one engine still runs");
    Ok(())
}

/// Guards against a stream that an engine ends without a finish reason and a host passes on as complete.
pub fn engine_truncates() -> Result<()> {
    let cluster = Cluster::start(Plan::default())?;
    let texts = expected_texts(cluster.engines[0].address, 2, TOKENS)?;
    for (index, text) in texts.iter().enumerate() {
        for (engine, after) in cluster.engines.iter().zip([5, 20]) {
            let control = json!({"truncate_after_tokens": after});
            let response = Request::post(engine.address, "/control", &control).send()?;
            ensure_whatever!(
                response.status == 200,
                "could not control the engine: {}",
                response.text()
            );
        }
        check_stream(&read_stream(cluster.hosts[index].entry, index, TOKENS)?, text)?;
    }
    Ok(())
}

/// Guards against a stream that never ends, or an incomplete one that looks complete, when an engine hangs.
pub fn engine_frozen() -> Result<()> {
    let mut cluster = Cluster::start(Plan::default())?;
    let mut frozen = 0;
    let complete = run_with_fault(&mut cluster, |cluster| {
        frozen = busiest_engine(cluster);
        cluster.engines[frozen].process.freeze()
    })?;
    cluster.engines[frozen].process.thaw()?;
    ensure_whatever!(complete > 0, "no stream was complete although one engine still runs");
    Ok(())
}
