//! A batch job as submitted.

use bytes::Bytes;

use crate::prelude::*;

/// Call to a plain service that scores a finished text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judge {
    /// Request id of the call.
    pub id: Box<str>,
    pub host: Box<str>,
    pub path: Box<str>,
    pub body: Bytes,
}

/// One item: a generation request and the call that scores its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    pub id: ItemId,
    pub path: Box<str>,
    pub headers: Vec<(Box<str>, Box<str>)>,
    pub body: Bytes,
    /// Prompt tokens and the largest number of output tokens.
    pub tokens: u64,
    /// Estimate of the output tokens, if the trainer gives one.
    pub length_hint: Option<u64>,
    pub group: Box<str>,
    pub judge: Option<Judge>,
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    pub id: JobId,
    pub step: u64,
    pub model: ModelId,
    /// Oldest version that may generate its tokens.
    pub min_version: Version,
    /// Whole groups for which the trainer waits.
    pub groups_needed: usize,
    pub items: Vec<Item>,
}
