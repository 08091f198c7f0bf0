//! What befalls a fleet: changes of its list, restarts, a zone or discovery that goes and returns.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stonefold_config::Count;
use stonefold_model::{Listed, Random, State};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until};

use super::fleet::{Fleet, FleetError, ZONES};

/// What befalls it, beside the changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Scenario {
    /// Nothing.
    #[default]
    Calm,
    /// So many nodes are restarted, evenly over the time.
    Restarts(Count<1, 100_000>),
    /// All nodes are restarted at once, a third of the time in.
    RestartAll,
    /// A zone's servers are gone from the start, and all return a third of the time in.
    ZoneReturns,
    /// Discovery answers nobody in the middle third of the time.
    #[serde(rename = "discovery-away")]
    DiscoveryUnavailable,
}

/// Plays it over a time, with so many changes of the list; returns when the time is over.
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
    let mut steps = steps(fleet, scenario, changes, lasts);
    steps.sort_by_key(|(after, _)| *after);
    let mut dealt = Deal::new(fleet);
    for (after, step) in steps {
        sleep_until(start + after).await;
        yield_now().await; // where many are due at once
        match step {
            Step::Change => dealt.change(fleet),
            Step::Restart(node) => fleet.start_node(node)?,
            Step::ZoneGone => dealt.zone(fleet, State::Deleted),
            Step::ZoneBack => dealt.zone(fleet, State::Serving),
            Step::Away(lasts) => fleet.away(lasts),
        }
    }
    sleep_until(start + lasts).await;
    // What was noted last is on its way.
    sleep(Duration::from_millis(1)).await;
    Ok(())
}

enum Step {
    Change,
    Restart(usize),
    ZoneGone,
    ZoneBack,
    Away(Duration),
}

fn steps(fleet: &Fleet, scenario: Scenario, changes: usize, lasts: Duration) -> Vec<(Duration, Step)> {
    let evenly = |n: usize, of: usize| lasts.mul_f64((n as f64 + 0.5) / of as f64);
    let mut steps: Vec<(Duration, Step)> = (0..changes).map(|n| (evenly(n, changes), Step::Change)).collect();
    let nodes = fleet.plan().nodes;
    match scenario {
        Scenario::Calm => {}
        Scenario::Restarts(count) => {
            let count = count.get();
            // Spread over all nodes: 7919 is prime, and no two follow each other.
            steps.extend((0..count).map(|n| (evenly(n, count), Step::Restart(n * 7919 % nodes))));
        }
        Scenario::RestartAll => steps.extend((0..nodes).map(|node| (lasts / 3, Step::Restart(node)))),
        Scenario::ZoneReturns => {
            steps.extend([(Duration::ZERO, Step::ZoneGone), (lasts / 3, Step::ZoneBack)])
        }
        Scenario::DiscoveryUnavailable => steps.push((lasts / 3, Step::Away(lasts / 3))),
    }
    steps
}

/// Random choices of the fleet have numbers of their own beside the models'.
const STREAM: u64 = 1 << 32;

/// Which servers serve and which drain.
struct Deal {
    random: Random,
    servers: Vec<Listed>,
}

impl Deal {
    fn new(fleet: &Fleet) -> Deal {
        let listing = fleet.service().listing();
        let gone = |server| Listed { server, state: State::Deleted, started: 0 };
        let mut servers: Vec<Listed> = (0..fleet.plan().servers).map(gone).collect();
        listing.servers.iter().for_each(|listed| servers[listed.server] = *listed);
        Deal { random: Random::new(fleet.plan().seed, STREAM + listing.version), servers }
    }

    /// A server drains, or is back; a third of those that drain have gone instead and come back new.
    fn change(&mut self, fleet: &Fleet) {
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
        fleet.service().note(*listed);
    }

    fn zone(&mut self, fleet: &Fleet, state: State) {
        for listed in self.servers.iter_mut().filter(|listed| listed.server % ZONES == 0) {
            listed.state = state;
            if state == State::Serving {
                listed.started = fleet.clock().now();
            }
            fleet.service().note(*listed);
        }
    }
}
