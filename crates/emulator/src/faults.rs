//! Injects faults on the site's schedule or on demand.

use std::sync::Arc;
use std::time::Duration;

use stonefold_config::CheckError;
use stonefold_model::site::{Fault, FaultKind};
use stonefold_model::{Micros, Random, State};
use tokio::time::sleep;
use tracing::info;

use crate::world::{CacheServer, World};

/// Injects each fault of the site's schedule at its time.
pub(crate) fn schedule_site_faults(world: &Arc<World>) {
    for fault in world.site.faults.clone() {
        let world = world.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = world.stop.cancelled() => return,
                () = tokio::time::sleep_until(world.instant(fault.at.us())) => {}
            }
            if let Err(CheckError { key, reason }) = inject(&world, &fault) {
                tracing::error!(
                    event = "fault_rejected",
                    key,
                    reason,
                    "a fault of the site's schedule can't be injected"
                );
            }
        });
    }
}

/// Injects a fault now; it ends after its duration.
///
/// # Errors
/// Names the invalid field and the reason.
pub(crate) fn inject(world: &Arc<World>, fault: &Fault) -> Result<(), CheckError> {
    check(world, fault)?;
    let servers = affected_servers(world, fault);
    let ids: Vec<String> = servers.iter().map(|server| server.id()).collect();
    info!(event = "fault", kind = ?fault.kind, servers = ids.join(" "), zone = fault.zone, lasts_us = fault.lasts.us(), "injecting a fault");
    let duration = fault.lasts.us();
    let until = world.now() + duration;
    let factor = fault.factor.map_or(1.0, |factor| factor.get());
    match fault.kind {
        FaultKind::OriginStop => world.origin.stop(world.now(), until),
        FaultKind::OriginSlow => {
            world.origin.set_slowdown(factor);
            run_after(world, duration, |world| world.origin.set_slowdown(1.0));
        }
        FaultKind::DiscoveryUnavailable => world.discovery.set_unavailable_until(until),
        FaultKind::DiscoveryStale => world.discovery.freeze_until(until),
        FaultKind::Partition => {
            let zone = world.site.network.zones.iter().position(|name| Some(name) == fault.zone.as_ref());
            zone.into_iter().for_each(|zone| world.partition(zone, until));
        }
        FaultKind::Roll => {
            let interval = duration / servers.len().max(1) as Micros;
            for (n, server) in servers.into_iter().enumerate() {
                let drain_duration = (interval / 2).min(2_000_000);
                spawn_until_stopped(
                    world,
                    replace(world.clone(), server, n as Micros * interval, drain_duration),
                );
            }
        }
        kind => {
            servers.into_iter().for_each(|server| inject_at_server(world, server, kind, duration, factor))
        }
    }
    Ok(())
}

/// Checks a fault as the site does, but accepts the ids of servers that were added since the start.
fn check(world: &World, fault: &Fault) -> Result<(), CheckError> {
    let is_known_server =
        fault.server.as_ref().is_some_and(|id| world.all_servers().iter().any(|server| server.id() == *id));
    match is_known_server {
        true => world.site.check_fault(&Fault { server: Some("c-0".into()), ..fault.clone() }),
        false => world.site.check_fault(fault),
    }
}

/// Returns the servers that a fault affects: the server that the fault names, running or not. A fault that names no
/// server affects the running servers, limited to its zone if it names one, and to a random selection of the size of
/// its part if it has one.
fn affected_servers(world: &World, fault: &Fault) -> Vec<Arc<CacheServer>> {
    let mut servers: Vec<Arc<CacheServer>> = world.all_servers();
    if let Some(id) = &fault.server {
        servers.retain(|server| server.id() == *id);
        return servers;
    }
    servers.retain(|server| !server.endpoint.with_model(|model, _| model.is_down()));
    if let Some(zone) = &fault.zone {
        servers.retain(|server| world.site.network.zones.get(server.zone) == Some(zone));
    }
    if let Some(part) = fault.part {
        let affected_count = (servers.len() as f64 * part.get()).round() as usize;
        let mut random = Random::new(world.site.seed.get() as u64, 6 + fault.at.us());
        while servers.len() > affected_count {
            servers.remove(random.below(servers.len() as u64) as usize);
        }
    }
    servers
}

