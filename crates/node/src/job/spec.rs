//! A batch job as submitted.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;

use crate::{crash::Content, length::Hint, prefix::Prompt, prelude::*};

/// Request to a plain service that scores a finished text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judge {
    /// Request id.
    pub id: Box<str>,
    pub host: Box<str>,
    pub path: Box<str>,
    pub body: Bytes,
}

/// A generation request and the request that scores its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    pub id: ItemId,
    pub path: Box<str>,
    pub headers: Vec<(Box<str>, Box<str>)>,
    pub body: Bytes,
    /// Prompt tokens plus the maximum number of output tokens.
    pub max_total_tokens: u64,
    /// Estimated output tokens, if the trainer gives an estimate that can be.
    pub length_hint: Option<Hint>,
    /// Parts of its prompt, if the trainer names them.
    pub prompt: Prompt,
    pub group: Box<str>,
    pub judge: Option<Judge>,
}

impl Item {
    /// What an engine is asked to do, on the route of a host name.
    pub fn content(&self, host: &str) -> Content {
        Content::new(Method::POST.as_str(), host, &self.path, &self.body)
    }
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    pub id: JobId,
    pub step: u64,
    pub model: ModelId,
    /// Oldest version that may generate tokens of the job.
    pub min_version: Version,
    /// Number of complete groups that the trainer needs.
    pub groups_needed: usize,
    pub items: Vec<Arc<Item>>,
}
