//! Part of the text of a run, so that a text is transferred once.

use crate::events::Progress;

/// Part of the text of a run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TextPart {
    #[prost(uint64, tag = "1")]
    pub run: u64,
    /// Length in bytes of the text before this part.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    #[prost(string, tag = "3")]
    pub text: String,
    #[prost(uint64, tag = "4")]
    pub last_event: u64,
    /// Versions that generated the whole text.
    #[prost(uint64, repeated, tag = "5")]
    pub versions: Vec<u64>,
    /// Software version of the whole text, if it is known.
    #[prost(string, optional, tag = "6")]
    pub software: Option<String>,
}

impl TextPart {
    /// Part of a text that follows the first `after` bytes. If the text is shorter, it was begun anew.
    pub fn new(run: u64, progress: &Progress, after: usize) -> Self {
        let after = if progress.text.is_char_boundary(after) { after } else { 0 };
        Self {
            run,
            after: after as u64,
            text: progress.text[after..].to_owned(),
            last_event: progress.last_event,
            versions: progress.versions.iter().copied().collect(),
            software: progress.software.as_deref().map(str::to_owned),
        }
    }

    /// Adds the part to the text before it. Returns `false` if that is not the text that the part follows.
    pub fn apply(self, progress: &mut Progress) -> bool {
        let after = usize::try_from(self.after).unwrap_or(usize::MAX);
        if !progress.text.is_char_boundary(after) {
            return false;
        }
        progress.text.truncate(after);
        progress.text.push_str(&self.text);
        progress.last_event = self.last_event;
        progress.versions = self.versions.into_iter().collect();
        progress.software = self.software.map(Into::into);
        true
    }
}
