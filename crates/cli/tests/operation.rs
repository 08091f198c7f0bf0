//! What operators do with a running node: their commands, upgrades, disabled servers, metrics and reloads.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

use fakes::*;

const CACHE: &str = "s-5be2a07c";

/// The servers around a node: one cache, an origin, and a discovery that never replies.
struct Fixture {
    cache: FakeServer,
    origin: FakeServer,
    discovery: FakeServer,
}

impl Fixture {
    fn new() -> Self {
        Fixture { cache: FakeServer::cache(), origin: FakeServer::http(), discovery: FakeServer::http() }
    }
    fn known_list(&self) -> String {
        server_list(41, &[(CACHE, self.cache.addr)], self.origin.addr)
    }
    fn start_node(&self) -> Node {
        NodeOptions { operator: true, ..NodeOptions::new(&self.known_list(), self.discovery.addr) }.start()
    }
}

// ---- operator commands ----

/// Guards against an invalid operator command that hangs, succeeds, or fails without one line that tells why.
#[test]
fn ready_command_succeeds_and_invalid_commands_fail_with_a_reason() {
    let fixture = Fixture::new();
    let node = fixture.start_node();
    node.client().ping(); // the node accepts connections
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    assert_eq!(node.operator_call("READY\r\n"), "ok\n");
    let long = "R".repeat(300);
    for bad in
        [&b""[..], b"\n", b"READY", b"READY now\n", b"ready\n", b"FLY s-1\n", b"\xff\n", long.as_bytes()]
    {
        let mut operator = node.operator_connection();
        operator.write_all(bad).unwrap();
        let _ = operator.shutdown(Shutdown::Write); // the node may have answered and closed
        let mut answer = String::new();
        operator.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("fail ") && answer.len() > 6, "{bad:?}: {answer:?}");
        assert_eq!(answer.lines().count(), 1);
    }
}

/// Guards against operators who are kept out by connections on which no command, or only a part of one, was sent.
#[test]
fn silent_operator_connections_do_not_block_new_ones() {
    let fixture = Fixture::new();
    let node = fixture.start_node();
    let silent: Vec<TcpStream> = (0..50)
        .map(|n| {
            let mut operator = node.operator_connection();
            operator.write_all(if n % 2 == 0 { b"" } else { b"REA" }).unwrap();
            operator
        })
        .collect();
    node.client().ping();
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    // The first connection was closed to admit a new one.
    assert!(matches!((&silent[0]).read(&mut [0]), Ok(0) | Err(_)));
}

/// Guards against a stopping node that still reports that it is ready while it answers its open requests.
#[test]
fn ready_command_fails_once_the_node_is_stopping() {
    let fixture = Fixture::new();
    let mut node = fixture.start_node();
    let mut busy = node.client();
    busy.send_get("k", "c=read,d=15000");
    let call = fixture.cache.next_call();
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    node.terminate();
    while node.operator_call("READY\n") == "ok\n" {}
    call.reply_value("v");
    assert_eq!(busy.read_reply().as_deref(), Some("v"));
    assert!(node.wait_for_exit());
}

// ---- upgrade ----

/// Guards against requests that are lost while a new process takes over the listening socket of the old one.
#[test]
fn upgrade_over_a_shared_listener_loses_no_request() {
    let fixture = Fixture::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = fixture.known_list();
    let options = || NodeOptions {
        operator: true,
        passed_socket: Some(&listener),
        ..NodeOptions::new(&known, fixture.discovery.addr)
    };
    let mut old = options().start();
    let mut old_client = old.client();
    old_client.send_get("k", "c=read,d=15000");
    let call = fixture.cache.next_call();
    let new = options().start();
    while new.operator_call("READY\n") != "ok\n" {}
    old.terminate();
    while old.operator_call("READY\n") == "ok\n" {}
    // The listener stays open, and only the new process accepts from it.
    for n in 0..8 {
        let mut client = new.client();
        client.send(&["CACHE.GET", "k2", &format!("later-{n}"), "c=read,d=15000"]);
        fixture.cache.next_call().reply_value("from the new one");
        assert_eq!(client.read_reply().as_deref(), Some("from the new one"));
    }
    call.reply_value("from the old one");
    assert_eq!(old_client.read_reply().as_deref(), Some("from the old one"));
    assert_eq!(old_client.read_reply(), None, "closed after its reply");
    assert!(old.wait_for_exit());
    new.client().ping();
}

