//! What the control thread publishes for the traffic thread.

use std::{collections::BTreeMap, sync::Arc};

use arc_swap::ArcSwap;

use crate::{config::Config, fleet::Target, prelude::*};

/// Configuration and targets as last known.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// `None` until the first configuration was read.
    pub config: Option<Arc<Config>>,
    pub targets: BTreeMap<TargetId, Arc<Target>>,
    /// The process was told to stop.
    pub stopping: bool,
}

/// Shared view.
pub type Shared = Arc<ArcSwap<View>>;
