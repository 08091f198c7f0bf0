//! The control: what the judge has found, how the servers stand, and faults on demand. HTTP and JSON.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use stonefold_model::site::Fault;
use tokio::net::TcpListener;

use crate::faults;
use crate::http::{self, Answer, Gone, always};
use crate::port::accept;
use crate::world::World;

/// The longest fault.
const LARGEST: usize = 16 << 10;

pub(crate) fn serve(world: &Arc<World>, listener: TcpListener) {
    let (of, stop) = (world.clone(), world.stop.clone());
    accept(listener, stop, move |stream, end| {
        let world = of.clone();
        async move { http::connection(stream, end, |request| answer(world.clone(), request)).await }
    });
}

async fn answer(world: Arc<World>, request: Request<Incoming>) -> Result<Answer, Gone> {
    let route = (request.method().clone(), request.uri().path().to_owned());
    always(Ok(match (&route.0, route.1.as_str()) {
        (&Method::GET, "/verdict") => http::json(StatusCode::OK, &verdict(&world)),
        (&Method::GET, "/servers") => http::json(StatusCode::OK, &servers(&world)),
        (&Method::POST, "/faults") => begin(&world, request).await,
        _ => {
            let known =
                json!({"error": "unknown call", "known": ["GET /verdict", "GET /servers", "POST /faults"]});
            http::json(StatusCode::NOT_FOUND, &known)
        }
    }))
}

fn verdict(world: &World) -> Value {
    world.judge().expire_requests(world.now());
    let verdict = world.judge().verdict();
    let mut value = serde_json::to_value(verdict).unwrap_or_default();
    value["rules_broken"] = verdict.rules_broken().into();
    value["origin_fetches"] = world.origin.fetches().into();
    value["connections"] = world.open_connections.load(Ordering::Relaxed).into();
    value
}

fn servers(world: &World) -> Value {
    let now = world.now();
    let each = |server: &Arc<crate::world::Server>| {
        server.port.with(|model, _| {
            json!({"id": server.id(), "zone": world.site.network.zones.get(server.zone), "down": model.is_down(),
                "cold": model.is_warming_up(now), "in_service": model.in_service(), "waiting": model.queued(),
                "objects": model.objects(), "bytes": model.bytes()})
        })
    };
    world.all_servers().iter().map(each).collect()
}

async fn begin(world: &Arc<World>, request: Request<Incoming>) -> Answer {
    let refused = |error: String| http::json(StatusCode::BAD_REQUEST, &json!({"error": error}));
    let body = match Limited::new(request.into_body(), LARGEST).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return refused(error.to_string()),
    };
    let fault: Fault = match serde_json::from_slice(&body) {
        Ok(fault) => fault,
        Err(error) => return refused(error.to_string()),
    };
    match faults::begin(world, &fault) {
        Ok(()) => http::json(StatusCode::ACCEPTED, &json!({"begun": true})),
        Err(error) => refused(error.to_string()),
    }
}
