//! Items that go on from a text that was begun for them.

use crate::{
    events::Progress,
    job::{Checkpoint, Item, Job, Origin, status::State},
};

impl Job {
    /// Applies checkpoints of an earlier leader to waiting items whose own text is shorter.
    pub fn resume(&mut self, checkpoints: Vec<Checkpoint>) {
        for checkpoint in checkpoints {
            let items = &self.spec.items;
            if let Some(item) = items.iter().position(|item| item.id == checkpoint.item) {
                self.resume_position(item, checkpoint.progress, checkpoint.text_complete);
            }
        }
    }

    /// Continues a waiting item from a text, if that is longer than its own. Returns whether the job has an item of this
    /// origin.
    pub(super) fn resume_item(
        &mut self,
        origin: &Origin,
        progress: Progress,
        text_complete: bool,
    ) -> bool {
        let position = self.spec.items.iter().position(|item| item.id == origin.item);
        let Some(item) = position.filter(|item| self.origin(*item) == *origin) else {
            return false;
        };
        self.resume_position(item, progress, text_complete);
        true
    }

    /// What the text of an item is generated for.
    pub(super) fn origin(&self, item: usize) -> Origin {
        let Item { id, body, .. } = &*self.spec.items[item];
        Origin::new(self.record.workspace.as_deref(), &self.spec.model, id, body)
    }

    fn resume_position(&mut self, item: usize, progress: Progress, text_complete: bool) {
        let status = &mut self.statuses[item];
        if let State::Waiting { not_before } = status.state
            && progress.last_event > status.progress.last_event
        {
            (status.progress, status.text_complete) = (progress, text_complete);
            self.set_state(item, State::Waiting { not_before });
        }
    }
}
