//! Discovery behind sockets: the whole list, or a watch on changes.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use stonefold_model::{Listed, Listing, State};
use stonefold_proto::resp::fact;
use tokio::net::TcpListener;
use tokio::time::{sleep_until, timeout};

use crate::http::{self, Answer, Gone};
use crate::port::accept;
use crate::world::{World, locked};

/// A watch waits no longer than this, whatever it asks for.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

pub(crate) fn serve(world: &Arc<World>, listeners: Vec<TcpListener>) {
    for (node, listener) in listeners.into_iter().enumerate() {
        let (of, stop) = (world.clone(), world.stop.clone());
        accept(listener, stop, move |stream, end| {
            let world = of.clone();
            async move { http::connection(stream, end, |request| call(world.clone(), node, request)).await }
        });
    }
    tokio::spawn(learn(world.clone()));
}

/// Lets discovery learn what it has to, in its time.
async fn learn(world: Arc<World>) {
    let mut noted = world.version.subscribe();
    loop {
        let next = locked(&world.discovery).next_event().map(|at| world.instant(at));
        tokio::select! {
            () = world.stop.cancelled() => return,
            _ = noted.changed() => {}
            () = sleep_until(next.unwrap_or_else(tokio::time::Instant::now)), if next.is_some() => {}
        }
        let learned = locked(&world.discovery).advance(world.now());
        if let Some(version) = learned {
            world.version.send_replace(version);
            noted.mark_unchanged();
        }
    }
}

async fn call(world: Arc<World>, node: usize, request: Request<Incoming>) -> Result<Answer, Gone> {
    if request.method() != Method::GET || request.uri().path() != "/discovery/hosts" {
        return Ok(http::answer(StatusCode::NOT_FOUND, ""));
    }
    let query = request.uri().query().unwrap_or_default().replace('&', ",");
    let number = |name: &str| fact(&query, name).and_then(|text| text.parse::<u64>().ok());
    let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").unwrap_or(0)));
    let answered = locked(&world.discovery).call(world.now());
    let Some(at) = answered else { return Ok(http::answer(StatusCode::SERVICE_UNAVAILABLE, "")) };
    sleep_until(world.instant(at)).await;
    if let Some(after) = after {
        let mut version = world.version.subscribe();
        // Its end without news is an answer too.
        let _ = timeout(wait.min(LONGEST_WAIT), version.wait_for(|version| *version > after)).await;
    }
    Ok(http::json(StatusCode::OK, &tell(&world, node, after)))
}

/// What a node is told now; the judge takes note.
fn tell(world: &World, node: usize, after: Option<u64>) -> Value {
    let listing = locked(&world.discovery).tell(after);
    let now = world.now();
    let mut judge = world.judge();
    let serving = |l: &&Listed| l.state == State::Serving;
    if listing.full {
        let up: Vec<usize> = listing.servers.iter().filter(serving).map(|l| l.server).collect();
        judge.told_all(now, node, &up, world.all_servers().len());
    } else {
        listing.servers.iter().for_each(|l| judge.told(now, node, l.server, l.state == State::Serving));
    }
    drop(judge);
    document(world, node, &listing)
}

/// The whole list as it would be told now, of which nobody takes note.
pub(crate) fn known(world: &World, node: usize) -> Value {
    let listing = locked(&world.discovery).tell(None);
    document(world, node, &listing)
}

fn document(world: &World, node: usize, listing: &Listing) -> Value {
    let mut servers: Vec<Value> = listing.servers.iter().filter_map(|l| entry(world, node, l)).collect();
    if listing.full {
        servers.push(
            json!({"id": "origin", "addr": world.origin.addr(node), "zone": "", "kind": "origin", "cell": 0,
            "state": "SERVING", "weight": 1.0, "started_ms": 0}),
        );
    }
    json!({"version": listing.version, "full": listing.full, "servers": servers})
}

fn entry(world: &World, node: usize, listed: &Listed) -> Option<Value> {
    let server = world.server(listed.server)?;
    let state = match listed.state {
        State::Serving => "SERVING",
        State::Draining => "DRAINING",
        State::Deleted => "DELETED",
    };
    let started = if listed.started == 0 { 0 } else { world.unix_ms(listed.started) };
    Some(
        json!({"id": server.id(), "addr": server.port.addr(node)?, "zone": world.site.network.zones.get(server.zone)?,
        "kind": world.site.caches[server.group].kind, "cell": server.number / 4, "state": state, "weight": 1.0,
        "started_ms": started}),
    )
}
