//! No list of nodes or servers ends before 1,024 entries: 1,100 of each, on real sockets.

#[path = "common/fakes.rs"]
mod fakes;

use fakes::*;

/// More nodes and more servers than any bound of the program may cut off.
const NODES: usize = 1_100;
const SERVERS: usize = 1_100;
const CLIENT_TIME: &str = "c=read,d=60000";

fn name(n: usize) -> String {
    format!("s-{n:04}")
}

/// A list in which all servers drain but the last, and an origin.
fn list_that_serves_from_its_last(
    version: u64,
    last: &FakeServer,
    unused: &FakeServer,
    origin: &FakeServer,
) -> String {
    let draining = (0..SERVERS - 1).map(|n| server_entry(&name(n), unused.addr, "m", "DRAINING"));
    let serving = [
        server_entry(&name(SERVERS - 1), last.addr, "m", "SERVING"),
        server_entry("o", origin.addr, "origin", "SERVING"),
    ];
    let entries: Vec<String> = draining.chain(serving).collect();
    format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
}

/// The tests' settings for that many nodes, their addresses beside them.
fn settings_of_many() -> String {
    let peers: Vec<String> =
        (0..NODES).map(|n| format!("\"127.0.{}.{}:7946\"", 1 + n / 250, 1 + n % 250)).collect();
    let settings = SETTINGS.replace(r#""Siblings":1"#, &format!(r#""Siblings":{NODES},"Me":{}"#, NODES - 1));
    // The settings stand last in the file, and what follows them beside them.
    format!(r#"{settings},"peers":[{}]"#, peers.join(","))
}

#[test]
fn the_last_of_1100_servers_serves_a_node_that_has_1099_siblings() {
    let (last, unused, origin, discovery) =
        (FakeServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = list_that_serves_from_its_last(41, &last, &unused, &origin);
    let settings = settings_of_many();
    let node =
        NodeOptions { settings: &settings, operator: true, ..NodeOptions::new(&known, discovery.addr) }
            .start();
    let mut client = node.client();
    client.send_get("k", CLIENT_TIME);
    last.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(node.metric("svc_hosts_listed"), SERVERS as f64);
    assert!(unused.try_next_call().is_none());
}

#[test]
fn a_list_of_1100_that_discovery_brings_serves_from_its_last_and_all_that_have_left_are_known() {
    let (last, unused, origin, discovery) =
        (FakeServer::cache(), FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let settings = settings_of_many();
    let empty = r#"{"version":0,"full":true,"servers":[]}"#;
    let orders = tempfile::tempdir().unwrap();
    let start = NodeOptions::new(empty, discovery.addr);
    let node =
        NodeOptions { settings: &settings, operator: true, state_dir: Some(orders.path()), ..start }.start();
    discovery.next_call().reply_http("200 OK", &list_that_serves_from_its_last(41, &last, &unused, &origin));
    let watch = discovery.next_call(); // the list is in force before it is followed further
    let mut client = node.client();
    client.send_get("k", CLIENT_TIME);
    last.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // All but the last leave; an operator may still name each of them.
    watch.reply_http("200 OK", &server_list(42, &[(&name(SERVERS - 1), last.addr)], origin.addr));
    let _watch = discovery.next_call();
    for n in [0, SERVERS / 2, SERVERS - 2] {
        assert_eq!(node.operator_call(format!("DISABLE {}\n", name(n))), "ok\n");
    }
    assert!(node.operator_call("DISABLE s-nobody\n").starts_with("fail "));
}
