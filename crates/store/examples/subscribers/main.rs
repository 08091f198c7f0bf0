//! Measures the cost and the latency of distribution: members, relays of regions and of sites, and subscribers run in
//! one process and connect over TCP on loopback.
//!
//!     cargo run --release -p stonefold-store --example subscribers -- [SECONDS] [SUBSCRIBERS ...]
//!
//! There are three members, 11 regions with two relays each, and sites of 14 subscribers with two relays each. The load
//! is 12 purges and 0.5 changes (documents and a list of 340 servers) per second. Bytes are those of the frames that
//! publishers sent and of the subscribers' acknowledgements. Headers are counted: 20 bytes of the store's framing and
//! 52 bytes of IP and TCP per frame, and 52 bytes for the acknowledgement of each frame by TCP. Processor time is
//! measured per thread, of which members, relays and subscribers have one each. Afterwards a relay of each region is
//! killed, then one of each site, then the leader; each time it prints the latencies, how many changes arrived, and how
//! often subscribers and relays lost a connection to a publisher.

mod fleet;
mod load;
#[path = "../support/mod.rs"]
mod support;

use std::path::Path;
use std::time::Duration;

use fleet::{Fleet, Member, RuntimeThread, all_relays, sum_counters};
use load::{DeliveryLatencies, ProposalTimes, format_quantiles, reset_latencies, run_load};
use stonefold_store::wire::SubscriberFeed;
use support::ExampleError;
use tokio::runtime::Builder;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Kills a relay of each region, then one of each site, then the leader, and prints a row for each. All run under the
/// same load.
async fn measure_failures(
    members: &[Member],
    [region, site]: [&[(SubscriberFeed, CancellationToken)]; 2],
    subscribers: &[SubscriberFeed],
    latencies: &DeliveryLatencies,
    member_runtime: &RuntimeThread,
    mut last_number: u64,
) -> Result<(), ExampleError> {
    reset_latencies(latencies)?;
    let disconnects =
        || sum_counters(subscribers).disconnects + sum_counters(all_relays(region, site)).disconnects;
    for failure in ["a relay of each region killed", "a relay of each site killed", "the leader killed"] {
        let leader = members[0].replica.status().leader.ok_or("there is no leader")? as usize - 1;
        let other = &members[(leader + 1) % members.len()].replica;
        let disconnects_before = disconnects();
        let running_load = member_runtime.handle.spawn(run_load(
            other.clone(),
            latencies.proposed.clone(),
            Duration::from_secs(6),
            last_number,
        ));
        sleep(Duration::from_secs(1)).await;
        match failure {
            "a relay of each region killed" => region.iter().step_by(2).for_each(|(_, stop)| stop.cancel()),
            "a relay of each site killed" => site.iter().step_by(2).for_each(|(_, stop)| stop.cancel()),
            _ => {
                members[leader].stop.cancel();
                let replica = members[leader].replica.clone();
                member_runtime.handle.spawn(async move { replica.stop().await }).await?;
            }
        }
        last_number = running_load.await??;
        sleep(Duration::from_secs(3)).await;
        let (purges, changes) = (format_quantiles(&latencies.purges)?, format_quantiles(&latencies.changes)?);
        let (proposed, subscriber_count) = (reset_latencies(latencies)?, subscribers.len());
        println!(
            "| {subscriber_count}: {failure} | {purges} of {} | {changes} of {} | {} |",
            proposed.0 * subscriber_count,
            proposed.1 * subscriber_count,
            disconnects() - disconnects_before
        );
    }
    Ok(())
}

/// Waits until all subscribers are fresh, and prints a row if they are not in time.
async fn wait_until_fresh(subscribers: &[SubscriberFeed]) {
    let fresh = async {
        while subscribers.iter().any(|subscriber| subscriber.stale_ms().is_none_or(|stale| stale > 5_000)) {
            sleep(Duration::from_millis(100)).await;
        }
    };
    if timeout(Duration::from_secs(20), fresh).await.is_err() {
        println!("| {} | not all caught up in 20 s: {:?} |", subscribers.len(), sum_counters(subscribers));
    }
}

/// Measures a fleet with this many subscribers.
async fn measure_fleet(subscriber_count: usize, seconds: u64, folder: &Path) -> Result<(), ExampleError> {
    let fleet = Fleet::start(subscriber_count, folder).await?;
    let first = fleet.members[0].replica.clone();
    let warm_up = run_load(first, ProposalTimes::default(), Duration::from_secs(3), 1);
    let last_number = fleet.member_runtime.handle.spawn(warm_up).await??;
    sleep(Duration::from_secs(4)).await; // the first list is sent to all in full, and later ones as deltas
    wait_until_fresh(&fleet.subscribers).await;
    let last_number = fleet.measure(seconds, last_number).await?;
    let relays: [&[_]; 2] = [&fleet.region_relays, &fleet.site_relays];
    measure_failures(
        &fleet.members,
        relays,
        &fleet.subscribers,
        &fleet.latencies,
        &fleet.member_runtime,
        last_number,
    )
    .await?;
    for runtime in fleet.runtimes() {
        runtime.stop.cancel();
    }
    Ok(())
}

fn main() -> Result<(), ExampleError> {
    let numbers: Vec<usize> = support::number_args()?;
    let (seconds, sizes) = numbers.split_first().map_or((12, &[][..]), |(&seconds, sizes)| (seconds, sizes));
    let sizes = if sizes.is_empty() { &[100, 225, 450, 900][..] } else { sizes };
    println!(
        "| subscribers, relays | purges: p50, p99, p100 in ms (received) | changes: p50, p99, p100 in ms (received) \
         | proposed | B/s per subscriber | B/s per relay, as a subscriber | CPU of all members | CPU per relay \
         | CPU per subscriber | KiB per subscriber or site relay | rejected frames, disconnects |"
    );
    println!("|{}", " --- |".repeat(11));
    let runtime = Builder::new_current_thread().enable_all().build()?;
    for &subscriber_count in sizes {
        let folder = tempfile::tempdir()?;
        runtime.block_on(measure_fleet(subscriber_count, seconds as u64, folder.path()))?;
    }
    Ok(())
}
