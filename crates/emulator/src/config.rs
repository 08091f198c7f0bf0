//! What a node of a site is told at its start, as a configuration of our own.

use std::net::SocketAddr;

use stonefold_config::{
    Class, Config, Connections, Count, Effect, Fleet, Millis, Node, Part, Positive, Requests, Server, Tenant,
};
use stonefold_model::site::Site;

use crate::world::Emulator;

impl Emulator {
    /// The configuration of a node that listens here; `None` if the site has no node of that number.
    pub fn config(&self, node: usize, listen: SocketAddr, operator: Option<SocketAddr>) -> Option<Config> {
        let site = self.site();
        let cold = site.caches.iter().map(|kind| kind.cold.us() / 1000).max().unwrap_or(0);
        let cold_from = site.caches.iter().map(|kind| kind.cold_from.get()).fold(1.0, f64::min);
        let keepalive = site.caches.iter().map(|kind| kind.idle.us() / 1000).min().unwrap_or(15_000);
        Some(Config {
            node: Node {
                name: format!("n{node}"),
                listen: Some(listen),
                discovery: Some(self.discovery(node)?),
                operator,
                zone: Some(self.zone_of(node).to_owned()),
                siblings: Count::new(site.nodes.get() as u64),
                index: Some(Count::new(node as u64)),
                ..Node::default()
            },
            requests: Requests { over_share_worth: Part::new(0.05), ..Requests::default() },
            connections: Connections { keepalive: Millis::new(keepalive), ..Connections::default() },
            fleet: Fleet {
                zones: site.network.zones.clone(),
                cold: Millis::new(cold),
                cold_from: Part::new(cold_from),
                overload_factor: site.rules.overload_factor,
                overload_for: Millis::new(site.rules.overload_for.us() / 1000),
                cross_zone_price: Part::new(0.03),
                ..Fleet::default()
            },
            classes: classes(site),
            tenants: tenants(site),
            servers: self.servers(node),
            ..Config::default()
        })
    }

    fn servers(&self, node: usize) -> Vec<Server> {
        let known = self.known(node);
        let entries = known["servers"].as_array().cloned().unwrap_or_default();
        let text = |entry: &serde_json::Value, key: &str| entry[key].as_str().unwrap_or_default().to_owned();
        let server = |entry: serde_json::Value| {
            Some(Server {
                id: text(&entry, "id"),
                addr: text(&entry, "addr").parse().ok()?,
                zone: text(&entry, "zone"),
                kind: text(&entry, "kind"),
                cell: Count::new(entry["cell"].as_u64().unwrap_or(0)),
                weight: Positive::new(1.0),
            })
        };
        entries.into_iter().filter_map(server).collect()
    }
}

fn classes(site: &Site) -> Vec<Class> {
    let class = |of: &stonefold_model::site::ClassKind| Class {
        name: of.name.clone(),
        aim: Millis::new(of.aim.us() / 1000),
        deadline: Millis::new(of.deadline.us() / 1000),
        effect: of.effect,
        scope: of.scope,
        window: Millis::new(if of.effect == Effect::Keyed { of.window.us() / 1000 } else { 5_000 }),
        worth: Positive::new(1.0),
    };
    site.classes.iter().map(class).collect()
}

fn tenants(site: &Site) -> Vec<Tenant> {
    site.tenants.iter().map(|of| Tenant { name: of.name.clone(), share: of.share }).collect()
}