fn inject_at_server(
    world: &Arc<World>,
    server: Arc<CacheServer>,
    kind: FaultKind,
    duration: Micros,
    factor: f64,
) {
    let now = world.now();
    let endpoint = &server.endpoint;
    match kind {
        FaultKind::Kill => spawn_until_stopped(world, kill(world.clone(), server, duration)),
        FaultKind::Replace => spawn_until_stopped(world, replace(world.clone(), server, 0, duration)),
        FaultKind::Drain => {
            let started = endpoint.with_model(|model, _| model.started_at()).unwrap_or(0);
            world.record_change(server.number, State::Draining, started);
            let incarnation = endpoint.incarnation();
            run_after(world, duration, move |world| {
                if server.endpoint.incarnation() == incarnation {
                    world.record_change(server.number, State::Serving, started);
                }
            });
        }
        FaultKind::Stall | FaultKind::Slow => {
            let factor = if kind == FaultKind::Stall { 0.0 } else { factor };
            endpoint.add_slowdown(now, factor);
            run_after(world, duration, move |world| server.endpoint.remove_slowdown(world.now(), factor));
        }
        FaultKind::Garble => {
            endpoint.change_connection_faults(|faults| faults.garble_faults += 1);
            run_after(world, duration, move |_| {
                server.endpoint.change_connection_faults(|faults| faults.garble_faults -= 1)
            });
        }
        FaultKind::Cut => {
            endpoint.change_connection_faults(|faults| faults.cut_faults += 1);
            run_after(world, duration, move |_| {
                server.endpoint.change_connection_faults(|faults| faults.cut_faults -= 1)
            });
        }
        FaultKind::Reset => endpoint.change_connection_faults(|faults| faults.reset_count += 1),
        FaultKind::Silence => {
            endpoint.change_connection_faults(|faults| faults.silence_faults += 1);
            // A server that comes back has no record of its earlier connections, and resets them.
            run_after(world, duration, move |_| {
                server.endpoint.change_connection_faults(|faults| {
                    faults.silence_faults -= 1;
                    faults.reset_count += 1;
                });
            });
        }
        FaultKind::Partition
        | FaultKind::Roll
        | FaultKind::OriginStop
        | FaultKind::OriginSlow
        | FaultKind::DiscoveryUnavailable
        | FaultKind::DiscoveryStale => {} // these do not affect single servers
    }
}

/// Ends the server's process and starts it again after `duration`.
async fn kill(world: Arc<World>, server: Arc<CacheServer>, duration: Micros) {
    server.endpoint.terminate(world.now());
    let incarnation = server.endpoint.incarnation();
    world.record_change(server.number, State::Deleted, 0);
    sleep(Duration::from_micros(duration)).await;
    // If it was killed again or replaced meanwhile, this fault must not restart it.
    if server.endpoint.incarnation() == incarnation {
        server.restart(&world).await;
    }
}

/// After `start_delay`, drains a server for `drain_duration` and then replaces it.
async fn replace(world: Arc<World>, server: Arc<CacheServer>, start_delay: Micros, drain_duration: Micros) {
    sleep(Duration::from_micros(start_delay)).await;
    world.record_change(server.number, State::Draining, 0);
    sleep(Duration::from_micros(drain_duration)).await;
    server.endpoint.terminate(world.now());
    world.record_change(server.number, State::Deleted, 0);
    match world.add_server(server.group, server.zone, true).await {
        Ok(replacement) => {
            let started = replacement.endpoint.with_model(|model, _| model.started_at()).unwrap_or(0);
            world.record_change(replacement.number, State::Serving, started);
        }
        Err(error) => {
            tracing::error!(event = "no_successor", %error, "the replacement of a server did not start")
        }
    }
}

/// Runs `action` after `duration`, unless the emulator stops before.
fn run_after(world: &Arc<World>, duration: Micros, action: impl FnOnce(&Arc<World>) + Send + 'static) {
    let world_after = world.clone();
    spawn_until_stopped(world, async move {
        sleep(Duration::from_micros(duration)).await;
        action(&world_after);
    });
}

fn spawn_until_stopped(world: &Arc<World>, task: impl Future<Output = ()> + Send + 'static) {
    let stop = world.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task => {}
        }
    });
}
