//! Rewards of samples, fetched from the trainer's judge service.

use bytes::Bytes;
use serde::Deserialize;

use crate::{
    core::{
        World, backoff, bulk,
        group::Slot,
        request::{Completion, Output},
        sampling,
        stream::{Purpose, Row},
    },
    file::Trainer,
    prelude::*,
};

/// Judge calls of one trainer in flight.
const CALLS_MAX: usize = 256;
/// Failed calls for one sample after which the sample is generated again.
const FAILURES_MAX: u32 = 10;

#[derive(Deserialize)]
struct Verdict {
    reward: f64,
}

/// Submits judge calls for the samples that have no reward yet.
pub fn submit(world: &mut World, name: &TrainerId, trainer: &Trainer, row: &mut Row) {
    let Some((service, prefix)) = &trainer.judge else {
        return;
    };
    // A draining host admits no new requests, including its own.
    if world.draining {
        return;
    }
    let calls =
        row.requests.values().filter(|purpose| matches!(purpose, Purpose::Judge { .. })).count();
    let mut room = CALLS_MAX.saturating_sub(calls);
    let path = format!("{}/judge", prefix.trim_end_matches('/'));
    for (&index, draft) in &mut row.drafts {
        for (slot, state) in draft.slots.iter_mut().enumerate() {
            let Slot::Judging { sample, not_before, call_in_flight, .. } = state else {
                continue;
            };
            if *call_in_flight || world.now < *not_before || room == 0 {
                continue;
            }
            let body =
                serde_json::json!({"prompt": &*draft.prompt, "text": &*sample.text}).to_string();
            let id = bulk::call(world, name, service, "POST", &path, Bytes::from(body));
            *call_in_flight = true;
            room -= 1;
            row.requests.insert(id, Purpose::Judge { index, slot });
        }
    }
}

/// Handles the answer of a judge call.
pub fn handle_answer(
    world: &mut World,
    row: &mut Row,
    place: (u64, usize),
    completion: &Completion,
) {
    let (index, slot) = place;
    let state = row.drafts.get_mut(&index).and_then(|draft| draft.slots.get_mut(slot));
    let Some(Slot::Judging { sample, not_before, failures, call_in_flight }) = state else {
        return;
    };
    let verdict = match &completion.result {
        Ok(Output::Response(response)) if response.status == 200 => {
            serde_json::from_slice::<Verdict>(&response.body).ok()
        }
        _ => None,
    };
    if let Some(verdict) = verdict {
        let mut sample = sample.clone();
        sample.reward = Some(verdict.reward);
        sampling::set(row, place, Slot::Done(sample));
        return sampling::finish_if_complete(row, index, world.now);
    }
    *call_in_flight = false;
    *failures += 1;
    if *failures < FAILURES_MAX {
        *not_before = world.now + backoff::delay(&mut world.rng, *failures - 1);
        return;
    }
    sampling::retry(world, row, place, 0, &completion.trainer);
}
