//! The one task that owns the module, the open requests and the timers.

mod attempts;
mod open_request;
mod requests;

use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use stonefold_balancer::settings_document::{ResolvedSettings, micros_from_millis};
use stonefold_balancer::{
    Action, AttemptId, Balancer, CacheCounts, EndpointUpdate, Event, Micros, Outcome, RequestId, TimerToken,
};
use stonefold_proto::endpoints::EndpointList;
use tokio::sync::Notify;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;
use tokio_util::time::DelayQueue;
use tracing::info;

use open_request::{Clock, Open};

use crate::config::Config;
use crate::message::{Control, Message, SharedSettings};
use crate::metrics::Metrics;
use crate::overrides::Overrides;
use crate::relay::Budget;
use crate::request::Response;
use crate::shared::Ledger;
use crate::stall::StallMonitor;
use crate::upstream::directory::Directory;
use crate::upstream::starts::ListDate;

/// The timers' queue panics at times of some years, which odd settings could ask for.
const LONGEST_TIMER: Duration = Duration::from_secs(86_400);
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);
/// How often the servers are counted for the figures, which may lag half a second.
const COUNT: Duration = Duration::from_millis(250);

/// What a turn of the driver is about.
enum Come {
    Control(Control),
    Due(Due),
    Message(Message),
}

enum Due {
    Module(TimerToken),
    Attempt(RequestId, usize),
    Sweep,
    /// At this time.
    Count(Instant),
}

/// How the driver hangs together with the other parts.
pub struct Wiring {
    pub stalls: StallMonitor,
    pub budget: Budget,
    pub metrics: Arc<Metrics>,
    /// How many connections to servers there are, for the clients' side.
    pub held: Arc<AtomicUsize>,
    /// Told when the list is to be subscribed to.
    pub subscribe: Arc<Notify>,
    pub to_self: UnboundedSender<Message>,
    pub inbox: UnboundedReceiver<Message>,
    pub control: Receiver<Control>,
}

/// Carries out what the module decides, and tells it what happens.
pub struct Driver {
    balancer: Balancer,
    metrics: Arc<Metrics>,
    stalls: StallMonitor,
    setup: ResolvedSettings,
    clock: Clock,
    /// The time that this turn goes by, read before anything else in it.
    ///
    /// Guards against a stall between two readings of the clock, which would make all that is due later by as much.
    now: Instant,
    directory: Directory,
    /// Whether discovery has answered: what it tells from then on has happened while this process ran.
    answered: bool,
    open: HashMap<RequestId, Open>,
    budget: Budget,
    /// Attempts under way: each holds a connection, or is making one.
    running: usize,
    connections: usize,
    /// How many connections to servers there are, for the clients' side.
    held: Arc<AtomicUsize>,
    timers: DelayQueue<Due>,
    /// What has happened and is not yet told.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    subscribe: Arc<Notify>,
    to_self: UnboundedSender<Message>,
    inbox: UnboundedReceiver<Message>,
    control: Receiver<Control>,
    overrides: Overrides,
    /// The list for the others; nothing where nothing is kept together.
    ledger: Option<Ledger>,
}

impl Driver {
    /// A driver that holds so many connections to servers at most.
    pub fn new(config: Config, connections: usize, wiring: Wiring, overrides: Overrides) -> Self {
        let Wiring { stalls, budget, metrics, held, subscribe, to_self, inbox, control } = wiring;
        let (clock, now, settings) = (Clock::new(), Instant::now(), config.settings.settings.clone());
        let directory = Directory::new(Duration::from_micros(settings.idle_timeout), metrics.clone());
        let mut driver = Driver {
            balancer: Balancer::new(settings, config.seed, clock.at(now)),
            metrics,
            stalls,
            setup: config.settings,
            clock,
            now,
            directory,
            answered: false,
            open: HashMap::new(),
            budget,
            running: 0,
            connections,
            held,
            timers: DelayQueue::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            subscribe,
            to_self,
            inbox,
            control,
            overrides: Overrides::new(),
            ledger: config.shared.map(Ledger::new),
        };
        driver.timers.insert(Due::Sweep, SWEEP);
        driver.count_later();
        driver.apply_overrides(overrides, None);
        let known = EndpointList { full: true, ..config.known };
        if driver.ledger.as_mut().is_none_or(|ledger| ledger.enter(&known)) {
            driver.list(known);
        }
        driver.decide();
        driver.count();
        driver
    }

    /// Runs until nobody can tell it anything.
    pub async fn run(mut self) {
        while self.step().await {}
    }

