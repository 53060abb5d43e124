//! Prompts of a trainer, fetched ahead from its prompt source.

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

/// Prompts asked for in one call.
const CALL_MAX: u64 = 256;
/// Prompts held that are not in generation yet.
const HELD_MAX: usize = 1024;
/// Bounds the memory of the buffer together with `HELD_MAX`.
const TEXT_MAX_BYTES: usize = 64 * 1024;

/// Prompts that wait for their generation, and the call that fetches more.
#[derive(Debug, Default)]
pub struct Buffer {
    texts: BTreeMap<u64, Arc<str>>,
    asked: bool,
    not_before: Time,
    tries: u32,
}

impl Buffer {
    /// Takes the prompt of an index out.
    pub fn take(&mut self, index: u64) -> Option<Arc<str>> {
        self.texts.remove(&index)
    }

    /// Keeps the prompt of a group that was dropped.
    pub fn put(&mut self, index: u64, text: Arc<str>) {
        if self.texts.len() < HELD_MAX {
            self.texts.insert(index, text);
        }
    }

    /// Drops the prompts for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.texts.retain(|&index, _| keep(index));
    }
}

/// Asks the prompt source for the missing prompts, lowest first, one call at a time.
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
    if row.prompts.asked || world.now < row.prompts.not_before {
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
    let count = (last - from + 1).min(CALL_MAX);
    let path = format!("{}/prompts?from={from}&count={count}", prefix.trim_end_matches('/'));
    let id = bulk::call(world, name, service, "GET", &path, Bytes::new());
    row.prompts.asked = true;
    row.requests.insert(id, Purpose::Prompts { from, count });
}

/// Takes the prompt source's answer.
pub fn fetched(world: &mut World, row: &mut Row, from: u64, count: u64, completion: &Completion) {
    row.prompts.asked = false;
    let texts = match &completion.result {
        Ok(Output::Response(response)) if response.status == 200 => {
            serde_json::from_slice::<Vec<Box<str>>>(&response.body)
                .map_err(|error| error.to_string())
        }
        Ok(Output::Response(response)) => Err(format!("status {}", response.status)),
        Ok(Output::Text(_)) => Err("not an answer of a service".into()),
        Err(code) => Err(code.to_string()),
    };
    let fault = match texts {
        Ok(texts) if texts.is_empty() => "no prompts left".into(),
        Ok(texts) => {
            row.prompts.tries = 0;
            for (index, text) in (from..from + count).zip(texts) {
                if text.len() > TEXT_MAX_BYTES {
                    row.abandoned.insert(index);
                } else if row.wants(index) {
                    row.prompts.put(index, text.into());
                }
            }
            return;
        }
        Err(fault) => fault,
    };
    row.prompts.not_before = world.now + backoff::delay(&mut world.rng, row.prompts.tries);
    row.prompts.tries = row.prompts.tries.saturating_add(1);
    let trainer = &completion.trainer;
    world.log(log::Level::Warn, format!("could not fetch prompts of trainer {trainer}: {fault}"));
}
