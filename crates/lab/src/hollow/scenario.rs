//! Scenarios of a fleet: changes of its list, restarts, and the temporary absence of a zone or of discovery.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stonefold_config::Count;
use stonefold_model::{Listed, Random, State};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

use super::fleet::{Fleet, FleetError, ZONES};

/// What happens to a fleet in addition to the changes of its list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Scenario {
    /// Nothing.
    #[default]
    Calm,
    /// This number of nodes are restarted, evenly distributed over the duration.
    Restarts(Count<1, 100_000>),
    /// All nodes are restarted at once, after a third of the duration.
    RestartAll,
    /// The servers of one zone are removed at the start and all return after a third of the duration.
    ZoneReturns,
    /// Discovery is unavailable during the middle third of the duration.
    #[serde(rename = "discovery-away")]
    DiscoveryUnavailable,
}

/// Runs a scenario of the duration `lasts` with this number of changes of the list. Returns when the duration is over.
///
/// # Errors
/// If a node can't be restarted.
pub async fn run_scenario(
    fleet: &mut Fleet,
    scenario: Scenario,
    changes: usize,
    lasts: Duration,
) -> Result<(), FleetError> {
    let start = Instant::now();
    let mut steps = scenario_steps(fleet, scenario, changes, lasts);
    steps.sort_by_key(|(after, _)| *after);
    let mut servers = ServerStates::new(fleet);
    for (after, step) in steps {
        sleep_until(start + after).await;
        yield_now().await; // lets other tasks run when many steps are due at once
        match step {
            Step::Change => servers.change_one(fleet),
            Step::Restart(node) => fleet.start_node(node)?,
            Step::RemoveZone => servers.change_zone(fleet, State::Deleted),
            Step::RestoreZone => servers.change_zone(fleet, State::Serving),
            Step::DiscoveryUnavailable(duration) => fleet.make_discovery_unavailable(duration),
        }
    }
    sleep_until(start + lasts).await;
    // Gives discovery the time to take in the last changes.
    sleep(Duration::from_millis(1)).await;
    Ok(())
}

/// A step of a scenario.
enum Step {
    Change,
    Restart(usize),
    RemoveZone,
    RestoreZone,
    DiscoveryUnavailable(Duration),
}

/// The steps of a scenario, each with the time from the start after which it is due.
fn scenario_steps(
    fleet: &Fleet,
    scenario: Scenario,
    changes: usize,
    lasts: Duration,
) -> Vec<(Duration, Step)> {
    let evenly = |n: usize, of: usize| lasts.mul_f64((n as f64 + 0.5) / of as f64);
    let mut steps: Vec<(Duration, Step)> = (0..changes).map(|n| (evenly(n, changes), Step::Change)).collect();
    let nodes = fleet.plan().nodes;
    match scenario {
        Scenario::Calm => {}
        Scenario::Restarts(count) => {
            let count = count.get();
            // 7919 is prime, so the restarts spread over all nodes, and consecutive restarts skip neighbours.
            steps.extend((0..count).map(|n| (evenly(n, count), Step::Restart(n * 7919 % nodes))));
        }
        Scenario::RestartAll => steps.extend((0..nodes).map(|node| (lasts / 3, Step::Restart(node)))),
        Scenario::ZoneReturns => {
            steps.extend([(Duration::ZERO, Step::RemoveZone), (lasts / 3, Step::RestoreZone)])
        }
        Scenario::DiscoveryUnavailable => steps.push((lasts / 3, Step::DiscoveryUnavailable(lasts / 3))),
    }
    steps
}

/// Base of the stream numbers of the fleet's random choices, which are distinct from those of the models.
const RANDOM_STREAM_BASE: u64 = 1 << 32;

/// The states of all servers, from which changes are chosen at random.
struct ServerStates {
    random: Random,
    servers: Vec<Listed>,
}

impl ServerStates {
    fn new(fleet: &Fleet) -> ServerStates {
        let listing = fleet.service().full_listing();
        let deleted = |server| Listed { server, state: State::Deleted, started: 0 };
        let mut servers: Vec<Listed> = (0..fleet.plan().servers).map(deleted).collect();
        listing.servers.iter().for_each(|listed| servers[listed.server] = *listed);
        ServerStates { random: Random::new(fleet.plan().seed, RANDOM_STREAM_BASE + listing.version), servers }
    }

    /// Changes the state of a random server. A serving one starts to drain; a draining one serves again, or is deleted
    /// if its number is a multiple of 3; a deleted one serves again. A server with such a number has restarted when it
    /// serves again.
    fn change_one(&mut self, fleet: &Fleet) {
        let server = self.random.below(self.servers.len() as u64) as usize;
        let listed = &mut self.servers[server];
        listed.state = match listed.state {
            State::Serving => State::Draining,
            State::Draining if server.is_multiple_of(3) => State::Deleted,
            State::Draining | State::Deleted => State::Serving,
        };
        if listed.state == State::Serving && server.is_multiple_of(3) {
            listed.started = fleet.clock().now() / 1_000 * 1_000;
        }
        fleet.service().record_change(*listed);
    }

    /// Sets the state of all servers of one zone.
    fn change_zone(&mut self, fleet: &Fleet, state: State) {
        for listed in self.servers.iter_mut().filter(|listed| listed.server % ZONES == 0) {
            listed.state = state;
            if state == State::Serving {
                listed.started = fleet.clock().now();
            }
            fleet.service().record_change(*listed);
        }
    }
}
