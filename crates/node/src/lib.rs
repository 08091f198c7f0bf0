//! The node on real sockets: carries out what the module decides and tells it what happens.
#![allow(missing_docs, unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

mod bounds;
mod clients;
pub mod config;
mod counter;
mod discovery;
mod driver;
mod handover;
pub mod hollow;
mod invariants;
pub mod membership;
mod message;
mod metrics;
mod momentary;
mod operator;
pub mod overrides;
mod presence;
mod relay;
mod reload;
mod request;
pub mod shared;
mod stall;
mod stopping;
mod upstream;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use stonefold_net::Listener;
use stonefold_observe::Dropped;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;
use tracing::info;

use clients::Front;
use config::Config;
use driver::{Driver, Wiring};
use membership::Membership;
use message::{Control, SharedSettings};
use metrics::Metrics;
use operator::NodeHandler;
use overrides::{OverrideFile, OverrideStore};
use reload::ConfigReloader;
use stall::StallMonitor;
use stopping::Plan;

/// Directions that may wait for the driver.
const CONTROLS: usize = 16;
/// Serves until SIGTERM, then answers what was taken. `log` counts the lines that are dropped, for the figures.
pub async fn run(mut config: Config, log: Dropped) -> io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    // Guards against: an end on SIGHUP. From here to the process's end it has no other effect than a reload.
    let reload = signal(SignalKind::hangup())?;
    let listener = handover::listener(config.listen).await.map_err(io::Error::other)?;
    info!(event = "listening", at = %listener.local_addr()?, "clients can connect");
    let (sender, inbox) = mpsc::unbounded_channel();
    let subscribe = Arc::new(Notify::new());
    let shared = config.shared.clone();
    if let Some(shared) = &shared {
        shared.ready().await; // bounded by its settings
        config.known = shared.newer_list().unwrap_or(config.known);
    }
    // What a list without servers has changed since is no list.
    let known = (!config.known.servers.is_empty()).then_some(config.known.version);
    let (new_address, address) = watch::channel(config.discovery);
    let to_servers = Arc::new(AtomicUsize::new(0));
    let (bounds, servers_limit) = (config.client_bounds(to_servers.clone()), config.server_connections());
    let (new_terms, terms) = watch::channel(SharedSettings::from(&config.settings));
    let watching =
        discovery::EndpointWatcher::new(subscribe.clone(), known, terms.clone(), config.seed, sender.clone());
    let metrics = Arc::new(Metrics::new(log));
    terms.borrow().class_names.iter().for_each(|class| _ = metrics.class(class));
    let (control, directions) = mpsc::channel(CONTROLS);
    let in_file = || OverrideStore::File(OverrideFile::of_node());
    let store = Arc::new(shared.clone().map_or_else(in_file, OverrideStore::Shared));
    store.changed();
    let initial = store.load_at_start().await;
    tokio::spawn(overrides::follow(store.clone(), initial.unread, control.clone(), sender.clone()));
    let (operator, membership) = (config.operator, config.membership.take());
    let (budget, started) = (config.relay_budget(), config.started);
    let source = std::mem::take(&mut config.source);
    let serving = Arc::new(AtomicBool::new(false));
    let stalls = StallMonitor::new();
    let wiring = Wiring {
        stalls: stalls.clone(),
        budget: budget.clone(),
        metrics: metrics.clone(),
        held: to_servers,
        subscribe,
        to_self: sender.clone(),
        inbox,
        control: directions,
    };
    let driver = Driver::new(config, servers_limit, wiring, initial.overrides);
    let membership = membership.map(Membership::start);
    if let Some(membership) = &membership {
        metrics.show_membership(membership.metrics());
    }
    if let Some(at) = operator {
        let handler = NodeHandler {
            serving: serving.clone(),
            control: control.clone(),
            store,
            metrics: metrics.clone(),
            membership: membership.clone(),
        };
        operator::start(at, handler)?;
    }
    let driver = tokio::spawn(driver.run());
    tokio::spawn(watching.run(address));
    let reloader = ConfigReloader {
        source,
        control: control.clone(),
        metrics: metrics.clone(),
        discovery_address: new_address,
        settings: new_terms,
        shared,
    };
    tokio::spawn(reloader.run(reload));

    tokio::spawn(stalls.clone().run(metrics.clone()));
    let wiring = clients::Wiring {
        to: sender,
        bounds,
        terms: terms.clone(),
        metrics: metrics.clone(),
        budget,
        stalls: stalls.clone(),
    };
    let front = Front::start(wiring, Listener::new(listener));
    serving.store(true, Ordering::Relaxed);
    let took = started.elapsed();
    metrics.set_ready(took);
    info!(event = "ready", took_ms = took.as_millis() as u64, "requests are served");
    tokio::select! {
        _ = stop.recv() => {}
        ended = driver => return Err(io::Error::other(format!("the driver ended: {ended:?}"))),
    }
    info!(event = "stopping", "what was taken is answered, new connections are taken for a moment");
    let stopped = stalls.earliest_arrival(Instant::now()); // the word may have come in a stall
    let plan = Plan::new(terms.borrow().max_deadline, handover::is_passed());
    // A driver that is gone takes nothing.
    let _ = control.send(Control::Shutdown(stopped + plan.answers)).await;
    serving.store(false, Ordering::Relaxed);
    if let Some(membership) = membership {
        membership.leave().await;
    }
    front.stop(stopped, plan).await;
    Ok(())
}
