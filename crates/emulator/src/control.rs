//! The control interface, HTTP with JSON bodies: the verdict, the state of the servers, and faults on demand.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use stonefold_model::site::Fault;
use tokio::net::TcpListener;

use crate::faults;
use crate::http::{self, ConnectionAborted, HttpResponse, infallible};
use crate::listeners::accept;
use crate::world::World;

/// Maximum size of a fault's description, in bytes.
const MAX_FAULT_BYTES: usize = 16 << 10;

pub(crate) fn serve(world: &Arc<World>, listener: TcpListener) {
    let (serving_world, stop) = (world.clone(), world.stop.clone());
    accept(listener, stop, move |stream, closing| {
        let world = serving_world.clone();
        async move { http::serve_connection(stream, closing, |request| respond(world.clone(), request)).await }
    });
}

async fn respond(world: Arc<World>, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
    let route = (request.method().clone(), request.uri().path().to_owned());
    infallible(Ok(match (&route.0, route.1.as_str()) {
        (&Method::GET, "/verdict") => http::json(StatusCode::OK, &verdict_json(&world)),
        (&Method::GET, "/servers") => http::json(StatusCode::OK, &servers_json(&world)),
        (&Method::POST, "/faults") => inject_fault(&world, request).await,
        _ => {
            let unknown_call =
                json!({"error": "unknown call", "known": ["GET /verdict", "GET /servers", "POST /faults"]});
            http::json(StatusCode::NOT_FOUND, &unknown_call)
        }
    }))
}

fn verdict_json(world: &World) -> Value {
    world.rule_checker().expire_requests(world.now());
    let verdict = world.rule_checker().verdict();
    let mut value = serde_json::to_value(verdict).unwrap_or_default();
    value["rules_broken"] = verdict.rules_broken().into();
    value["origin_fetches"] = world.origin.fetches().into();
    value["connections"] = world.open_connections.load(Ordering::Relaxed).into();
    value
}

fn servers_json(world: &World) -> Value {
    let now = world.now();
    let server_json = |server: &Arc<crate::world::CacheServer>| {
        server.endpoint.with_model(|model, _| {
            json!({"id": server.id(), "zone": world.site.network.zones.get(server.zone), "down": model.is_down(),
                "cold": model.is_warming_up(now), "in_service": model.in_service(), "waiting": model.queued(),
                "objects": model.objects(), "bytes": model.bytes()})
        })
    };
    world.all_servers().iter().map(server_json).collect()
}

async fn inject_fault(world: &Arc<World>, request: Request<Incoming>) -> HttpResponse {
    let rejected = |error: String| http::json(StatusCode::BAD_REQUEST, &json!({"error": error}));
    let body = match Limited::new(request.into_body(), MAX_FAULT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return rejected(error.to_string()),
    };
    let fault: Fault = match serde_json::from_slice(&body) {
        Ok(fault) => fault,
        Err(error) => return rejected(error.to_string()),
    };
    match faults::inject(world, &fault) {
        Ok(()) => http::json(StatusCode::ACCEPTED, &json!({"begun": true})),
        Err(error) => rejected(error.to_string()),
    }
}