/// Guards against a start that goes on without its passed socket, or fails without a message.
#[test]
fn passed_descriptor_that_is_no_listener_is_reported_in_one_line() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let config = format!(r#"{{"seed":"1","settings":{SETTINGS}}}"#);
    std::fs::write(file.path(), config).unwrap();
    for (descriptor, shell) in [
        ("4", "exec \"$0\" node"),
        ("0", "exec \"$0\" node </dev/null"),
        ("four", "exec \"$0\" node"),
        ("-1", "exec \"$0\" node"),
    ] {
        let output = stonefold_through_shell(shell)
            .env("EDGE_LISTEN", "127.0.0.1:0")
            .env("EDGE_DISCOVERY", "127.0.0.1:1")
            .env("EDGE_CONFIG", file.path())
            .env("EDGE_PASSED_SOCKET", descriptor)
            .output()
            .unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{descriptor}");
        assert_eq!(message.lines().count(), 1, "{message}");
    }
}

// ---- servers that an operator disabled ----

/// Sends a read with this id.
fn send_read(client: &mut Client, key: &str, id: &str) {
    client.send(&["CACHE.GET", key, id, "c=read,d=15000"]);
}

/// Guards against a disabled server that still gets requests: from the process that took the command, from the other
/// one of an upgrade, or after a restart.
#[test]
fn disabled_server_gets_no_request_from_this_process_or_a_successor() {
    let (spare, fixture) = (FakeServer::cache(), Fixture::new());
    let known = server_list(41, &[(CACHE, fixture.cache.addr), ("s-spare", spare.addr)], fixture.origin.addr);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = tempfile::tempdir().unwrap();
    let options = || {
        let passed_socket = Some(&listener);
        NodeOptions {
            operator: true,
            passed_socket,
            state_dir: Some(dir.path()),
            ..NodeOptions::new(&known, fixture.discovery.addr)
        }
    };
    let old = options().start();
    assert!(old.operator_call("DISABLE s-nobody\n").starts_with("fail "));
    assert!(old.operator_call("ENABLE s-nobody\n").starts_with("fail "));
    assert!(old.operator_call("DISABLE\n").starts_with("fail "));
    assert_eq!(old.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    assert_eq!(old.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    let mut client = old.client();
    for n in 0..40 {
        send_read(&mut client, &format!("k{n}"), "i");
        spare.next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
    assert!(fixture.cache.try_next_call().is_none());
    // The successor knows the orders from its start, and a command to it is in force in both processes.
    let new = options().start();
    assert_eq!(new.operator_call(format!("ENABLE {CACHE}\n")), "ok\n");
    assert_eq!(new.operator_call("DISABLE s-spare\n"), "ok\n");
    // Once the old process has taken over both orders, it sends reads to the enabled server as far as slow start
    // permits.
    let mut n = 0;
    let call = loop {
        n += 1;
        send_read(&mut client, &format!("l{n}"), "i");
        let call = loop {
            if let Some(call) = fixture.cache.try_next_call() {
                break Some(call);
            }
            if let Some(call) = spare.try_next_call() {
                call.reply_value("v");
                break None;
            }
            if let Some(call) = fixture.origin.try_next_call() {
                call.reply_http("200 OK", "v"); // the enabled server is in slow start and gets only a few
                break None;
            }
        };
        match call {
            Some(call) => break call,
            None => assert_eq!(client.read_reply().as_deref(), Some("v")),
        }
    };
    call.reply_value("back");
    assert_eq!(client.read_reply().as_deref(), Some("back"));
}

/// Guards against a node that does not start, or accepts no orders, because its state file is damaged.
#[test]
fn damaged_state_file_does_not_prevent_serving_and_new_orders() {
    let fixture = Fixture::new();
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("stonefold-orders.json"), "{\"version\":1,").unwrap();
    let known = fixture.known_list();
    let options = || NodeOptions {
        operator: true,
        state_dir: Some(dir.path()),
        ..NodeOptions::new(&known, fixture.discovery.addr)
    };
    let node = options().start();
    assert_eq!(node.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    drop(node);
    // After a restart the server is still disabled: the read goes to the origin.
    let node = options().start();
    let mut client = node.client();
    send_read(&mut client, "k", "i");
    fixture.origin.next_call().reply_http("200 OK", "v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert!(fixture.cache.try_next_call().is_none());
}

/// Guards against an order that is confirmed though a restart would lose it.
#[test]
fn order_without_a_state_folder_is_rejected() {
    let fixture = Fixture::new();
    let node = fixture.start_node(); // without a TMPDIR
    assert!(node.operator_call(format!("DISABLE {CACHE}\n")).starts_with("fail cannot keep the order"));
}

// ---- metrics ----

/// The value of a metric, by its name and labels.
fn metric(node: &Node, name: &str) -> u64 {
    let text = node.operator_call("STATS\n");
    assert!(text.ends_with("\neof\n"), "{text}");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().unwrap()
}

/// Waits until a metric has this value.
fn wait_for_metric(node: &Node, name: &str, value: u64) {
    let start = std::time::Instant::now();
    while metric(node, name) != value {
        assert!(start.elapsed() < TEST_TIMEOUT, "{name} is {}, not {value}", metric(node, name));
    }
}

/// Guards against requests that are missing from the counters or counted under the wrong class, and against counters
/// for unknown classes.
#[test]
fn metrics_count_served_rejected_and_failed_requests() {
    let fixture = Fixture::new();
    let node = fixture.start_node();
    assert_eq!(metric(&node, "svc_success_total{tier=\"read\"}"), 0);
    assert_eq!(metric(&node, "svc_hosts_listed"), 1);
    let mut client = node.client();
    send_read(&mut client, "k", "i1");
    let call = fixture.cache.next_call();
    wait_for_metric(&node, "svc_inflight", 1);
    wait_for_metric(&node, "svc_backend_calls_total", 1);
    call.reply_miss();
    fixture.origin.next_call().reply_http("200 OK", "v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    wait_for_metric(&node, "svc_inflight", 0);
    assert_eq!(metric(&node, "svc_success_total{tier=\"read\"}"), 1);
    assert_eq!(metric(&node, "svc_backend_calls_total"), 2);
    client.send_set("k", "c=put,d=15000", "on");
    fixture.origin.next_call().close();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert_eq!(metric(&node, "svc_failure_total{tier=\"put\"}"), 1);
    client.send_get("k", "c=read,d=0");
    assert!(client.read_reply().unwrap().starts_with("-BUSY"));
    assert_eq!(metric(&node, "svc_busy_total{tier=\"read\"}"), 1);
    client.send_get("k", "c=nobody,d=1900");
    assert!(client.read_reply().unwrap().starts_with("-ERR"));
    assert!(!node.operator_call("STATS\n").contains("nobody"));
    assert!(node.operator_call("STATS now\n").starts_with("fail "));
}

/// Guards against a metric of servers that are down which leaves out those that an operator disabled.
#[test]
fn disabled_server_is_counted_as_down() {
    let fixture = Fixture::new();
    let dir = tempfile::tempdir().unwrap();
    let known = fixture.known_list();
    let options = NodeOptions {
        operator: true,
        state_dir: Some(dir.path()),
        ..NodeOptions::new(&known, fixture.discovery.addr)
    };
    let node = options.start();
    assert_eq!(node.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    wait_for_metric(&node, "svc_hosts_down", 1);
    assert_eq!(node.operator_call(format!("ENABLE {CACHE}\n")), "ok\n");
    wait_for_metric(&node, "svc_hosts_down", 0);
}

// ---- reload ----

/// Reloads the node with this configuration, and waits until the reload is counted. Returns how many reloads were
/// applied and how many rejected so far.
fn reload(node: &Node, config: &str) -> (u64, u64) {
    let counts = || (metric(node, "svc_reconfig_ok_total"), metric(node, "svc_reconfig_failed_total"));
    let (before, start) = (counts(), std::time::Instant::now());
    node.reload(config);
    loop {
        let now = counts();
        if now != before {
            return now;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "the reload is not counted");
    }
}

/// Guards against an invalid configuration that is applied in part, or that stops later valid ones.
#[test]
fn reload_of_an_invalid_file_is_rejected_and_counted() {
    let fixture = Fixture::new();
    let node = fixture.start_node();
    let good = node.config();
    let class = r#"{"Name":"new","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":1.0}"#;
    let with_class = |class: &str| good.replace("\"Classes\":[", &format!("\"Classes\":[{class},"));
    let broken = [
        String::new(),
        "{}".into(),
        "null".into(),
        good[..good.len() / 2].into(),
        good.replace("\"settings\"", "\"setings\""),
        good.replace("\"seed\"", "\"sed\""),
        good.replace("\"known\"", "\"know\""),
        good.replace("\"Classes\"", "\"Class\""),
        good.replace("\"Limits\"", "\"Limit\""),
        good.replace("\"Guarantees\"", "\"Guarantee\""),
        good.replace("\"MaxAttempts\":5", "\"MaxAttempt\":5"),
        good.replace("\"MaxAttempts\":5", "\"MaxAttempts\":0"),
        good.replace("\"MaxAttempts\":5", "\"MaxAttempts\":-1"),
        good.replace("\"MaxAttempts\":5", "\"MaxAttempts\":null"),
        good.replace("\"MaxAttempts\":5", "\"MaxAttempts\":\"many\""),
        good.replace("\"DrainGrace\":500.0,", ""),
        good.replace("\"Mode\":\"aside\",", ""),
        good.replace(",\"Worth\":9.0", ""),
        with_class(&class.replace("2000.0", "0")),
        with_class(&class.replace("2000.0", "-5.0")),
        with_class(&class.replace("2000.0", "null")),
        with_class(&class.replace("2000.0", "\"long\"")),
        with_class(&class.replace("\"HardLimit\":2000.0,", "")),
        with_class(&class.replace("\"Aim\":300.0,", "")),
        with_class(&class.replace("\"Effect\":\"safe\"", "\"Effect\":\"odd\"")),
        with_class(&class.replace(",\"Effect\":\"safe\"", "")),
        with_class(&class.replace(",\"Worth\":1.0", "")),
        with_class(&class.replace("safe", "keyed")),
        with_class(&class.replace("\"safe\"", "\"keyed\",\"DedupScope\":\"region\"")),
        with_class(&class.replace("new", "read")),
        with_class(&class.replace("new", "")),
        with_class(class).replace("{\"name\"", "{\"discovery\":\"nowhere\",\"name\""),
    ];
    for (n, config) in broken.iter().enumerate() {
        assert_eq!(reload(&node, config), (0, n as u64 + 1), "{config}");
    }
    let mut client = node.client();
    client.send_get("k", "c=new,d=1900");
    assert_eq!(client.read_reply().as_deref(), Some("-ERR unknown class"));
    send_read(&mut client, "k", "i");
    fixture.cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(reload(&node, &with_class(class)), (1, broken.len() as u64));
    client.send_get("k", "c=new,d=1900");
    fixture.cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

/// Guards against an open request whose class is dropped by a reload: it must keep its idempotency and its counters.
#[test]
fn reload_replaces_classes_and_keeps_the_rules_of_open_requests() {
    let fixture = Fixture::new();
    let node = fixture.start_node();
    let mut client = node.client();
    client.send_get("k", "c=put,d=15000"); // non-idempotent: never sent twice
    let open = fixture.cache.next_call();
    let put = r#"{"Name":"put","Aim":800.0,"HardLimit":2000.0,"Effect":"unsafe","Worth":9.0}"#;
    let scan = r#"{"Name":"scan","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":3.0}"#;
    let read = r#"{"Name":"read","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":3.0},"#;
    let config = node.config();
    assert!(config.contains(put) && config.contains(read));
    let new = config.replace(put, scan).replace(read, "");
    assert_eq!(reload(&node, &new), (1, 0));
    assert_eq!(metric(&node, "svc_success_total{tier=\"scan\"}"), 0);
    open.close();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert_eq!(metric(&node, "svc_failure_total{tier=\"put\"}"), 1, "a dropped class keeps its counts");
    client.send_get("k", "c=scan,d=15000");
    fixture.cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // Requests of a dropped class are accepted for some time after the reload, and then rejected.
    let start = std::time::Instant::now();
    loop {
        client.send_get("k", "c=read,d=15000");
        if let Some(call) = fixture.cache.try_next_call() {
            call.reply_value("v");
        }
        let answer = loop {
            if let Some(call) = fixture.cache.try_next_call() {
                call.reply_value("v");
            }
            if let Some(answer) = client.try_read_reply() {
                break answer;
            }
        };
        if answer == "-ERR unknown class" {
            break;
        }
        assert!(answer == "v" && start.elapsed() < TEST_TIMEOUT, "{answer}");
    }
    assert_eq!(metric(&node, "svc_failure_total{tier=\"put\"}"), 1);
}

/// Guards against a node that blocks on its log: nobody reads the pipe, and the lines are more than the pipe and the
/// queue hold.
#[test]
fn unread_log_loses_lines_and_no_replies() {
    let fixture = Fixture::new();
    // Each rejection logs a line, and all of them together are more than the pipe and the queue hold.
    let (known, shell) = (fixture.known_list(), "STONEFOLD_LOG=debug exec \"$0\" node");
    let options = NodeOptions::new(&known, fixture.discovery.addr);
    let node = NodeOptions { shell, keep_log_open: true, operator: true, ..options }.start();
    let mut client = node.client();
    for n in 0..4000 {
        client.send(&["CACHE.GET", "k", &format!("{n:016}"), "c=read,d=0"]);
        assert!(client.read_reply().unwrap().starts_with('-'));
    }
    client.ping();
    assert!(metric(&node, "svc_log_dropped_total") > 0);
}
