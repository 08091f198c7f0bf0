//! Conversion of the tree to the platform's configuration document, which is the form that the node reads.

use serde_json::{Value, json};

use crate::tree::{CacheMode, Config, DeduplicationScope, Idempotency, RequestClass, Server};

/// How long requests may still be sent to a draining server, in milliseconds.
const DRAIN_GRACE_MS: u64 = 500;
/// The granularity of the node's timers, in milliseconds.
const TIMER_GRANULARITY_MS: f64 = 1.0;

impl Config {
    /// This configuration as the platform's document. `seed` is used if the tree states none.
    pub fn to_platform(&self, seed: u64) -> Value {
        let seed = self.node.seed.clone().unwrap_or_else(|| format!("{seed:016x}"));
        json!({
            "name": self.node.name,
            "listen": self.node.listen,
            "discovery": self.node.discovery,
            "operator": self.node.operator,
            "seed": seed,
            "limits": {
                "sockets": self.limits.sockets.get(),
                "memory_mb": self.limits.memory.bytes() >> 20,
            },
            "known": {
                "version": 0,
                "full": true,
                "servers": self.servers.iter().map(known_server).collect::<Vec<_>>(),
            },
            "settings": self.settings(),
        })
    }

    fn settings(&self) -> Value {
        let (fleet, requests) = (&self.fleet, &self.requests);
        let tenants = self.tenants.iter();
        let tenants = tenants.map(|tenant| json!({"Name": tenant.name, "Share": tenant.quota.get()}));
        json!({
            "Classes": self.classes.iter().map(request_class).collect::<Vec<_>>(),
            "Tenants": tenants.collect::<Vec<_>>(),
            "Dcs": fleet.zones,
            "Skus": [fleet.origin_machine_type],
            "FamilyInfo": {
                "Mode": match fleet.cache_mode { CacheMode::Aside => "aside", CacheMode::Through => "through" },
                "OriginKind": match fleet.cache_mode { CacheMode::Aside => 0, CacheMode::Through => -1 },
            },
            "Guarantees": {
                "Cold": fleet.slow_start_duration.ms(),
                "ColdFrom": fleet.initial_capacity.get(),
                "OverloadFactor": fleet.overload_factor.get(),
                "Fall": fleet.overload_window.ms(),
                "MustAskIn": fleet.max_poll_interval.ms(),
                "DrainGrace": DRAIN_GRACE_MS,
            },
            "Limits": {
                "Cancel": requests.cancellation,
                "SecondCopies": requests.hedging,
                "MaxAttempts": requests.max_attempts.get(),
                "RetryAfter": requests.max_retry_after.ms() > 0,
                "MaxRetryAfter": requests.max_retry_after.ms(),
                "ConnectTimeout": self.connections.connect_timeout.ms(),
                "Keepalive": self.connections.idle_timeout.ms(),
            },
            "Prices": {"CrossZone": fleet.cross_zone_cost.get()},
            "OverShareWorth": requests.over_quota_weight.get(),
            "Quantum": TIMER_GRANULARITY_MS,
            "RegistryMode": if fleet.watch_required { "subscribe" } else { "automatic" },
            "Siblings": self.node.node_count.get(),
            "Me": self.node.node_index.map(|index| index.get()),
            "Zone": self.node.zone,
        })
    }
}

/// An entry of the endpoint list that the node starts with.
fn known_server(server: &Server) -> Value {
    json!({
        "id": server.id,
        "addr": server.addr,
        "zone": server.zone,
        "kind": server.machine_type,
        "cell": server.cell.get(),
        "state": "SERVING",
        "weight": server.weight.get(),
        "started_ms": 0,
    })
}

fn request_class(class: &RequestClass) -> Value {
    json!({
        "Name": class.name,
        "Aim": class.latency_objective.ms(),
        "HardLimit": class.deadline.ms(),
        "Effect": match class.idempotency {
            Idempotency::Idempotent => "safe",
            Idempotency::Keyed => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        },
        "DedupScope": match class.deduplication_scope {
            DeduplicationScope::All => "all",
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
        },
        "Window": class.deduplication_window.ms(),
        "Worth": class.priority_weight.get(),
    })
}
