//! Faults: on the site's schedule, or on demand.

use std::sync::Arc;
use std::time::Duration;

use stonefold_config::CheckError;
use stonefold_model::site::{Fault, FaultKind};
use stonefold_model::{Micros, Random, State};
use tokio::time::sleep;
use tracing::info;

use crate::world::{Server, World};

/// Plays the site's faults in their time.
pub(crate) fn play(world: &Arc<World>) {
    for fault in world.site.faults.clone() {
        let world = world.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = world.stop.cancelled() => return,
                () = tokio::time::sleep_until(world.instant(fault.at.us())) => {}
            }
            if let Err(CheckError { key, reason }) = begin(&world, &fault) {
                tracing::error!(event = "fault_rejected", key, reason, "a fault of the site can't be played");
            }
        });
    }
}

/// Begins a fault now; it ends by itself.
///
/// # Errors
/// The field that can't be used, and why.
pub(crate) fn begin(world: &Arc<World>, fault: &Fault) -> Result<(), CheckError> {
    check(world, fault)?;
    let servers = befallen(world, fault);
    let ids: Vec<String> = servers.iter().map(|server| server.id()).collect();
    info!(event = "fault", kind = ?fault.kind, servers = ids.join(" "), zone = fault.zone, lasts_us = fault.lasts.us(), "a fault begins");
    let lasts = fault.lasts.us();
    let until = world.now() + lasts;
    let factor = fault.factor.map_or(1.0, |factor| factor.get());
    match fault.kind {
        FaultKind::OriginStop => world.origin.stop(world.now(), until),
        FaultKind::OriginSlow => {
            world.origin.slow(factor);
            after(world, lasts, |world| world.origin.slow(1.0));
        }
        FaultKind::DiscoveryUnavailable => world.discovery.set_unavailable_until(until),
        FaultKind::DiscoveryStale => world.discovery.freeze_until(until),
        FaultKind::Partition => {
            let zone = world.site.network.zones.iter().position(|name| Some(name) == fault.zone.as_ref());
            zone.into_iter().for_each(|zone| world.cut(zone, until));
        }
        FaultKind::Roll => {
            let each = lasts / servers.len().max(1) as Micros;
            for (n, server) in servers.into_iter().enumerate() {
                let drain = (each / 2).min(2_000_000);
                spawn(world, replace(world.clone(), server, n as Micros * each, drain));
            }
        }
        kind => servers.into_iter().for_each(|server| befall(world, server, kind, lasts, factor)),
    }
    Ok(())
}

/// As the site checks it, but that servers may have been added since.
fn check(world: &World, fault: &Fault) -> Result<(), CheckError> {
    let added =
        fault.server.as_ref().is_some_and(|id| world.all_servers().iter().any(|server| server.id() == *id));
    match added {
        true => world.site.check_fault(&Fault { server: Some("c-0".into()), ..fault.clone() }),
        false => world.site.check_fault(fault),
    }
}

/// The servers that a fault names: one, those of a zone, or a part of them.
fn befallen(world: &World, fault: &Fault) -> Vec<Arc<Server>> {
    let mut servers: Vec<Arc<Server>> = world.all_servers();
    if let Some(id) = &fault.server {
        servers.retain(|server| server.id() == *id);
        return servers;
    }
    servers.retain(|server| !server.port.with(|model, _| model.is_down()));
    if let Some(zone) = &fault.zone {
        servers.retain(|server| world.site.network.zones.get(server.zone) == Some(zone));
    }
    if let Some(part) = fault.part {
        let wanted = (servers.len() as f64 * part.get()).round() as usize;
        let mut random = Random::new(world.site.seed.get() as u64, 6 + fault.at.us());
        while servers.len() > wanted {
            servers.remove(random.below(servers.len() as u64) as usize);
        }
    }
    servers
}

fn befall(world: &Arc<World>, server: Arc<Server>, kind: FaultKind, lasts: Micros, factor: f64) {
    let now = world.now();
    let port = &server.port;
    match kind {
        FaultKind::Kill => spawn(world, kill(world.clone(), server, lasts)),
        FaultKind::Replace => spawn(world, replace(world.clone(), server, 0, lasts)),
        FaultKind::Drain => {
            let started = port.with(|model, _| model.started_at()).unwrap_or(0);
            world.note(server.number, State::Draining, started);
            let life = port.life();
            after(world, lasts, move |world| {
                if server.port.life() == life {
                    world.note(server.number, State::Serving, started);
                }
            });
        }
        FaultKind::Stall | FaultKind::Slow => {
            let factor = if kind == FaultKind::Stall { 0.0 } else { factor };
            port.slow(now, factor);
            after(world, lasts, move |world| server.port.quicken(world.now(), factor));
        }
        FaultKind::Garble => {
            port.behave(|manners| manners.garbles += 1);
            after(world, lasts, move |_| server.port.behave(|manners| manners.garbles -= 1));
        }
        FaultKind::Cut => {
            port.behave(|manners| manners.cuts += 1);
            after(world, lasts, move |_| server.port.behave(|manners| manners.cuts -= 1));
        }
        FaultKind::Reset => port.behave(|manners| manners.resets += 1),
        FaultKind::Silence => {
            port.behave(|manners| manners.silent += 1);
            // Back again, it knows nothing of the connections from before.
            after(world, lasts, move |_| {
                server.port.behave(|manners| {
                    manners.silent -= 1;
                    manners.resets += 1;
                });
            });
        }
        FaultKind::Partition
        | FaultKind::Roll
        | FaultKind::OriginStop
        | FaultKind::OriginSlow
        | FaultKind::DiscoveryUnavailable
        | FaultKind::DiscoveryStale => {} // these befall no single server
    }
}

/// The process dies, and starts again after a while.
async fn kill(world: Arc<World>, server: Arc<Server>, lasts: Micros) {
    server.port.die(world.now());
    let life = server.port.life();
    world.note(server.number, State::Deleted, 0);
    sleep(Duration::from_micros(lasts)).await;
    // Killed again meanwhile, or replaced, it is not for this fault to bring it back.
    if server.port.life() == life {
        server.restart(&world).await;
    }
}

/// Drains for a while, then another takes its place.
async fn replace(world: Arc<World>, server: Arc<Server>, wait: Micros, drain: Micros) {
    sleep(Duration::from_micros(wait)).await;
    world.note(server.number, State::Draining, 0);
    sleep(Duration::from_micros(drain)).await;
    server.port.die(world.now());
    world.note(server.number, State::Deleted, 0);
    match world.add_server(server.group, server.zone, true).await {
        Ok(new) => {
            let started = new.port.with(|model, _| model.started_at()).unwrap_or(0);
            world.note(new.number, State::Serving, started);
        }
        Err(error) => tracing::error!(event = "no_successor", %error, "a server has no successor"),
    }
}

/// Does something after a while, unless the world ends before.
fn after(world: &Arc<World>, lasts: Micros, then: impl FnOnce(&Arc<World>) + Send + 'static) {
    let of = world.clone();
    spawn(world, async move {
        sleep(Duration::from_micros(lasts)).await;
        then(&of);
    });
}

fn spawn(world: &Arc<World>, work: impl Future<Output = ()> + Send + 'static) {
    let stop = world.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = work => {}
        }
    });
}
