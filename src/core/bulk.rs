//! Bulk requests of streams: samples, and calls of prompt sources and judges.

use std::sync::Arc;

use bytes::Bytes;

use crate::{
    core::{
        World,
        request::{Call, Generate, Origin, Submission, Work},
    },
    file::Trainer,
    prelude::*,
};

/// Submits the generation of one sample.
pub fn sample(
    world: &mut World,
    name: &TrainerId,
    trainer: &Trainer,
    prompt: &Arc<str>,
    avoid: Vec<TargetId>,
) -> RequestId {
    let work = Work::Generate(Generate::new(&trainer.model, prompt, trainer.max_tokens, ""));
    let deadline = world.now + world.settings.sample_timeout;
    submit(world, name, work, deadline, avoid)
}

/// Submits a call of the trainer's prompt source or judge.
pub fn call(
    world: &mut World,
    name: &TrainerId,
    service: &ServiceId,
    method: &str,
    path: &str,
    body: Bytes,
) -> RequestId {
    let work = Work::Call(Call::new(service, method, path, "application/json", body));
    let deadline = world.now + world.settings.bulk_call_timeout;
    submit(world, name, work, deadline, Vec::new())
}

fn submit(
    world: &mut World,
    name: &TrainerId,
    work: Work,
    deadline: Time,
    avoid: Vec<TargetId>,
) -> RequestId {
    world.requests.submit(Submission { origin: Origin::Bulk(name.clone()), work, deadline, avoid })
}
