//! Buffer of a trainer's prompts, fetched in advance from its prompt source.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;

use crate::{
    core::{
        World, backoff, bulk,
        request::{Completion, Output},
        stream::{Purpose, Row},
    },
    file::Trainer,
    prelude::*,
};

/// Most prompts fetched by one call.
const PROMPTS_PER_CALL_MAX: u64 = 256;
/// Most prompts in the buffer.
const PROMPTS_MAX: usize = 1024;
/// Longest prompt accepted. Together with `PROMPTS_MAX` it bounds the memory of the buffer.
const TEXT_MAX_BYTES: usize = 64 * 1024;

/// Prompts that wait for generation, and the state of the call that fetches more.
#[derive(Debug, Default)]
pub struct Buffer {
    texts: BTreeMap<u64, Arc<str>>,
    call_in_flight: bool,
    not_before: Time,
    failures: u32,
}

impl Buffer {
    /// Removes the prompt of an index.
    pub fn take(&mut self, index: u64) -> Option<Arc<str>> {
        self.texts.remove(&index)
    }

    /// Adds a prompt if there is room.
    pub fn put(&mut self, index: u64, text: Arc<str>) {
        if self.texts.len() < PROMPTS_MAX {
            self.texts.insert(index, text);
        }
    }

    /// Keeps only the prompts for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.texts.retain(|&index, _| keep(index));
    }
}

/// Fetches missing prompts from the prompt source, lowest index first, one call at a time.
pub fn fetch(
    world: &mut World,
    name: &TrainerId,
    trainer: &Trainer,
    row: &mut Row,
    missing: &[u64],
) {
    let (Some(&from), Some(&last)) = (missing.first(), missing.last()) else {
        return;
    };
    if row.prompts.call_in_flight || world.now < row.prompts.not_before {
        return;
    }
    let Some((service, prefix)) = &trainer.prompts else {
        row.prompts.not_before = world.now + backoff::DELAY_MAX;
        world.log(
            log::Level::Warn,
            format!("could not fetch prompts: trainer {name} has no prompt source"),
        );
        return;
    };
    let count = (last - from + 1).min(PROMPTS_PER_CALL_MAX);
    let path = format!("{}/prompts?from={from}&count={count}", prefix.trim_end_matches('/'));
    let id = bulk::call(world, name, service, "GET", &path, Bytes::new());
    row.prompts.call_in_flight = true;
    row.requests.insert(id, Purpose::Prompts { from, count });
}

/// Handles the answer of the prompt source.
pub fn handle_answer(
    world: &mut World,
    row: &mut Row,
    from: u64,
    count: u64,
    completion: &Completion,
) {
    row.prompts.call_in_flight = false;
    let texts = match &completion.result {
        Ok(Output::Response(response)) if response.status == 200 => {
            serde_json::from_slice::<Vec<Box<str>>>(&response.body)
                .map_err(|error| error.to_string())
        }
        Ok(Output::Response(response)) => Err(format!("status {}", response.status)),
        Ok(Output::Text(_)) => Err("unexpected answer of a model".into()),
        Err(code) => Err(code.to_string()),
    };
    let fault = match texts {
        Ok(texts) if texts.is_empty() => "no prompts left".into(),
        Ok(texts) => {
            row.prompts.failures = 0;
            for (index, text) in (from..from + count).zip(texts) {
                if text.len() > TEXT_MAX_BYTES {
                    row.abandoned.insert(index);
                } else if row.needs_prompt(index) {
                    row.prompts.put(index, text.into());
                }
            }
            return;
        }
        Err(fault) => fault,
    };
    row.prompts.not_before = world.now + backoff::delay(&mut world.rng, row.prompts.failures);
    row.prompts.failures = row.prompts.failures.saturating_add(1);
    let trainer = &completion.trainer;
    world.log(log::Level::Warn, format!("could not fetch prompts of trainer {trainer}: {fault}"));
}
