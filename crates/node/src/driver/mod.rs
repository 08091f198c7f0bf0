//! The task that owns the balancer, the open requests and the timers.

mod attempts;
mod clock;
mod control;
mod open_request;
mod requests;

use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use stonefold_balancer::settings_document::ResolvedSettings;
use stonefold_balancer::{
    Action, AttemptId, Balancer, CacheCounts, EndpointUpdate, Event, Outcome, RequestId, TimerToken,
};
use stonefold_proto::endpoints::EndpointList;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;
use tokio_util::time::DelayQueue;

use attempts::NewAttempt;
use clock::Clock;
use open_request::OpenRequest;

use crate::config::NodeConfig;
use crate::memory_budget::MemoryBudget;
use crate::message::{Control, Message};
use crate::metrics::Metrics;
use crate::overrides::Overrides;
use crate::request::Response;
use crate::shared::SharedEndpoints;
use crate::stall::StallMonitor;
use crate::upstream::directory::Directory;
use crate::upstream::start_times::ListArrival;
use crate::write_ids::WriteIds;

/// The maximum delay of a timer. `DelayQueue` panics at delays of some years, which unusual settings could request.
const MAX_TIMER: Duration = Duration::from_secs(86_400);
/// The interval at which expired idle connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which the metrics that only the balancer knows are updated. They may be up to half a second old.
const METRICS_INTERVAL: Duration = Duration::from_millis(250);

/// The capacity of the driver's channel for control messages.
pub(crate) const CONTROL_CAPACITY: usize = 16;

/// What wakes the driver.
enum Wakeup {
    Control(Control),
    Timer(Timer),
    Message(Message),
}

/// What a timer of the driver is for.
enum Timer {
    Balancer(TimerToken),
    AttemptTimeout(AttemptId),
    CloseExpiredConnections,
    UpdateMetrics { due: Instant },
}

/// What the driver shares with the other parts of the node.
pub(crate) struct DriverContext {
    pub(crate) stalls: StallMonitor,
    pub(crate) budget: MemoryBudget,
    pub(crate) metrics: Arc<Metrics>,
    /// The number of connections to servers, for the limit on client connections.
    pub(crate) server_connections: Arc<AtomicUsize>,
    /// Notified when the balancer requests that discovery is watched.
    pub(crate) watch_requested: Arc<Notify>,
    /// Sends to `inbox`.
    pub(crate) sender: UnboundedSender<Message>,
    pub(crate) inbox: UnboundedReceiver<Message>,
    pub(crate) control: Receiver<Control>,
}

/// Carries out the actions of the balancer and reports events to it.
pub(crate) struct Driver {
    balancer: Balancer,
    metrics: Arc<Metrics>,
    stalls: StallMonitor,
    settings: ResolvedSettings,
    clock: Clock,
    /// The time at the start of the current step, read before anything else in it. If the clock was read again later in
    /// the step, a stall in between would delay everything that is scheduled from then.
    now: Instant,
    directory: Directory,
    /// Whether discovery has answered. Changes that it reports after that happened while this process ran.
    discovery_answered: bool,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// The ids of writes that may have been executed, or are open.
    write_ids: WriteIds,
    budget: MemoryBudget,
    /// The number of attempts in flight, each of which has a connection or is opening one.
    attempts_in_flight: usize,
    max_connections: usize,
    /// The number of connections to servers, for the limit on client connections.
    server_connections: Arc<AtomicUsize>,
    timers: DelayQueue<Timer>,
    /// Events that have not been reported to the balancer yet.
    events: VecDeque<Event>,
    /// The buffer for the balancer's actions, reused and empty between events.
    actions: Vec<Action>,
    watch_requested: Arc<Notify>,
    sender: UnboundedSender<Message>,
    inbox: UnboundedReceiver<Message>,
    control: Receiver<Control>,
    overrides: Overrides,
    /// The endpoint list for the other nodes; `None` if nothing is shared.
    shared_endpoints: Option<SharedEndpoints>,
}

impl Driver {
    /// Creates a driver, and applies the list and the overrides known at the start.
    pub(crate) fn new(config: NodeConfig, context: DriverContext, overrides: Overrides) -> Self {
        let clock = Clock::new();
        let now = Instant::now();
        let settings = config.settings.settings.clone();
        let idle_timeout = Duration::from_micros(settings.idle_timeout);
        let mut driver = Driver {
            directory: Directory::new(idle_timeout, context.metrics.clone()),
            max_connections: config.server_connections(),
            balancer: Balancer::new(settings, config.seed, clock.to_micros(now)),
            metrics: context.metrics,
            stalls: context.stalls,
            settings: config.settings,
            clock,
            now,
            discovery_answered: false,
            open_requests: HashMap::new(),
            write_ids: WriteIds::of_node(),
            budget: context.budget,
            attempts_in_flight: 0,
            server_connections: context.server_connections,
            timers: DelayQueue::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            watch_requested: context.watch_requested,
            sender: context.sender,
            inbox: context.inbox,
            control: context.control,
            overrides: Overrides::new(),
            shared_endpoints: config.shared.map(SharedEndpoints::new),
        };
        driver.initialize(overrides, EndpointList { full: true, ..config.known });
        driver
    }

