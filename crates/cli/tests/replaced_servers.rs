//! A new process at the address of one that has gone is not taken for it: a server is identified by its id and start.

#[path = "common/fakes.rs"]
mod fakes;

use std::time::{Duration, Instant};

use fakes::*;

const CACHE: &str = "s-5be2a07c";
const NEW_CACHE: &str = "s-747639282";

/// Guards against a request that is written to a connection of the process that was at the address before: the machine
/// of one that vanished says nothing, so such connections look open.
#[test]
fn connections_to_a_process_end_with_its_server_id_or_start() {
    /// Much less than the time after which idle connections are closed.
    const LIMIT: Duration = Duration::from_secs(5);
    let restarted = |entry: String| entry.replace(r#""started_ms":0"#, r#""started_ms":1000"#);
    for with_new_id in [false, true] {
        let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
        let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
        let node = Node::start(&known, discovery.addr);
        let mut client = node.client();
        client.send_get("k", "c=read,d=15000");
        cache.next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
        let changes = if with_new_id {
            let removed = server_entry(CACHE, cache.addr, "m", "DELETED");
            format!("{removed},{}", restarted(server_entry(NEW_CACHE, cache.addr, "m", "SERVING")))
        } else {
            restarted(server_entry(CACHE, cache.addr, "m", "SERVING"))
        };
        let body = format!(r#"{{"version":42,"full":false,"servers":[{changes}]}}"#);
        discovery.next_call().reply_http("200 OK", &body);
        let told = Instant::now();
        assert_eq!(cache.next_closed(), 0);
        assert!(told.elapsed() < LIMIT, "new id {with_new_id}: closed after {:?}", told.elapsed());
    }
}

/// Guards against a write that runs at both processes: one that may have run at the old one is not sent to the new one.
#[test]
fn write_that_may_have_run_at_the_old_process_is_not_sent_to_the_new_one() {
    let settings =
        SETTINGS.replace(r#""Mode":"aside","OriginKind":1"#, r#""Mode":"through","OriginKind":-1"#);
    let (cache, discovery) = (FakeServer::cache(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], FakeServer::http().addr);
    let node = NodeOptions { settings: &settings, ..NodeOptions::new(&known, discovery.addr) }.start();
    let mut client = node.client();
    client.send_set("k", "c=put,d=2000", "v");
    let call = cache.next_call();
    let changes = [
        server_entry(CACHE, cache.addr, "m", "DELETED"),
        server_entry(NEW_CACHE, cache.addr, "m", "SERVING"),
    ];
    let body = format!(r#"{{"version":42,"full":false,"servers":[{}]}}"#, changes.join(","));
    discovery.next_call().reply_http("200 OK", &body);
    let _watch = discovery.next_call(); // the node has read the list
    call.close();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert!(cache.try_next_call().is_none(), "sent to the new process");
}
