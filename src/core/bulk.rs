//! Work of bulk requests, with the hashes that requests of callers have too.

use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    core::request::{Call, Generate, Work},
    file::Trainer,
    prelude::*,
};

/// Start of a prompt that decides which engine has it cached, in bytes.
const PREFIX_BYTES: usize = 1024;

/// Generation of one sample.
pub fn sample(trainer: &Trainer, prompt: &Arc<str>) -> Work {
    let model = trainer.model.as_bytes();
    let mut end = prompt.len().min(PREFIX_BYTES);
    while !prompt.is_char_boundary(end) {
        end -= 1;
    }
    Work::Generate(Generate {
        model: trainer.model.clone(),
        prompt: Arc::clone(prompt),
        max_tokens: trainer.max_tokens,
        params: "".into(),
        content: hash(&[model, prompt.as_bytes(), b""]),
        prefix: hash(&[model, &prompt.as_bytes()[..end]]),
    })
}

/// Call of a trainer's prompt source or judge.
pub fn call(service: &ServiceId, method: &str, path: &str, body: Bytes) -> Work {
    Work::Call(Call {
        service: service.clone(),
        method: method.into(),
        path: path.into(),
        content_type: "application/json".into(),
        content: hash(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), &body]),
        body,
    })
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