    /// Waits for what comes next, and does what follows from it; false once nobody can tell it anything. Cancelled,
    /// it has done nothing.
    pub async fn step(&mut self) -> bool {
        let come = tokio::select! {
            biased;
            Some(control) = self.control.recv() => Come::Control(control),
            Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)) => Come::Due(due.into_inner()),
            message = self.inbox.recv() => match message {
                Some(message) => Come::Message(message),
                None => return false,
            },
        };
        self.now = Instant::now();
        match come {
            Come::Control(control) => self.on_control(control),
            Come::Due(due) => self.on_timer(due),
            Come::Message(message) => self.on_message(message),
        }
        self.decide();
        true
    }

    /// Takes a message at once, and does what follows from it.
    pub fn take(&mut self, message: Message) {
        self.now = Instant::now();
        self.on_message(message);
        self.decide();
    }

    /// The servers as they are known.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// How many caches the balancer has, and how many of them it avoids.
    pub fn cache_counts(&self) -> CacheCounts {
        self.balancer.cache_counts()
    }

    fn on_control(&mut self, control: Control) {
        match control {
            Control::Shutdown(at) => {
                self.events.push_back(Event::Shutdown { deadline: self.clock.at(at) });
            }
            // Who asked may have left.
            Control::IsKnownServer { name, reply: answer } => _ = answer.send(self.directory.knows(&name)),
            Control::Reload(stated, answer) => {
                let terms = self.setup.updated_with(*stated).map(|setup| self.apply_settings(setup));
                self.decide();
                let _ = answer.send(terms);
            }
            Control::Overrides { overrides, applied } => {
                self.apply_overrides(overrides, Some(self.clock.at(self.now)));
                self.decide();
                let _ = applied.map(|applied| applied.send(()));
            }
        }
    }

    /// Goes by new settings. Requests that are open keep the rules they arrived under.
    fn apply_settings(&mut self, setup: ResolvedSettings) -> SharedSettings {
        self.setup = setup;
        let settings = &self.setup.settings;
        self.directory.set_keepalive(Duration::from_micros(settings.idle_timeout));
        self.events.push_back(Event::Settings(Box::new(settings.clone())));
        SharedSettings::from(&self.setup)
    }

    /// Applies the overrides that differ from those in force. One that is set while the process runs counts from `now`;
    /// an older one from its time on the wall clock.
    fn apply_overrides(&mut self, overrides: Overrides, now: Option<Micros>) {
        for (name, server_override) in &overrides {
            if self.overrides.get(name) == Some(server_override) {
                continue;
            }
            let disabled = server_override.disabled;
            let server = self.directory.ban(name, disabled);
            let event = match disabled {
                true => Event::Disable(server),
                false => {
                    let since = now.unwrap_or(micros_from_millis(server_override.since_ms as f64));
                    Event::Enable { server, since }
                }
            };
            let (event_name, words) = match disabled {
                true => ("server_out", "out of use by hand"),
                false => ("server_back", "back in use by hand"),
            };
            info!(event = event_name, server = name, words);
            self.events.push_back(event);
        }
        self.overrides = overrides;
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::RequestReceived(arrival) => self.arrived(arrival),
            Message::ExcessRequest(surplus) => self.refuse(surplus),
            Message::ClientDisconnected(id) => self.gone(id),
            Message::ResponseStarted { attempt: AttemptId { request: id, number: attempt }, stream } => {
                self.begun(id, attempt, stream)
            }
            Message::AttemptFinished(ended) => self.ended(ended),
            Message::EndpointList(list) => {
                if self.ledger.as_mut().is_none_or(|ledger| ledger.enter(&list)) {
                    self.list(list);
                }
                self.answered = true;
            }
            // The watch comes again by itself; the list stays as it was.
            Message::EndpointListFailed => self.metrics.failed_polls.increment(),
        }
    }

    fn on_timer(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer(token)),
            Due::Attempt(id, attempt) => self.give_up(id, attempt, Outcome::TimedOut),
            Due::Sweep => {
                self.directory.sweep(Instant::now());
                self.timers.insert(Due::Sweep, SWEEP);
            }
            Due::Count(at) => {
                self.metrics.loop_lag.record(at.elapsed());
                self.count();
                self.count_later();
            }
        }
    }

    /// Tells the module what has happened, and does what it asks for, until nothing is left.
    fn decide(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.on_event(self.clock.at(self.now), event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(action));
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request: id, server, timeout, send_before: repeat_until } => {
                let repeat_until = repeat_until.map(|until| self.clock.instant(until));
                self.send(id, server, Duration::from_micros(timeout), repeat_until);
            }
            Action::Cancel(AttemptId { request: id, number: attempt }) => {
                self.give_up(id, attempt, Outcome::Canceled)
            }
            Action::Reject { request: id, retry_after } => self.end(id, Response::Rejected { retry_after }),
            Action::Fail(id) => self.end(id, Response::Failed),
            Action::SetTimer { after, token } => {
                let after = Duration::from_micros(after).min(LONGEST_TIMER);
                self.timers.insert_at(Due::Module(token), self.now + after);
            }
            Action::WatchEndpoints => self.subscribe.notify_one(),
            Action::CloseIdleConnections(server) => self.directory.disconnect(server),
        }
    }

    /// Copies what the module alone knows into the figures.
    fn count(&self) {
        let caches = self.balancer.cache_counts();
        self.metrics.listed_servers.set(caches.listed as u64);
        self.metrics.unavailable_servers.set(caches.avoided as u64);
    }

    fn count_later(&mut self) {
        let at = Instant::now() + COUNT;
        self.timers.insert_at(Due::Count(at), at);
    }

    fn list(&mut self, list: EndpointList) {
        let scope = if list.full { EndpointUpdate::Full } else { EndpointUpdate::Delta };
        let now = self.clock.at(self.now);
        let dated = if self.answered { ListDate::Later(now) } else { ListDate::First(now) };
        let members = self.directory.apply(list, dated, &mut self.setup);
        self.events.push_back(Event::Endpoints { update: scope, endpoints: members });
    }
}
