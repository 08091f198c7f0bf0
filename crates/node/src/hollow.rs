//! A hollow node: a node's control code without its request path, for experiments with large fleets. It watches
//! discovery, applies endpoint lists to the driver and the balancer, and follows the overrides; clients, operators,
//! signals and reloads are left out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use stonefold_balancer::EndpointState;
use stonefold_observe::DroppedLines;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use crate::config::{NodeConfig, ReloadSource};
use crate::discovery::EndpointWatcher;
use crate::driver::{CONTROL_CAPACITY, Driver, DriverContext};
use crate::message::{Message, SharedSettings};
use crate::metrics::Metrics;
use crate::overrides::{self, OverrideFile, OverrideStore, Overrides};
use crate::stall::StallMonitor;

/// The endpoint list that a node has applied: at its start, and after each new one.
pub struct AppliedList<'a> {
    /// The version of the list.
    pub version: u64,
    driver: &'a Driver,
}

impl AppliedList<'_> {
    /// How a server was last listed, and when it started in milliseconds of Unix time; `None` if it is not listed.
    pub fn listed(&self, name: &str) -> Option<(EndpointState, f64)> {
        let listing = self.driver.directory().listing(name)?;
        Some((listing.state, listing.started_ms))
    }

    /// The number of listed servers according to the directory, and according to the balancer.
    pub fn servers(&self) -> (usize, usize) {
        (self.driver.directory().len(), self.driver.cache_counts().listed)
    }
}

/// A running hollow node. Its tasks end when it is dropped.
struct HollowNode {
    driver: Driver,
    /// The watcher's messages. They are forwarded to the driver by [`run`], which thus knows when a list is applied.
    watcher_messages: UnboundedReceiver<Message>,
    /// The version of the list that was last applied.
    version: u64,
    /// These senders are kept because the watcher ends once they are dropped.
    _address: watch::Sender<SocketAddr>,
    _settings: watch::Sender<SharedSettings>,
    _tasks: [AbortOnDropHandle<()>; 3],
}

impl HollowNode {
    fn start(mut config: NodeConfig) -> HollowNode {
        let (to_self, inbox) = mpsc::unbounded_channel();
        let (to_driver, watcher_messages) = mpsc::unbounded_channel();
        let (control_sender, control) = mpsc::channel(CONTROL_CAPACITY);
        let (address_sender, address) = watch::channel(config.discovery);
        let (settings_sender, settings) = watch::channel(SharedSettings::from(&config.settings));
        let watch_requested = Arc::new(Notify::new());
        let version = config.known.version;
        let known_version = (!config.known.servers.is_empty()).then_some(version);
        let watcher =
            EndpointWatcher::new(watch_requested.clone(), known_version, settings, config.seed, to_driver);
        let store = Arc::new(OverrideStore::File(OverrideFile::of_node()));
        store.changed(); // the overrides that are loaded below are not a change
        config.source = ReloadSource::default();
        let metrics = Arc::new(Metrics::new(DroppedLines::default()));
        let stalls = StallMonitor::new();
        let heartbeat = stalls.clone().run(metrics.clone());
        let context = DriverContext {
            stalls,
            budget: config.relay_budget(),
            metrics,
            server_connections: Arc::new(AtomicUsize::new(0)),
            watch_requested,
            sender: to_self.clone(),
            inbox,
            control,
        };
        let overrides = store.load().unwrap_or_else(|_| Overrides::new());
        let driver = Driver::new(config, context, overrides);
        let overrides = overrides::follow(store, false, control_sender, to_self);
        HollowNode {
            driver,
            watcher_messages,
            version,
            _address: address_sender,
            _settings: settings_sender,
            _tasks: [spawn(heartbeat), spawn(overrides), spawn(watcher.run(address))],
        }
    }

    fn applied_list(&self) -> AppliedList<'_> {
        AppliedList { version: self.version, driver: &self.driver }
    }
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

/// Runs a hollow node until it is dropped; reports the list that it starts with, and each one that it applies.
///
/// # Cancel safety
/// When it is cancelled, the node and all its tasks end.
pub async fn run(config: NodeConfig, mut on_list: impl FnMut(AppliedList<'_>)) {
    let mut node = HollowNode::start(config);
    on_list(node.applied_list());
    loop {
        tokio::select! {
            biased;
            Some(message) = node.watcher_messages.recv() => {
                let version = if let Message::EndpointList(list) = &message { Some(list.version) } else { None };
                node.driver.handle(message);
                if let Some(version) = version {
                    node.version = version;
                    on_list(node.applied_list());
                }
            }
            running = node.driver.step() => if !running { return },
        }
    }
}
