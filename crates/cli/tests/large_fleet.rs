//! No list of nodes or servers is limited to 1,024 entries or fewer: 1,100 of each, on real sockets.

#[path = "common/fakes.rs"]
mod fakes;

use fakes::*;

/// More nodes than any limit of the program may cut off.
const NODES: usize = 1_100;
/// More servers than any limit of the program may cut off.
const SERVERS: usize = 1_100;
const FACTS: &str = "c=read,d=60000";

fn server_id(n: usize) -> String {
    format!("s-{n:04}")
}

/// A list in which only the last cache serves and all others drain, and an origin.
fn list_with_only_the_last_serving(
    version: u64,
    last: &FakeServer,
    unused: &FakeServer,
    origin: &FakeServer,
) -> String {
    let draining = (0..SERVERS - 1).map(|n| server_entry(&server_id(n), unused.addr, "m", "DRAINING"));
    let serving = [
        server_entry(&server_id(SERVERS - 1), last.addr, "m", "SERVING"),
        server_entry("o", origin.addr, "origin", "SERVING"),
    ];
    let entries: Vec<String> = draining.chain(serving).collect();
    format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
}

/// The usual settings for a fleet of [`NODES`] nodes, with the addresses of its members.
fn large_fleet_settings() -> String {
    let peers: Vec<String> =
        (0..NODES).map(|n| format!("\"127.0.{}.{}:7946\"", 1 + n / 250, 1 + n % 250)).collect();
    let settings = SETTINGS.replace(r#""Siblings":1"#, &format!(r#""Siblings":{NODES},"Me":{}"#, NODES - 1));
    // The settings are the last key of the file, so that the next key may follow them here.
    format!(r#"{settings},"peers":[{}]"#, peers.join(","))
}

/// Guards against a limit on the known list or on the fleet that cuts off the last entries.
#[test]
fn last_of_1100_known_servers_serves_a_node_with_1099_siblings() {
    let (last, unused, origin, discovery) =
        (FakeServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = list_with_only_the_last_serving(41, &last, &unused, &origin);
    let settings = large_fleet_settings();
    let node =
        NodeOptions { settings: &settings, operator: true, ..NodeOptions::new(&known, discovery.addr) }
            .start();
    let mut client = node.client();
    client.send_get("k", FACTS);
    last.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(node.metric("svc_hosts_listed"), SERVERS as f64);
    assert!(unused.try_next_call().is_none());
}

/// Guards against a limit on lists from discovery, or on the removed servers that an operator may still name.
#[test]
fn discovered_list_of_1100_is_complete_and_its_removed_servers_stay_known() {
    let (last, unused, origin, discovery) =
        (FakeServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let settings = large_fleet_settings();
    let empty = r#"{"version":0,"full":true,"servers":[]}"#;
    let state_dir = tempfile::tempdir().unwrap();
    let options = NodeOptions::new(empty, discovery.addr);
    let node =
        NodeOptions { settings: &settings, operator: true, state_dir: Some(state_dir.path()), ..options }
            .start();
    discovery.next_call().reply_http("200 OK", &list_with_only_the_last_serving(41, &last, &unused, &origin));
    let watch = discovery.next_call(); // the node requests further changes once the list is in force
    let mut client = node.client();
    client.send_get("k", FACTS);
    last.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // All caches but the last are removed. An operator may still name each of them.
    watch.reply_http("200 OK", &server_list(42, &[(&server_id(SERVERS - 1), last.addr)], origin.addr));
    let _watch = discovery.next_call();
    for n in [0, SERVERS / 2, SERVERS - 2] {
        assert_eq!(node.operator_call(format!("DISABLE {}\n", server_id(n))), "ok\n");
    }
    assert!(node.operator_call("DISABLE s-nobody\n").starts_with("fail "));
}
