//! The tree in the form of the platform's own configuration, which the node reads.

use serde_json::{Value, json};

use crate::tree::{Class, Config, Effect, Mode, Scope};

impl Config {
    /// This configuration as the platform would state it. A seed that is absent is drawn by the caller.
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
            "known": {"version": 0, "full": true, "servers": self.known()},
            "settings": self.settings(),
        })
    }

    fn known(&self) -> Vec<Value> {
        let entry = |server: &crate::tree::Server| {
            json!({"id": server.id, "addr": server.addr, "zone": server.zone, "kind": server.kind,
                "cell": server.cell.get(), "state": "SERVING", "weight": server.weight.get(), "started_ms": 0})
        };
        self.servers.iter().map(entry).collect()
    }

    fn settings(&self) -> Value {
        let (fleet, requests) = (&self.fleet, &self.requests);
        let tenants = self.tenants.iter().map(|t| json!({"Name": t.name, "Share": t.share.get()}));
        json!({
            "Classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "Tenants": tenants.collect::<Vec<_>>(),
            "Dcs": fleet.zones,
            "Skus": [fleet.origin_kind],
            "FamilyInfo": {
                "Mode": match fleet.mode { Mode::Aside => "aside", Mode::Through => "through" },
                "OriginKind": match fleet.mode { Mode::Aside => 0, Mode::Through => -1 },
            },
            "Guarantees": {
                "Cold": fleet.cold.ms(), "ColdFrom": fleet.cold_from.get(),
                "OverloadFactor": fleet.overload_factor.get(), "Fall": fleet.overload_for.ms(),
                "MustAskIn": fleet.ask_within.ms(), "DrainGrace": 500,
            },
            "Limits": {
                "Cancel": requests.cancel, "SecondCopies": requests.second_copies,
                "MaxAttempts": requests.attempts.get(),
                "RetryAfter": requests.retry_after.ms() > 0, "MaxRetryAfter": requests.retry_after.ms(),
                "ConnectTimeout": self.connections.connect_timeout.ms(),
                "Keepalive": self.connections.keepalive.ms(),
            },
            "Prices": {"CrossZone": fleet.cross_zone_price.get()},
            "OverShareWorth": requests.over_share_worth.get(),
            "Quantum": 1.0,
            "RegistryMode": if fleet.subscribe { "subscribe" } else { "automatic" },
            "Siblings": self.node.siblings.get(),
            "Me": self.node.index.map(|index| index.get()),
            "Zone": self.node.zone,
        })
    }
}

fn class(class: &Class) -> Value {
    json!({
        "Name": class.name, "Aim": class.aim.ms(), "HardLimit": class.deadline.ms(),
        "Effect": match class.effect {
            Effect::Safe => "safe", Effect::Keyed => "keyed", Effect::Unsafe => "unsafe",
        },
        "DedupScope": match class.scope {
            Scope::All => "all", Scope::Zone => "zone", Scope::Cell => "cell",
        },
        "Window": class.window.ms(), "Worth": class.worth.get(),
    })
}
