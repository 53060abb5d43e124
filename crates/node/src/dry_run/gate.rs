//! Bound on the dry runs that a host answers at the same time.

use std::cell::Cell;

/// Dry runs at the same time. Few operators ask at once, and each answer lists many targets.
const RUNNING_MAX: usize = 4;

/// Admits a few dry runs at a time.
#[derive(Debug, Default)]
pub struct Gate(Cell<usize>);

/// Place of a dry run, until dropped.
#[derive(Debug)]
pub struct Slot<'a>(&'a Gate);

impl Gate {
    /// Takes a place; `None` if too many are in progress.
    pub fn enter(&self) -> Option<Slot<'_>> {
        let running = self.0.get();
        (running < RUNNING_MAX).then(|| {
            self.0.set(running + 1);
            Slot(self)
        })
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let Self(Gate(running)) = self;
        running.set(running.get() - 1);
    }
}
