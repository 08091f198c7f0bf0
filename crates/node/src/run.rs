//! Starts the parts of a node, runs it until SIGTERM, and shuts it down.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time;

use stonefold_net::Listener;
use stonefold_observe::DroppedLines;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::info;

use crate::clients::{ClientContext, ClientServer};
use crate::config::NodeConfig;
use crate::discovery::EndpointWatcher;
use crate::driver::{CONTROL_CAPACITY, Driver, DriverContext};
use crate::membership::{Membership, MembershipConfig};
use crate::message::{Control, Message, SharedSettings};
use crate::metrics::Metrics;
use crate::operator::NodeHandler;
use crate::overrides::{self, OverrideFile, OverrideStore, Overrides};
use crate::reload::ConfigReloader;
use crate::shutdown::ShutdownSchedule;
use crate::stall::StallMonitor;
use crate::{handover, operator};

/// Runs a node until SIGTERM, then answers the open requests. `log` counts dropped log lines for the metrics.
///
/// # Errors
///
/// Fails if the node cannot listen on one of its addresses, or if the driver ends.
pub async fn run(config: NodeConfig, log: DroppedLines) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    // Without a handler, SIGHUP would end the process.
    let reload = signal(SignalKind::hangup())?;
    let listener = listen(config.listen).await?;
    let mut node = Node::start(config, listener, reload, Arc::new(Metrics::new(log))).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        ended = &mut node.driver => return Err(io::Error::other(format!("the driver ended: {ended:?}"))),
    }
    node.shut_down().await;
    Ok(())
}

/// A node that serves clients.
struct Node {
    handles: Handles,
    driver: JoinHandle<()>,
    clients: ClientServer,
    membership: Option<Membership>,
    stalls: StallMonitor,
    /// Whether the node serves requests, which the operators' command `READY` reports: true once it is ready, and false
    /// from the start of a shutdown.
    serving: Arc<AtomicBool>,
}

/// What the parts of a node share.
#[derive(Clone)]
struct Handles {
    /// Sends to the driver.
    to_driver: UnboundedSender<Message>,
    /// Sends to the driver, ahead of all other messages.
    control: mpsc::Sender<Control>,
    metrics: Arc<Metrics>,
    settings: watch::Receiver<SharedSettings>,
}

impl Node {
    /// Starts the parts of the node. Clients are accepted last.
    async fn start(
        mut config: NodeConfig,
        listener: Listener,
        reload: Signal,
        metrics: Arc<Metrics>,
    ) -> io::Result<Node> {
        adopt_shared_list(&mut config).await;
        let (to_driver, inbox) = mpsc::unbounded_channel();
        let (control, control_inbox) = mpsc::channel(CONTROL_CAPACITY);
        let (new_address, address) = watch::channel(config.discovery);
        let (new_settings, settings) = watch::channel(SharedSettings::from(&config.settings));
        let handles = Handles { to_driver, control, metrics, settings };
        handles.register_classes();
        let watch_requested = Arc::new(Notify::new());
        let endpoint_watcher = handles.endpoint_watcher(&config, watch_requested.clone());
        let (override_store, overrides) = handles.start_override_store(&config).await;
        let context = handles.driver_context(&config, watch_requested, inbox, control_inbox);
        let stalls = context.stalls.clone();
        let client_context = handles.client_context(&config, &context);
        let reloader = handles.reloader(&mut config, new_address, new_settings);
        let (operator, started) = (config.operator, config.started);
        let membership_config = config.membership.take();
        let driver = Driver::new(config, context, overrides);
        let membership = handles.start_membership(membership_config);
        let serving = Arc::new(AtomicBool::new(false));
        if let Some(addr) = operator {
            handles.start_operator(addr, override_store, membership.clone(), serving.clone())?;
        }
        let driver = tokio::spawn(driver.run());
        tokio::spawn(endpoint_watcher.run(address));
        tokio::spawn(reloader.run(reload));
        tokio::spawn(stalls.clone().run(handles.metrics.clone()));
        let clients = ClientServer::start(client_context, listener);
        serving.store(true, Ordering::Relaxed);
        handles.log_ready(started);
        Ok(Node { handles, driver, clients, membership, stalls, serving })
    }
}

impl Node {
    /// Shuts down: answers the open requests, and still accepts new connections for a short time.
    async fn shut_down(self) {
        let Node { handles, clients, membership, serving, stalls, .. } = self;
        info!(
            event = "stopping",
            "shutting down: open requests are answered, and new connections accepted for a short time"
        );
        // The signal may have arrived during a stall of the event loop.
        let stopped_at = stalls.earliest_arrival(Instant::now());
        let longest = handles.settings.borrow().max_deadline;
        let schedule = ShutdownSchedule::new(longest, handover::is_passed());
        // Fails only if the driver has ended, in which case it accepts no requests either.
        let _ = handles.control.send(Control::Shutdown(stopped_at + schedule.answer_by)).await;
        serving.store(false, Ordering::Relaxed);
        if let Some(membership) = membership {
            membership.leave().await;
        }
        clients.stop(stopped_at, schedule).await;
    }
}

