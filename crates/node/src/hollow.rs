//! A node's control without its request path: the watch on discovery, the list, the module, the orders that are kept.
//! Clients, operators, signals and the configuration's source are left out; what is left is the node's own code.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use stonefold_balancer::EndpointState;
use stonefold_observe::Dropped;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::task::AbortOnDropHandle;

use crate::config::Config;
use crate::driver::{Driver, Wiring};
use crate::message::{Message, SharedSettings};
use crate::metrics::Metrics;
use crate::overrides::{self, OverrideFile, OverrideStore, Overrides};
use crate::stall::StallMonitor;
use crate::{CONTROLS, discovery};

/// What a node goes by: at its start, and right after it took over a list.
pub struct Acted<'a> {
    /// The version of the list.
    pub version: u64,
    driver: &'a Driver,
}

impl Acted<'_> {
    /// How a server was last listed, and since when it runs in ms of Unix time; nothing if it is not listed.
    pub fn listed(&self, name: &str) -> Option<(EndpointState, f64)> {
        self.driver.directory().listed(name)
    }

    /// How many servers are listed, as the node has it and as the module does.
    pub fn servers(&self) -> (usize, usize) {
        (self.driver.directory().len(), self.driver.cache_counts().listed)
    }
}

/// Runs a node's control until it is dropped; tells what it goes by at its start, and after each list.
pub async fn run(mut config: Config, mut acted: impl FnMut(Acted<'_>)) {
    let (sender, inbox) = mpsc::unbounded_channel();
    // What the watch tells passes through here, so that it is known when it is in force.
    let (to_driver, mut heard) = mpsc::unbounded_channel();
    let subscribe = Arc::new(Notify::new());
    let known = (!config.known.servers.is_empty()).then_some(config.known.version);
    let (_address, address) = watch::channel(config.discovery);
    let (_terms, terms) = watch::channel(SharedSettings::from(&config.setup));
    let watching = discovery::EndpointWatcher::new(subscribe.clone(), known, terms, config.seed, to_driver);
    let (control, directions) = mpsc::channel(CONTROLS);
    let store = Arc::new(OverrideStore::File(OverrideFile::of_node()));
    store.changed();
    config.file = Default::default();
    let version = config.known.version;
    let metrics = Arc::new(Metrics::new(Dropped::default()));
    let stalls = StallMonitor::new();
    let _heartbeat = AbortOnDropHandle::new(tokio::spawn(stalls.clone().run(metrics.clone())));
    let wiring = Wiring {
        stalls,
        budget: config.relay_budget(),
        metrics: metrics.clone(),
        held: Arc::new(AtomicUsize::new(0)),
        subscribe,
        to_self: sender.clone(),
        inbox,
        control: directions,
    };
    let limit = config.server_connections();
    let mut driver = Driver::new(config, limit, wiring, store.load().unwrap_or_else(|_| Overrides::new()));
    let _following =
        AbortOnDropHandle::new(tokio::spawn(overrides::follow(store, false, control, sender.clone())));
    let _watching = AbortOnDropHandle::new(tokio::spawn(watching.run(address)));
    acted(Acted { version, driver: &driver });
    loop {
        tokio::select! {
            biased;
            Some(message) = heard.recv() => {
                let version = if let Message::EndpointList(list) = &message { Some(list.version) } else { None };
                driver.take(message);
                if let Some(version) = version {
                    acted(Acted { version, driver: &driver });
                }
            }
            going = driver.step() => if !going { return },
        }
    }
}
