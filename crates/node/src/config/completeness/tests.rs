//! Documents that lack one key of a complete one.

use serde_json::json;

use super::*;

/// A document with all keys that the platform's description of the settings names.
fn complete_document() -> Value {
    let class = |name: &str, effect: &str, scope: &str| {
        json!({"Name": name, "Effect": effect, "Aim": 300.0, "AimStretch": 1.5, "HardLimit": 2000.0, "DedupScope": scope,
            "Window": 3000.0, "Worth": 1.0, "LateShare": 0.4, "Stream": false})
    };
    let tenant = |name: &str| json!({"Name": name, "QuotaPerS": 100.0, "Share": 0.5});
    json!({
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "operator": "127.0.0.1:3", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
        "known": {"version": 1, "full": true, "servers": [{"id": "s-1"}]},
        "settings": {
            "Classes": [class("read", "safe", "all"), class("write", "keyed", "zone")],
            "Clients": {"MarksRetry": false},
            "Dcs": ["a", "b"], "Skus": ["box", "origin"], "Family": "cache",
            "FamilyInfo": {"Mode": "aside", "Notes": "", "OriginFall": 3000.0, "OriginFallMultiple": 2.5, "OriginKind": 1,
                "ReportX0": "", "ReportX1": ""},
            "Guarantees": {"AnswerSlack": 20.0, "Cold": 9000.0, "ColdFrom": 0.3, "DrainGrace": 500.0, "Fall": 1500.0,
                "MustAskIn": 10000.0, "OverloadFactor": 3.0},
            "Limits": {"Cancel": true, "ConnectTimeout": 250.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 15000,
                "Keepalive": 15000.0, "MaxAttempts": 3, "MaxOpen": 20000, "MaxRetryAfter": 2000.0, "MaxStreams": 32,
                "Peers": true, "Probes": false, "RetryAfter": true, "SecondCopies": true},
            "Me": 0, "OverShareWorth": 0.05,
            "Prices": {"Connection": 0.0, "CrossZone": 0.03, "Fleet": 0.0, "Handshake": 0.0, "LateFail": 0.03,
                "Moves": 0.0, "Origin": 0.1, "Peer": 0.01, "Probe": 0.0, "RegistryMode": 0.01, "Waste": 0.05},
            "Quantum": 5.0, "RegistryMode": "subscribe",
            "ScoreParts": {"Whole": 0.4, "WorstClass": 0.1, "WorstTenant": 0.4, "WorstWindow": 0.1},
            "Siblings": 4, "Stages": ["cache"], "Telemetry": {"Fields": ["backlog"], "How": "piggyback"},
            "Tenants": [tenant("one"), tenant("two")], "Tier": 0, "Weights": "silent", "WorthBy": "request", "Zone": "a",
        },
    })
}

/// The JSON pointers to all keys at any depth, except in the list of servers, which is read at the start only.
fn all_keys(path: &str, value: &Value) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, value)| (format!("{path}/{key}"), value)).collect(),
        Value::Array(elements) => {
            let nested = elements.iter().enumerate();
            return nested.flat_map(|(n, value)| all_keys(&format!("{path}/{n}"), value)).collect();
        }
        _ => return Vec::new(),
    };
    let nested = children.iter().filter(|(path, _)| path != "/known");
    let nested: Vec<String> = nested.flat_map(|(path, value)| all_keys(path, value)).collect();
    children.iter().map(|(path, _)| path.clone()).chain(nested).collect()
}

/// Removes the key that a JSON pointer names.
fn without(document: &Value, pointer: &str) -> Value {
    let (object, key) = pointer.rsplit_once('/').unwrap();
    let mut document = document.clone();
    document.pointer_mut(object).unwrap().as_object_mut().unwrap().remove(key).unwrap();
    document
}

/// Guards against a reload that takes a default for a key that the file lacks: without `DedupScope` keyed writes were
/// repeated in zones that do not discard repeats.
#[test]
fn each_key_but_the_optional_ones_must_be_present_again() {
    let complete = complete_document();
    let keys = all_keys("", &complete);
    assert!(keys.len() > 70, "{}", keys.len());
    let accepted = keys.iter().filter(|key| missing_key(&complete, &without(&complete, key)).is_none());
    let optional =
        ["/settings/Classes/0/AimStretch", "/settings/Classes/1/AimStretch", "/settings/Prices/Fleet"];
    assert_eq!(accepted.collect::<Vec<_>>(), optional);
}

/// Guards against a new class or tenant that lacks a key, and against a rejected file because classes come and go.
#[test]
fn new_elements_must_have_the_keys_of_the_others() {
    let complete = complete_document();
    for (list, key) in [("Classes", "Window"), ("Classes", "DedupScope"), ("Tenants", "Share")] {
        let pointer = format!("/settings/{list}");
        let mut renamed = complete.clone();
        renamed.pointer_mut(&pointer).unwrap()[0]["Name"] = json!("new");
        assert_eq!(missing_key(&complete, &renamed), None);
        let lacking = without(&renamed, &format!("{pointer}/0/{key}"));
        assert_eq!(missing_key(&complete, &lacking), Some(format!("{pointer}/{key}")));
    }
    let mut fewer = complete.clone();
    fewer.pointer_mut("/settings/Classes").unwrap().as_array_mut().unwrap().pop();
    assert_eq!(missing_key(&complete, &fewer), None);
    assert_eq!(missing_key(&fewer, &complete), None);
}

/// Guards against a value of another type in place of an object, which has none of its keys.
#[test]
fn object_that_is_replaced_by_a_value_lacks_its_keys() {
    let complete = complete_document();
    let mut replaced = complete.clone();
    replaced["settings"]["FamilyInfo"] = json!(null);
    assert_eq!(missing_key(&complete, &replaced).as_deref(), Some("/settings/FamilyInfo/Mode"));
}