/// Opens the clients' listener, or uses the socket that the platform has passed.
async fn listen(addr: SocketAddr) -> io::Result<Listener> {
    let listener = handover::listener(addr).await.map_err(io::Error::other)?;
    info!(event = "listening", at = %listener.local_addr()?, "clients can connect");
    Ok(Listener::new(listener))
}

/// Waits until the state that all nodes share is known, if there is any, and adopts its endpoint list if that is newer.
async fn adopt_shared_list(config: &mut NodeConfig) {
    let Some(shared) = config.shared.clone() else { return };
    shared.ready().await;
    if let Some(list) = shared.newer_list() {
        config.known = list;
    }
}

impl Handles {
    /// Registers all classes in the metrics, so that they are shown from the start.
    fn register_classes(&self) {
        for class in &self.settings.borrow().class_names {
            self.metrics.class(class);
        }
    }

    /// Creates the watcher of discovery, which continues from the known list. An empty list has no version to continue
    /// from.
    fn endpoint_watcher(&self, config: &NodeConfig, watch_requested: Arc<Notify>) -> EndpointWatcher {
        let known = &config.known;
        let version = (!known.servers.is_empty()).then_some(known.version);
        EndpointWatcher::new(
            watch_requested,
            version,
            self.settings.clone(),
            config.seed,
            self.to_driver.clone(),
        )
    }

    /// Loads the overrides of operators, and starts to follow changes that other processes and nodes make.
    async fn start_override_store(&self, config: &NodeConfig) -> (Arc<OverrideStore>, Overrides) {
        let store = match config.shared.clone() {
            Some(shared) => OverrideStore::Shared(shared),
            None => OverrideStore::File(OverrideFile::of_node()),
        };
        let store = Arc::new(store);
        store.changed(); // the overrides that are loaded below are not a change
        let initial = store.load_at_start().await;
        let follow = overrides::follow(
            store.clone(),
            initial.load_pending,
            self.control.clone(),
            self.to_driver.clone(),
        );
        tokio::spawn(follow);
        (store, initial.overrides)
    }

    fn driver_context(
        &self,
        config: &NodeConfig,
        watch_requested: Arc<Notify>,
        inbox: UnboundedReceiver<Message>,
        control: mpsc::Receiver<Control>,
    ) -> DriverContext {
        DriverContext {
            stalls: StallMonitor::new(),
            budget: config.relay_budget(),
            metrics: self.metrics.clone(),
            server_connections: Arc::default(),
            watch_requested,
            sender: self.to_driver.clone(),
            inbox,
            control,
        }
    }

    fn client_context(&self, config: &NodeConfig, driver: &DriverContext) -> ClientContext {
        ClientContext {
            driver: self.to_driver.clone(),
            limits: config.client_limits(driver.server_connections.clone()),
            settings: self.settings.clone(),
            metrics: self.metrics.clone(),
            budget: driver.budget.clone(),
            stalls: driver.stalls.clone(),
        }
    }

    /// Creates the task that reloads the configuration.
    fn reloader(
        &self,
        config: &mut NodeConfig,
        new_address: watch::Sender<SocketAddr>,
        new_settings: watch::Sender<SharedSettings>,
    ) -> ConfigReloader {
        ConfigReloader {
            source: std::mem::take(&mut config.source),
            control: self.control.clone(),
            metrics: self.metrics.clone(),
            discovery_address: new_address,
            settings: new_settings,
            shared: config.shared.clone(),
        }
    }

    /// Joins the membership of nodes, if it is configured.
    fn start_membership(&self, config: Option<MembershipConfig>) -> Option<Membership> {
        let membership = Membership::start(config?);
        self.metrics.show_membership(membership.metrics());
        Some(membership)
    }

    /// Starts to serve operators.
    fn start_operator(
        &self,
        addr: SocketAddr,
        override_store: Arc<OverrideStore>,
        membership: Option<Membership>,
        serving: Arc<AtomicBool>,
    ) -> io::Result<()> {
        let handler = NodeHandler {
            serving,
            control: self.control.clone(),
            override_store,
            metrics: self.metrics.clone(),
            membership,
        };
        operator::start(addr, handler)
    }

    /// Logs and records in the metrics that requests are served now. `started` is the start of the process.
    fn log_ready(&self, started: time::Instant) {
        let took = started.elapsed();
        self.metrics.set_ready(took);
        info!(event = "ready", took_ms = took.as_millis() as u64, "requests are served");
    }
}