    fn initialize(&mut self, overrides: Overrides, known: EndpointList) {
        self.timers.insert(Timer::CloseExpiredConnections, IDLE_CHECK_INTERVAL);
        self.schedule_metrics_update();
        self.apply_overrides(overrides, None);
        self.apply_list_if_current(known);
        self.decide();
        self.update_metrics();
    }

    /// Runs until all senders of messages are dropped.
    pub(crate) async fn run(mut self) {
        while self.step().await {}
    }

    /// Waits for the next wakeup and handles it. Returns false once all senders of messages are dropped.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: when it is cancelled, no wakeup was taken from a queue or lost.
    pub(crate) async fn step(&mut self) -> bool {
        let wakeup = tokio::select! {
            biased;
            Some(control) = self.control.recv() => Wakeup::Control(control),
            Some(timer) = poll_fn(|cx| self.timers.poll_expired(cx)) => Wakeup::Timer(timer.into_inner()),
            message = self.inbox.recv() => match message {
                Some(message) => Wakeup::Message(message),
                None => return false,
            },
        };
        self.now = Instant::now();
        match wakeup {
            Wakeup::Control(control) => self.on_control(control),
            Wakeup::Timer(timer) => self.on_timer(timer),
            Wakeup::Message(message) => self.on_message(message),
        }
        self.decide();
        true
    }

    /// Handles a message at once, bypassing the inbox.
    pub(crate) fn handle(&mut self, message: Message) {
        self.now = Instant::now();
        self.on_message(message);
        self.decide();
    }

    /// The servers as they were last listed.
    pub(crate) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The number of cache servers that the balancer knows, and how many of them it avoids.
    pub(crate) fn cache_counts(&self) -> CacheCounts {
        self.balancer.cache_counts()
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::RequestReceived(incoming) => self.on_request_received(incoming),
            Message::ExcessRequest(excess) => self.reject_excess(excess),
            Message::ClientDisconnected(id) => self.on_client_disconnected(id),
            Message::ResponseStarted { attempt, stream } => self.on_response_started(attempt, stream),
            Message::AttemptFinished(finished) => self.on_attempt_finished(finished),
            Message::EndpointList(list) => {
                self.apply_list_if_current(list);
                self.discovery_answered = true;
            }
            // The endpoint watcher retries by itself, and the known list stays in use.
            Message::EndpointListFailed => self.metrics.failed_polls.increment(),
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Balancer(token) => self.events.push_back(Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => self.abandon(attempt, Outcome::TimedOut),
            Timer::CloseExpiredConnections => {
                self.directory.close_expired(Instant::now());
                self.timers.insert(Timer::CloseExpiredConnections, IDLE_CHECK_INTERVAL);
            }
            Timer::UpdateMetrics { due } => {
                self.metrics.loop_lag.record(due.elapsed());
                self.update_metrics();
                self.schedule_metrics_update();
            }
        }
    }

    /// Reports the queued events to the balancer and executes its actions, until the queue is empty.
    fn decide(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.on_event(self.clock.to_micros(self.now), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout, send_before } => {
                let timeout = Duration::from_micros(timeout);
                let send_before = send_before.map(|time| self.clock.to_instant(time));
                self.send(NewAttempt { request, server, timeout, send_before });
            }
            Action::Cancel(attempt) => self.abandon(attempt, Outcome::Canceled),
            Action::Reject { request, retry_after } => {
                self.finish(request, Response::Rejected { retry_after });
            }
            Action::Fail(request) => self.finish(request, Response::Failed),
            Action::SetTimer { after, token } => {
                let after = Duration::from_micros(after).min(MAX_TIMER);
                self.timers.insert_at(Timer::Balancer(token), self.now + after);
            }
            Action::WatchEndpoints => self.watch_requested.notify_one(),
            Action::CloseIdleConnections(server) => self.directory.close_idle_connections(server),
        }
    }

    /// Copies the values that only the balancer knows into the metrics.
    fn update_metrics(&self) {
        let caches = self.balancer.cache_counts();
        self.metrics.listed_servers.set(caches.listed as u64);
        self.metrics.unavailable_servers.set(caches.avoided as u64);
    }

    fn schedule_metrics_update(&mut self) {
        let due = Instant::now() + METRICS_INTERVAL;
        self.timers.insert_at(Timer::UpdateMetrics { due }, due);
    }

    /// Applies a list, unless the other nodes know a newer one.
    fn apply_list_if_current(&mut self, list: EndpointList) {
        if self.shared_endpoints.as_mut().is_none_or(|shared| shared.apply(&list)) {
            self.apply_list(list);
        }
    }

    fn apply_list(&mut self, list: EndpointList) {
        let update = if list.full { EndpointUpdate::Full } else { EndpointUpdate::Delta };
        let now = self.clock.to_micros(self.now);
        let arrival =
            if self.discovery_answered { ListArrival::Update(now) } else { ListArrival::First(now) };
        let endpoints = self.directory.apply(list, arrival, &mut self.settings);
        self.events.push_back(Event::Endpoints { update, endpoints });
    }
}
