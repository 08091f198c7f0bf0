//! Generates the configuration of a site's nodes.

use std::net::SocketAddr;

use stonefold_config::{
    Config, Connections, Count, DurationMillis, Fleet, Fraction, Idempotency, Node, Positive, RequestClass,
    Requests, Server, Tenant,
};
use stonefold_model::site::Site;

use crate::world::Emulator;

impl Emulator {
    /// Returns the configuration of a node that listens at `listen`; `None` if the site has no node of that number.
    pub fn config(&self, node: usize, listen: SocketAddr, operator: Option<SocketAddr>) -> Option<Config> {
        let site = self.site();
        let slow_start_ms = site.caches.iter().map(|kind| kind.warm_up.us() / 1000).max().unwrap_or(0);
        let initial_capacity = site.caches.iter().map(|kind| kind.warm_up_from.get()).fold(1.0, f64::min);
        let idle_timeout_ms = site.caches.iter().map(|kind| kind.idle.us() / 1000).min().unwrap_or(15_000);
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
                idle_timeout: DurationMillis::new(idle_timeout_ms),
                ..Connections::default()
            },
            fleet: Fleet {
                zones: site.network.zones.clone(),
                slow_start_duration: DurationMillis::new(slow_start_ms),
                initial_capacity: Fraction::new(initial_capacity),
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
        let list = self.endpoint_list(node);
        let entries = list["servers"].as_array().cloned().unwrap_or_default();
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
    let class = |kind: &stonefold_model::site::ClassKind| RequestClass {
        name: kind.name.clone(),
        latency_objective: DurationMillis::new(kind.latency_objective.us() / 1000),
        deadline: DurationMillis::new(kind.deadline.us() / 1000),
        idempotency: kind.effect,
        deduplication_scope: kind.scope,
        deduplication_window: DurationMillis::new(if kind.effect == Idempotency::Keyed {
            kind.window.us() / 1000
        } else {
            5_000
        }),
        priority_weight: Positive::new(1.0),
    };
    site.classes.iter().map(class).collect()
}

fn tenants(site: &Site) -> Vec<Tenant> {
    site.tenants.iter().map(|tenant| Tenant { name: tenant.name.clone(), quota: tenant.share }).collect()
}
