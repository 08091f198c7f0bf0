//! What a node of a site is told at its start, as a configuration of our own.

use std::net::SocketAddr;

use stonefold_config::{
    Config, Connections, Count, DurationMillis, Fleet, Fraction, Idempotency, Node, Positive, RequestClass,
    Requests, Server, Tenant,
};
use stonefold_model::site::Site;

use crate::world::Emulator;

impl Emulator {
    /// The configuration of a node that listens here; `None` if the site has no node of that number.
    pub fn config(&self, node: usize, listen: SocketAddr, operator: Option<SocketAddr>) -> Option<Config> {
        let site = self.site();
        let cold = site.caches.iter().map(|kind| kind.warm_up.us() / 1000).max().unwrap_or(0);
        let cold_from = site.caches.iter().map(|kind| kind.warm_up_from.get()).fold(1.0, f64::min);
        let keepalive = site.caches.iter().map(|kind| kind.idle.us() / 1000).min().unwrap_or(15_000);
        Some(Config {
            node: Node {
                name: format!("n{node}"),
                listen: Some(listen),
                discovery: Some(self.discovery(node)?),
                operator,
                zone: Some(self.zone_of(node).to_owned()),
                node_count: Count::new(site.nodes.get() as u64),
                node_index: Some(Count::new(node as u64)),
                ..Node::default()
            },
            requests: Requests { over_quota_weight: Fraction::new(0.05), ..Requests::default() },
            connections: Connections {
                idle_timeout: DurationMillis::new(keepalive),
                ..Connections::default()
            },
            fleet: Fleet {
                zones: site.network.zones.clone(),
                slow_start_duration: DurationMillis::new(cold),
                initial_capacity: Fraction::new(cold_from),
                overload_factor: site.rules.overload_factor,
                overload_window: DurationMillis::new(site.rules.overload_for.us() / 1000),
                cross_zone_cost: Fraction::new(0.03),
                ..Fleet::default()
            },
            classes: classes(site),
            tenants: tenants(site),
            servers: self.servers(node),
            ..Config::default()
        })
    }

    fn servers(&self, node: usize) -> Vec<Server> {
        let known = self.endpoint_list(node);
        let entries = known["servers"].as_array().cloned().unwrap_or_default();
        let text = |entry: &serde_json::Value, key: &str| entry[key].as_str().unwrap_or_default().to_owned();
        let server = |entry: serde_json::Value| {
            Some(Server {
                id: text(&entry, "id"),
                addr: text(&entry, "addr").parse().ok()?,
                zone: text(&entry, "zone"),
                machine_type: text(&entry, "kind"),
                cell: Count::new(entry["cell"].as_u64().unwrap_or(0)),
                weight: Positive::new(1.0),
            })
        };
        entries.into_iter().filter_map(server).collect()
    }
}

fn classes(site: &Site) -> Vec<RequestClass> {
    let class = |of: &stonefold_model::site::ClassKind| RequestClass {
        name: of.name.clone(),
        latency_objective: DurationMillis::new(of.latency_objective.us() / 1000),
        deadline: DurationMillis::new(of.deadline.us() / 1000),
        idempotency: of.effect,
        deduplication_scope: of.scope,
        deduplication_window: DurationMillis::new(if of.effect == Idempotency::Keyed {
            of.window.us() / 1000
        } else {
            5_000
        }),
        priority_weight: Positive::new(1.0),
    };
    site.classes.iter().map(class).collect()
}

fn tenants(site: &Site) -> Vec<Tenant> {
    site.tenants.iter().map(|of| Tenant { name: of.name.clone(), quota: of.share }).collect()
}
