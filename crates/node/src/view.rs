//! State that the control thread publishes to the traffic thread.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;

use crate::{config::Config, fleet::Target, prelude::*};

/// Snapshot of the configuration and the targets.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// `None` until the first configuration is read.
    pub config: Option<Arc<Config>>,
    pub targets: BTreeMap<TargetId, Arc<Target>>,
    /// The process is stopping.
    pub stopping: bool,
}

/// View shared by both threads.
pub type Shared = Arc<ArcSwap<View>>;
