//! The order in which the rules apply: each event is passed to the rules that it concerns, and their
//! decisions become actions.
//!
//! A request passes through `requests` (its arrival and each next step), `selection` (its candidates and
//! the choice among them), `sending` (every send, and extra attempts of late reads) and `outcomes` (the end
//! of an attempt). `waiting` has the requests that wait, and `answers` the final answers. `endpoints`
//! follows the endpoint list and the operators' overrides.

mod answers;
mod endpoints;
mod outcomes;
mod requests;
mod selection;
mod sending;
mod waiting;

use std::collections::HashMap;

use answers::RequestOutcome;
use stonefold_allotment::Sender;

use crate::api::{Action, Event, Micros, RequestId, Settings};
use crate::concurrency_limit::{INITIAL_LIMIT, initial_share};
use crate::endpoint_updates::EndpointWatch;
use crate::idle_connections::IdleCheck;
use crate::latency::ClassLatencies;
use crate::load_estimate::LoadEstimate;
use crate::machine_types::MachineTypes;
use crate::overrides::Overrides;
use crate::priority::TenantRates;
use crate::request::OpenRequest;
use crate::retry_budget::AttemptBudget;
use crate::server_list::ServerList;
use crate::shutdown::Shutdown;
use crate::single_flight::SingleFlight;
use crate::tier::Tiers;
use crate::timers::Timer;
use crate::zone_health::ZoneHealth;

/// Latency objective that the initial estimates assume where no class has one, in microseconds.
const DEFAULT_OBJECTIVE: f64 = 1e6;

/// The decisions of one node: takes [`Event`]s and answers with [`Action`]s, see
/// [`on_event`](Balancer::on_event).
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// The time of the latest event.
    now: Micros,
    /// The index of this node among all nodes, on which its quota of a server in slow start depends.
    sender: Sender,
    requests: HashMap<RequestId, OpenRequest>,
    servers: ServerList,
    overrides: Overrides,
    zones: ZoneHealth,
    machine_types: MachineTypes,
    class_latencies: ClassLatencies,
    load: LoadEstimate,
    tenants: TenantRates,
    tiers: Tiers,
    hedge_budget: AttemptBudget,
    retry_budget: AttemptBudget,
    single_flight: SingleFlight,
    idle_check: IdleCheck,
    watch: EndpointWatch,
    shutdown: Shutdown,
}

impl Balancer {
    /// A balancer that knows no server yet. All random choices derive from `seed`.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let objectives = settings.classes.iter().map(|class| class.latency_objective as f64);
        let objective = objectives.reduce(f64::min).filter(|&objective| objective > 0.0);
        let objective = objective.unwrap_or(DEFAULT_OBJECTIVE);
        let initial_concurrency = INITIAL_LIMIT * initial_share(settings.node_count);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            sender: Sender::new(settings.node_index, settings.node_count, now, seed),
            requests: HashMap::new(),
            servers: ServerList::default(),
            overrides: Overrides::default(),
            zones: ZoneHealth::default(),
            machine_types: MachineTypes::new(),
            class_latencies: ClassLatencies::new(objective, &settings.classes),
            load: LoadEstimate::new(initial_concurrency, objective, settings.slow_start_duration, now),
            tenants: TenantRates::new(settings.tenant_quotas.len(), now),
            tiers: Tiers::new(objective, settings.node_count),
            hedge_budget: AttemptBudget::for_hedges(),
            retry_budget: AttemptBudget::for_retries(),
            single_flight: SingleFlight::default(),
            idle_check: IdleCheck::new(),
            watch: EndpointWatch::default(),
            shutdown: Shutdown::new(),
            settings,
        }
    }

    /// Handles one event and appends to `out` the actions to carry out, in their order.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.settings.watch_required && self.watch.start() {
            out.push(Action::WatchEndpoints);
        }
        match event {
            Event::Endpoints { update, endpoints } => self.on_endpoints(update, endpoints, out),
            Event::Request(request) => self.on_request(request, out),
            Event::AttemptEnded(end) => self.on_attempt_ended(&end, out),
            Event::ResponseStarted(attempt) => self.on_response_started(attempt, out),
            Event::ClientDisconnected(id) => self.settle(id, RequestOutcome::Unserved, out),
            Event::Timer(token) => self.on_timer(token.into(), out),
            Event::Settings(settings) => self.reconfigure(*settings),
            Event::Disable(server) => self.disable(server, out),
            Event::Enable { server, since } => self.enable(server, since),
            Event::Shutdown { deadline } => self.begin_shutdown(deadline, out),
        }
    }

    fn on_timer(&mut self, timer: Timer, out: &mut Vec<Action>) {
        match timer {
            Timer::EndpointWatch if self.settings.watch_required => out.push(Action::WatchEndpoints),
            Timer::EndpointWatch => {}
            Timer::IdleConnections => self.close_idle_connections(out),
            Timer::Shutdown => self.answer_all(out),
            Timer::Request(id) => self.on_request_timer(id, out),
        }
    }

    /// Applies new settings; what was measured by class and by tenant stays.
    fn reconfigure(&mut self, settings: Settings) {
        self.class_latencies.add_classes(&settings.classes);
        self.tenants.grow(settings.tenant_quotas.len(), self.now);
        self.load.reconfigure(settings.slow_start_duration);
        self.sender = self.sender.with_index(settings.node_index, settings.node_count);
        self.servers.iter_mut().for_each(|server| server.warm_up.resize(&self.sender));
        self.settings = settings;
    }
}
