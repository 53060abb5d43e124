//! Work of a request: a generation by a model engine or a call of a plain service.

use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

/// Length of the prompt's start that is hashed for prefix affinity.
const PREFIX_BYTES: usize = 1024;

/// Work of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    Generate(Generate),
    Call(Call),
}

impl Work {
    /// Hash by which contents that crash targets are identified.
    pub fn content(&self) -> ContentHash {
        match self {
            Self::Generate(generate) => generate.content,
            Self::Call(call) => call.content,
        }
    }

    /// Hash that routes prompts with the same start to the same engine, which has the prefix cached.
    pub fn prefix(&self) -> Option<u64> {
        match self {
            Self::Generate(generate) => Some(generate.prefix),
            Self::Call(_) => None,
        }
    }
}

/// A completion by a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Generate {
    pub model: ModelId,
    pub prompt: Arc<str>,
    pub max_tokens: u32,
    /// Further sampling parameters, forwarded unchanged: the text of a JSON object, or empty.
    pub params: Arc<str>,
    /// Hash of model, prompt and parameters.
    pub content: ContentHash,
    /// Hash of the prompt's start, for prefix affinity.
    pub prefix: u64,
}

impl Generate {
    /// A generation with its hashes.
    pub fn new(model: &str, prompt: &str, max_tokens: u32, params: &str) -> Self {
        let start = prompt.get(..PREFIX_BYTES).unwrap_or_else(|| {
            let end =
                (0..=PREFIX_BYTES.min(prompt.len())).rev().find(|&at| prompt.is_char_boundary(at));
            &prompt[..end.unwrap_or(0)]
        });
        Self {
            model: model.into(),
            prompt: prompt.into(),
            max_tokens,
            params: params.into(),
            content: hash(&[model.as_bytes(), prompt.as_bytes(), params.as_bytes()]),
            prefix: hash(&[model.as_bytes(), start.as_bytes()]),
        }
    }
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub service: ServiceId,
    pub method: Box<str>,
    /// Path and query after the service's name.
    pub path: Box<str>,
    pub content_type: Box<str>,
    pub body: Bytes,
    /// Hash of service, method, path and body.
    pub content: ContentHash,
}

impl Call {
    /// A call with its hash.
    pub fn new(service: &str, method: &str, path: &str, content_type: &str, body: Bytes) -> Self {
        Self {
            service: service.into(),
            method: method.into(),
            path: path.into(),
            content_type: content_type.into(),
            content: hash(&[service.as_bytes(), method.as_bytes(), path.as_bytes(), &body]),
            body,
        }
    }
}

/// Hash of length-prefixed parts, the same on every host.
fn hash(parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
