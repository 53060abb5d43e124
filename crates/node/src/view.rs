//! State that the control thread publishes to the traffic thread.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;

use crate::{config::Config, fleet::Target, prelude::*, workspace::Knowledge};

/// Snapshot of the configuration and the targets.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// `None` until the first configuration is read.
    pub config: Option<Arc<Config>>,
    /// Age of the configuration.
    pub knowledge: Knowledge,
    pub targets: Arc<BTreeMap<TargetId, Arc<Target>>>,
    /// Addresses at which the leaders of services serve requests of other hosts.
    pub leaders: Arc<BTreeMap<ServiceId, SocketAddr>>,
    /// Addresses of the hosts that read for their zones, which also grant requests for targets with a limit.
    pub readers: Arc<BTreeMap<ZoneId, SocketAddr>>,
    /// The process is stopping.
    pub stopping: bool,
}

impl View {
    /// Whether callers need keys, as far as the configuration is known.
    pub fn has_workspaces(&self) -> bool {
        self.config.as_ref().is_some_and(|config| config.has_workspaces())
    }
}

/// View shared by both threads.
pub type Shared = Arc<ArcSwap<View>>;
