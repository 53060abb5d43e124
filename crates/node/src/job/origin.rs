use crate::{crash::Content, prelude::*};

/// What a text was generated for. A later job may have an item with the same id, of another workspace or of other content, which
/// must not go on from it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    pub item: ItemId,
    /// Identity of the workspace, the model and the body.
    pub content: Content,
}

impl Origin {
    pub fn new(workspace: Option<&str>, model: &str, item: &str, body: &[u8]) -> Self {
        let content = Content::new(workspace.unwrap_or_default(), model, "", body);
        Self { item: item.into(), content }
    }

    /// Origin of an item in a message that does not name it, as builds before this one send them. No item of another job
    /// has it.
    pub fn unknown(job: &str, item: &str) -> Self {
        Self { item: item.into(), content: Content::new("", "", job, item.as_bytes()) }
    }
}
