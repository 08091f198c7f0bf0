//! What distribution costs and how long it takes: members, relays by region and by site, and subscribers, all in one
//! process over TCP on loopback.
//!
//!     cargo run --release -p stonefold-store --example subscribers -- [SECONDS] [SUBSCRIBERS ...]
//!
//! Three members; 11 regions with two relays each; sites of 14 subscribers with two relays each. 12 purges and 0.5 changes
//! (documents and a list of 340 servers) a second. Bytes are those that publishers sent and subscribers acknowledged with,
//! headers reckoned in: 20 bytes of our framing and 52 of IP and TCP a frame, and 52 for each frame's acknowledgement by
//! TCP. Processor time is by threads of members, relays and subscribers. Then a relay of each region is killed, one
//! of each site, and the leader: how long all takes then, whether all came, and how many changed their publisher.

mod fleet;
mod load;
#[path = "../support/mod.rs"]
mod support;

use std::path::Path;
use std::time::Duration;

use fleet::{Fleet, Member, RuntimeThread, relays_of, sum};
use load::{Made, Watched, anew, load, quantiles};
use stonefold_store::wire::SubscriberFeed;
use support::Failure;
use tokio::runtime::Builder;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// A relay of each region is killed, one of each site, then the leader; each under the same load.
async fn fail(
    members: &[Member],
    [region, site]: [&[(SubscriberFeed, CancellationToken)]; 2],
    nodes: &[SubscriberFeed],
    watched: &Watched,
    control: &RuntimeThread,
    mut from: u64,
) -> Result<(), Failure> {
    anew(watched)?;
    let disconnects = || sum(nodes).disconnects + sum(relays_of(region, site)).disconnects;
    for what in ["a relay of each region killed", "a relay of each site killed", "the leader killed"] {
        let leader = members[0].replica.status().leader.ok_or("a leader")? as usize - 1;
        let other = &members[(leader + 1) % members.len()].replica;
        let was = disconnects();
        let running =
            control.handle.spawn(load(other.clone(), watched.made.clone(), Duration::from_secs(6), from));
        sleep(Duration::from_secs(1)).await;
        match what {
            "a relay of each region killed" => region.iter().step_by(2).for_each(|(_, stop)| stop.cancel()),
            "a relay of each site killed" => site.iter().step_by(2).for_each(|(_, stop)| stop.cancel()),
            _ => {
                members[leader].stop.cancel();
                let replica = members[leader].replica.clone();
                control.handle.spawn(async move { replica.stop().await }).await?;
            }
        }
        from = running.await??;
        sleep(Duration::from_secs(3)).await;
        let (purges, changes) = (quantiles(&watched.purges)?, quantiles(&watched.changes)?);
        let (made, due) = (anew(watched)?, nodes.len());
        println!(
            "| {due}: {what} | {purges} of {} | {changes} of {} | {} |",
            made.0 * due,
            made.1 * due,
            disconnects() - was
        );
    }
    Ok(())
}

/// Waits until all subscribers are fresh, and prints it if they are not.
async fn wait_until_fresh(nodes: &[SubscriberFeed]) {
    let fresh = async {
        while nodes.iter().any(|node| node.stale_ms().is_none_or(|stale| stale > 5_000)) {
            sleep(Duration::from_millis(100)).await;
        }
    };
    if timeout(Duration::from_secs(20), fresh).await.is_err() {
        println!("| {} | not all caught up in 20 s: {:?} |", nodes.len(), sum(nodes));
    }
}

async fn play(number: usize, seconds: u64, folder: &Path) -> Result<(), Failure> {
    let fleet = Fleet::start(number, folder).await?;
    let first = fleet.members[0].replica.clone();
    let warm_up = load(first, Made::default(), Duration::from_secs(3), 1);
    let from = fleet.control.handle.spawn(warm_up).await??;
    sleep(Duration::from_secs(4)).await; // the first list is sent complete to all, and only deltas from then on
    wait_until_fresh(&fleet.nodes).await;
    let last_made = fleet.measure(seconds, from).await?;
    let relays: [&[_]; 2] = [&fleet.region, &fleet.site];
    fail(&fleet.members, relays, &fleet.nodes, &fleet.watched, &fleet.control, last_made).await?;
    for runtime in fleet.runtimes() {
        runtime.stop.cancel();
    }
    Ok(())
}

fn main() -> Result<(), Failure> {
    let numbers: Vec<usize> = support::number_args()?;
    let (seconds, sizes) = numbers.split_first().map_or((12, &[][..]), |(&seconds, sizes)| (seconds, sizes));
    let sizes = if sizes.is_empty() { &[100, 225, 450, 900][..] } else { sizes };
    println!(
        "| subscribers, relays | purges: p50, p99, p100 in ms (taken) | changes: the same | made | B/s each | B/s a relay, as a \
         subscriber | members, all | a relay | a subscriber | KiB each | refused, left |"
    );
    println!("|{}", " --- |".repeat(11));
    let runtime = Builder::new_current_thread().enable_all().build()?;
    for &number in sizes {
        let folder = tempfile::tempdir()?;
        runtime.block_on(play(number, seconds as u64, folder.path()))?;
    }
    Ok(())
}
