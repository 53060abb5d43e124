//! What the control thread needs.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::{
    cloud,
    contact::Contact,
    dialect,
    feed::Feed,
    freshness::Freshness,
    job::Failures,
    links::Links,
    rate,
    relay::Peers,
    settings::Settings,
    store, term,
    traffic::{Command, Report},
    usage::Meter,
    view::Shared,
};

/// Resources of the control thread that the process provides.
pub struct Parts {
    pub settings: Settings,
    pub view: Shared,
    pub dialect: dialect::Handle,
    pub store: store::Handle,
    pub contact: Arc<Contact>,
    /// API of the platform, if this deployment has duties there.
    pub cloud: Option<cloud::Handle>,
    /// Hosts that relay calls to the store.
    pub peers: Peers,
    pub freshness: Arc<Freshness>,
    pub feed: Arc<Feed>,
    pub limits: Arc<rate::Table>,
    pub links: Arc<Links>,
    pub terms: Arc<term::Table>,
    pub failures: Arc<Failures>,
    /// Usage of workspaces on this host.
    pub meter: Arc<Meter>,
    pub commands: mpsc::UnboundedSender<Command>,
    pub reports: mpsc::UnboundedReceiver<Report>,
    pub stopping: watch::Receiver<bool>,
}
