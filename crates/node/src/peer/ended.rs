//! End of an item's run on another host.

use crate::{
    job::{End, Outcome},
    peer::{item::RunItem, micros, text::TextPart},
};

/// A run has ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ended {
    #[prost(message, optional, tag = "1")]
    pub part: Option<TextPart>,
    #[prost(enumeration = "EndKind", tag = "2")]
    pub end: i32,
    #[prost(string, optional, tag = "3")]
    pub score: Option<String>,
    #[prost(bool, tag = "4")]
    pub text_complete: bool,
    #[prost(uint64, optional, tag = "5")]
    pub pace_us: Option<u64>,
    #[prost(uint32, tag = "6")]
    pub judge_failures: u32,
    #[prost(bool, tag = "7")]
    pub holds_slot: bool,
    // Tags 8 and 9 are reserved: earlier builds tell whether the engine has ended, and how long it had run the item.
    /// The engine closed the connection or reset it; false from hosts that do not say so.
    #[prost(bool, tag = "10")]
    pub connection_broke: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub enum EndKind {
    Stopped = 0,
    Scored = 1,
    Unjudged = 2,
    JudgeFailed = 3,
    NotRun = 4,
    Broken = 5,
    Slow = 6,
    Failed = 7,
    Rejected = 8,
}

impl Ended {
    pub fn new(run: u64, outcome: &Outcome, after: usize) -> Self {
        let (end, score) = match &outcome.end {
            End::Scored(score) => (EndKind::Scored, score.as_deref().map(str::to_owned)),
            End::Unjudged => (EndKind::Unjudged, None),
            End::JudgeFailed => (EndKind::JudgeFailed, None),
            End::NotRun => (EndKind::NotRun, None),
            End::Broken => (EndKind::Broken, None),
            End::Slow => (EndKind::Slow, None),
            End::Failed => (EndKind::Failed, None),
            End::Rejected => (EndKind::Rejected, None),
            End::Stopped => (EndKind::Stopped, None),
        };
        Self {
            part: Some(TextPart::new(run, &outcome.progress, after)),
            end: end.into(),
            score,
            text_complete: outcome.text_complete,
            pace_us: outcome.pace.map(micros),
            judge_failures: outcome.judge_failures,
            holds_slot: outcome.holds_slot,
            connection_broke: outcome.connection_broke,
        }
    }

    /// End of a run that was not started, so that its text is the one that came with the order.
    pub fn unstarted(item: &RunItem) -> Self {
        let part = TextPart {
            run: item.run,
            after: item.text.len() as u64,
            text: String::new(),
            last_event: item.last_event,
            versions: item.versions.clone(),
            software: item.text_software.clone(),
        };
        Self {
            part: Some(part),
            end: EndKind::NotRun.into(),
            score: None,
            text_complete: false,
            pace_us: None,
            judge_failures: 0,
            holds_slot: !item.target.is_empty(),
            connection_broke: false,
        }
    }

    /// Decodes the end.
    pub fn decoded_end(&self) -> End {
        match self.end() {
            EndKind::Scored => End::Scored(self.score.as_deref().map(Into::into)),
            EndKind::Unjudged => End::Unjudged,
            EndKind::JudgeFailed => End::JudgeFailed,
            EndKind::NotRun => End::NotRun,
            EndKind::Broken => End::Broken,
            EndKind::Slow => End::Slow,
            EndKind::Failed => End::Failed,
            EndKind::Rejected => End::Rejected,
            EndKind::Stopped => End::Stopped,
        }
    }
}
