//! A streamed answer is whole or says that it is not.

use std::{net::SocketAddr, thread, time::Duration};

use serde_json::{Value, json};
use snafu::{OptionExt, ensure_whatever};

use crate::{
    Result,
    http::{Answer, Request},
    yard::{MODEL, Plan, Yard},
};

const TOKENS: u64 = 60;
const STREAMS: usize = 6;
/// Time after which all streams run; a whole one takes 1.5 s.
const MIDWAY: Duration = Duration::from_millis(600);

pub fn prompt(index: usize) -> String {
    format!("A placard for lot {index}:")
}

fn body(index: usize, tokens: u64, stream: bool) -> Value {
    json!({"model": MODEL, "prompt": prompt(index), "max_tokens": tokens, "stream": stream})
}

/// Text of an undisturbed run, from the engine itself.
pub fn expected(engine: SocketAddr, index: usize, tokens: u64) -> Result<String> {
    let answer = Request::post(engine, "/v1/completions", &body(index, tokens, false)).send()?;
    let answer = answer.json();
    let text = answer["choices"][0]["text"].as_str();
    Ok(text.whatever_context("engine gave no text")?.to_owned())
}

/// Texts of the first prompts.
pub fn texts(engine: SocketAddr, count: usize, tokens: u64) -> Result<Vec<String>> {
    thread::scope(|scope| {
        let runs: Vec<_> =
            (0..count).map(|index| scope.spawn(move || expected(engine, index, tokens))).collect();
        let texts = runs.into_iter().map(|it| it.join());
        texts.map(|it| it.unwrap_or_else(|_| snafu::whatever!("run ended early"))).collect()
    })
}

/// Reads a stream to its end.
pub fn stream(entry: SocketAddr, index: usize, tokens: u64) -> Result<Answer> {
    Request::post(entry, "/v1/completions", &body(index, tokens, true)).send()
}

/// Checks a stream; `true` if it is whole.
pub fn check(answer: &Answer, expected: &str) -> Result<bool> {
    if answer.status != 200 {
        let numbered = answer.code().starts_with("LY-");
        ensure_whatever!(numbered, "no numbered code: {} {}", answer.status, answer.text());
        return Ok(false);
    }
    ensure_whatever!(answer.whole, "stream was cut after {} bytes", answer.body.len());
    let raw = answer.text();
    let (mut text, mut finished) = (String::new(), false);
    for data in raw.lines().filter_map(|line| line.strip_prefix("data:")) {
        let event: Value = serde_json::from_str(data.trim()).unwrap_or(Value::Null);
        let choice = &event["choices"][0];
        text.push_str(choice["text"].as_str().unwrap_or_default());
        finished |= choice["finish_reason"].is_string();
    }
    let fits = expected.starts_with(&text);
    ensure_whatever!(fits, "text differs: {text:?}, expected {expected:?}");
    if raw.contains("LY-207") {
        ensure_whatever!(!raw.contains("[DONE]"), "broken stream ends with [DONE]");
        return Ok(false);
    }
    let whole = finished && raw.contains("[DONE]") && text == expected;
    ensure_whatever!(whole, "stream of {} bytes is not whole and does not say so", raw.len());
    Ok(true)
}

/// Runs streams through both hosts, injures engines midway and returns how many streams were whole.
fn run(yard: &mut Yard, injure: impl FnOnce(&mut Yard) -> Result<()>) -> Result<usize> {
    let texts = texts(yard.engines[0].address, STREAMS, TOKENS)?;
    let entries = [yard.hosts[0].entry, yard.hosts[1].entry];
    thread::scope(|scope| {
        let calls: Vec<_> = (0..STREAMS)
            .map(|index| scope.spawn(move || stream(entries[index % 2], index, TOKENS)))
            .collect();
        thread::sleep(MIDWAY);
        injure(yard)?;
        let mut whole = 0;
        for (call, text) in calls.into_iter().zip(&texts) {
            let answer = call.join().unwrap_or_else(|_| snafu::whatever!("call ended early"))?;
            whole += usize::from(check(&answer, text)?);
        }
        Ok(whole)
    })
}

fn busiest(yard: &Yard) -> usize {
    let running = |index: &usize| {
        let answer = Request::get(yard.engines[*index].address, "/load").send();
        answer.map_or(0, |it| it.json()["running"].as_u64().unwrap_or(0))
    };
    (0..yard.engines.len()).max_by_key(running).unwrap_or(0)
}

/// Guards against a truncated stream that ends with `[DONE]`, or a resumed one with other text, when an engine dies.
pub fn engine_killed() -> Result<()> {
    let mut yard = Yard::start(Plan::default())?;
    let whole = run(&mut yard, |yard| {
        let index = busiest(yard);
        yard.engines[index].process.kill()
    })?;
    ensure_whatever!(whole > 0, "no stream was whole although an engine lives");
    Ok(())
}

/// Guards against taking a stream that an engine breaks off without a finish reason for a whole one.
pub fn engine_truncates() -> Result<()> {
    let yard = Yard::start(Plan::default())?;
    let texts = texts(yard.engines[0].address, 2, TOKENS)?;
    for (index, text) in texts.iter().enumerate() {
        for (engine, after) in yard.engines.iter().zip([5, 20]) {
            let control = json!({"truncate_after_tokens": after});
            let answer = Request::post(engine.address, "/control", &control).send()?;
            ensure_whatever!(answer.status == 200, "control: {}", answer.text());
        }
        check(&stream(yard.hosts[index].entry, index, TOKENS)?, text)?;
    }
    Ok(())
}

/// Guards against a stream without an end, or a broken one that looks whole, when an engine hangs.
pub fn engine_frozen() -> Result<()> {
    let mut yard = Yard::start(Plan::default())?;
    let mut frozen = 0;
    let whole = run(&mut yard, |yard| {
        frozen = busiest(yard);
        yard.engines[frozen].process.freeze()
    })?;
    yard.engines[frozen].process.thaw()?;
    ensure_whatever!(whole > 0, "no stream was whole although an engine lives");
    Ok(())
}
