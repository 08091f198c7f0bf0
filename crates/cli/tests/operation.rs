//! What operators do to a running node, from outside.

#[path = "common/fakes.rs"]
mod fakes;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

use fakes::*;

const CACHE: &str = "s-5be2a07c";

/// What stands round a node: one cache, an origin, a silent discovery.
struct Scene {
    cache: FakeServer,
    origin: FakeServer,
    discovery: FakeServer,
}

impl Scene {
    fn new() -> Self {
        Scene { cache: FakeServer::cache(), origin: FakeServer::http(), discovery: FakeServer::http() }
    }
    fn known(&self) -> String {
        server_list(41, &[(CACHE, self.cache.addr)], self.origin.addr)
    }
    fn node(&self) -> Node {
        NodeOptions { operator: true, ..NodeOptions::new(&self.known(), self.discovery.addr) }.start()
    }
}

// ---- calls ----

#[test]
fn ready_is_a_yes_and_what_is_no_call_is_a_no_with_its_reason() {
    let scene = Scene::new();
    let node = scene.node();
    node.client().ping(); // it takes connections
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    assert_eq!(node.operator_call("READY\r\n"), "ok\n");
    let long = "R".repeat(300);
    for bad in
        [&b""[..], b"\n", b"READY", b"READY now\n", b"ready\n", b"FLY s-1\n", b"\xff\n", long.as_bytes()]
    {
        let mut caller = node.operator_connection();
        caller.write_all(bad).unwrap();
        let _ = caller.shutdown(Shutdown::Write); // the node may have answered and closed
        let mut answer = String::new();
        caller.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("fail ") && answer.len() > 6, "{bad:?}: {answer:?}");
        assert_eq!(answer.lines().count(), 1);
    }
}

#[test]
fn callers_who_say_nothing_keep_nobody_out() {
    let scene = Scene::new();
    let node = scene.node();
    let crowd: Vec<TcpStream> = (0..50)
        .map(|n| {
            let mut caller = node.operator_connection();
            caller.write_all(if n % 2 == 0 { b"" } else { b"REA" }).unwrap();
            caller
        })
        .collect();
    node.client().ping();
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    // The first to come has made room.
    assert!(matches!((&crowd[0]).read(&mut [0]), Ok(0) | Err(_)));
}

#[test]
fn ready_is_a_no_once_the_node_was_told_to_stop() {
    let scene = Scene::new();
    let mut node = scene.node();
    let mut busy = node.client();
    busy.send_get("k", "c=read,d=15000");
    let call = scene.cache.next_call();
    assert_eq!(node.operator_call("READY\n"), "ok\n");
    node.terminate();
    while node.operator_call("READY\n") == "ok\n" {}
    call.reply_value("v");
    assert_eq!(busy.read_reply().as_deref(), Some("v"));
    assert!(node.wait_for_exit());
}

// ---- an upgrade ----

#[test]
fn two_processes_on_one_listener_lose_no_request() {
    let scene = Scene::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let known = scene.known();
    let start = || NodeOptions {
        operator: true,
        passed_socket: Some(&listener),
        ..NodeOptions::new(&known, scene.discovery.addr)
    };
    let mut old = start().start();
    let mut taken = old.client();
    taken.send_get("k", "c=read,d=15000");
    let call = scene.cache.next_call();
    let new = start().start();
    while new.operator_call("READY\n") != "ok\n" {}
    old.terminate();
    while old.operator_call("READY\n") == "ok\n" {}
    // The listener lives on, and the new process has it to itself.
    for n in 0..8 {
        let mut client = new.client();
        client.send(&["CACHE.GET", "k2", &format!("later-{n}"), "c=read,d=15000"]);
        scene.cache.next_call().reply_value("from the new one");
        assert_eq!(client.read_reply().as_deref(), Some("from the new one"));
    }
    call.reply_value("from the old one");
    assert_eq!(taken.read_reply().as_deref(), Some("from the old one"));
    assert_eq!(taken.read_reply(), None, "closed behind its answer");
    assert!(old.wait_for_exit());
    new.client().ping();
}

#[test]
fn a_descriptor_that_is_no_listener_is_told_in_a_line() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let config = format!(r#"{{"seed":"1","settings":{SETTINGS}}}"#);
    std::fs::write(file.path(), config).unwrap();
    for (named, shell) in [
        ("4", "exec \"$0\" node"),
        ("0", "exec \"$0\" node </dev/null"),
        ("four", "exec \"$0\" node"),
        ("-1", "exec \"$0\" node"),
    ] {
        let output = stonefold_through_shell(shell)
            .env("EDGE_LISTEN", "127.0.0.1:0")
            .env("EDGE_DISCOVERY", "127.0.0.1:1")
            .env("EDGE_CONFIG", file.path())
            .env("EDGE_PASSED_SOCKET", named)
            .output()
            .unwrap();
        let told = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{named}");
        assert_eq!(told.lines().count(), 1, "{told}");
    }
}

// ---- servers out by hand ----

/// A read under this id.
fn send(client: &mut Client, key: &str, id: &str) {
    client.send(&["CACHE.GET", key, id, "c=read,d=15000"]);
}

#[test]
fn a_server_out_by_hand_gets_nothing_in_either_process_and_in_none_to_come() {
    let (spare, scene) = (FakeServer::cache(), Scene::new());
    let known = server_list(41, &[(CACHE, scene.cache.addr), ("s-spare", spare.addr)], scene.origin.addr);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let dir = tempfile::tempdir().unwrap();
    let start = || {
        let passed_socket = Some(&listener);
        NodeOptions {
            operator: true,
            passed_socket,
            state_dir: Some(dir.path()),
            ..NodeOptions::new(&known, scene.discovery.addr)
        }
    };
    let old = start().start();
    assert!(old.operator_call("DISABLE s-nobody\n").starts_with("fail "));
    assert!(old.operator_call("ENABLE s-nobody\n").starts_with("fail "));
    assert!(old.operator_call("DISABLE\n").starts_with("fail "));
    assert_eq!(old.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    assert_eq!(old.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    let mut client = old.client();
    for n in 0..40 {
        send(&mut client, &format!("k{n}"), "i");
        spare.next_call().reply_value("v");
        assert_eq!(client.read_reply().as_deref(), Some("v"));
    }
    assert!(scene.cache.try_next_call().is_none());
    // The successor knows of it from its start, and one call to it is enough for both.
    let new = start().start();
    assert_eq!(new.operator_call(format!("ENABLE {CACHE}\n")), "ok\n");
    assert_eq!(new.operator_call("DISABLE s-spare\n"), "ok\n");
    // Once the old process has taken both orders over, it sends the one that is back what it may.
    let mut n = 0;
    let call = loop {
        n += 1;
        send(&mut client, &format!("l{n}"), "i");
        let call = loop {
            if let Some(call) = scene.cache.try_next_call() {
                break Some(call);
            }
            if let Some(call) = spare.try_next_call() {
                call.reply_value("v");
                break None;
            }
            if let Some(call) = scene.origin.try_next_call() {
                call.reply_http("200 OK", "v"); // it is cold, and spared most
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

#[test]
fn a_damaged_state_file_is_reported_and_the_node_serves_and_takes_orders() {
    let scene = Scene::new();
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("stonefold-orders.json"), "{\"version\":1,").unwrap();
    let known = scene.known();
    let start = || NodeOptions {
        operator: true,
        state_dir: Some(dir.path()),
        ..NodeOptions::new(&known, scene.discovery.addr)
    };
    let node = start().start();
    assert_eq!(node.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    drop(node);
    // After a restart the ban holds: the read goes to the origin.
    let node = start().start();
    let mut client = node.client();
    send(&mut client, "k", "i");
    scene.origin.next_call().reply_http("200 OK", "v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert!(scene.cache.try_next_call().is_none());
}

#[test]
fn an_order_that_cannot_be_kept_is_a_no() {
    let scene = Scene::new();
    let node = scene.node(); // which has no TMPDIR
    assert!(node.operator_call(format!("DISABLE {CACHE}\n")).starts_with("fail cannot keep the order"));
}

// ---- figures ----

/// A figure by its name and label.
fn figure(node: &Node, name: &str) -> u64 {
    let text = node.operator_call("STATS\n");
    assert!(text.ends_with("\neof\n"), "{text}");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} in {text}")).parse().unwrap()
}

/// Waits until a figure has a value.
fn await_figure(node: &Node, name: &str, value: u64) {
    let start = std::time::Instant::now();
    while figure(node, name) != value {
        assert!(start.elapsed() < TEST_TIMEOUT, "{name} is {}, not {value}", figure(node, name));
    }
}

#[test]
fn figures_count_what_happened() {
    let scene = Scene::new();
    let node = scene.node();
    assert_eq!(figure(&node, "svc_success_total{tier=\"read\"}"), 0);
    assert_eq!(figure(&node, "svc_hosts_listed"), 1);
    let mut client = node.client();
    send(&mut client, "k", "i1");
    let call = scene.cache.next_call();
    await_figure(&node, "svc_inflight", 1);
    await_figure(&node, "svc_backend_calls_total", 1);
    call.reply_miss();
    scene.origin.next_call().reply_http("200 OK", "v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    await_figure(&node, "svc_inflight", 0);
    assert_eq!(figure(&node, "svc_success_total{tier=\"read\"}"), 1);
    assert_eq!(figure(&node, "svc_backend_calls_total"), 2);
    client.send_set("k", "c=put,d=15000", "on");
    scene.origin.next_call().close();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert_eq!(figure(&node, "svc_failure_total{tier=\"put\"}"), 1);
    client.send_get("k", "c=read,d=0");
    assert!(client.read_reply().unwrap().starts_with("-BUSY"));
    assert_eq!(figure(&node, "svc_busy_total{tier=\"read\"}"), 1);
    client.send_get("k", "c=nobody,d=1900");
    assert!(client.read_reply().unwrap().starts_with("-ERR"));
    assert!(!node.operator_call("STATS\n").contains("nobody"));
    assert!(node.operator_call("STATS now\n").starts_with("fail "));
}

#[test]
fn a_server_out_by_hand_is_counted_as_down_while_it_is_listed() {
    let scene = Scene::new();
    let dir = tempfile::tempdir().unwrap();
    let known = scene.known();
    let start = NodeOptions {
        operator: true,
        state_dir: Some(dir.path()),
        ..NodeOptions::new(&known, scene.discovery.addr)
    };
    let node = start.start();
    assert_eq!(node.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    await_figure(&node, "svc_hosts_down", 1);
    assert_eq!(node.operator_call(format!("ENABLE {CACHE}\n")), "ok\n");
    await_figure(&node, "svc_hosts_down", 0);
}

// ---- a new configuration ----

/// Puts a file before the node; tells how many were taken and turned down, once it has been looked at.
fn reload(node: &Node, config: &str) -> (u64, u64) {
    let counts = || (figure(node, "svc_reconfig_ok_total"), figure(node, "svc_reconfig_failed_total"));
    let (before, start) = (counts(), std::time::Instant::now());
    node.reload(config);
    loop {
        let now = counts();
        if now != before {
            return now;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "not looked at");
    }
}

#[test]
fn a_broken_file_changes_nothing_and_is_counted() {
    let scene = Scene::new();
    let node = scene.node();
    let good = node.config();
    let class = r#"{"Name":"new","Aim":300.0,"HardLimit":2000.0,"Effect":"safe"}"#;
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
        with_class(&class.replace("2000.0", "0")),
        with_class(&class.replace("2000.0", "-5.0")),
        with_class(&class.replace("2000.0", "null")),
        with_class(&class.replace("2000.0", "\"long\"")),
        with_class(&class.replace("\"HardLimit\":2000.0,", "")),
        with_class(&class.replace("\"Aim\":300.0,", "")),
        with_class(&class.replace("\"Effect\":\"safe\"", "\"Effect\":\"odd\"")),
        with_class(&class.replace(",\"Effect\":\"safe\"", "")),
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
    send(&mut client, "k", "i");
    scene.cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    assert_eq!(reload(&node, &with_class(class)), (1, broken.len() as u64));
    client.send_get("k", "c=new,d=1900");
    scene.cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
}

#[test]
fn classes_come_and_go_and_what_is_open_keeps_its_rules_and_its_counts() {
    let scene = Scene::new();
    let node = scene.node();
    let mut client = node.client();
    client.send_get("k", "c=put,d=15000"); // unsafe: never sent twice
    let open = scene.cache.next_call();
    let put = r#"{"Name":"put","Aim":800.0,"HardLimit":2000.0,"Effect":"unsafe","Worth":9.0}"#;
    let scan = r#"{"Name":"scan","Aim":300.0,"HardLimit":2000.0,"Effect":"safe"}"#;
    let read = r#"{"Name":"read","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":3.0},"#;
    let config = node.config();
    assert!(config.contains(put) && config.contains(read));
    let new = config.replace(put, scan).replace(read, "");
    assert_eq!(reload(&node, &new), (1, 0));
    assert_eq!(figure(&node, "svc_success_total{tier=\"scan\"}"), 0);
    open.close();
    assert_eq!(client.read_reply().as_deref(), Some("-ERR failed"));
    assert_eq!(figure(&node, "svc_failure_total{tier=\"put\"}"), 1, "a dropped class keeps its counts");
    client.send_get("k", "c=scan,d=15000");
    scene.cache.next_call().reply_value("v");
    assert_eq!(client.read_reply().as_deref(), Some("v"));
    // Dropped classes are taken no longer, once their last requests have come.
    let start = std::time::Instant::now();
    loop {
        client.send_get("k", "c=read,d=15000");
        if let Some(call) = scene.cache.try_next_call() {
            call.reply_value("v");
        }
        let answer = loop {
            if let Some(call) = scene.cache.try_next_call() {
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
    assert_eq!(figure(&node, "svc_failure_total{tier=\"put\"}"), 1);
}

#[test]
fn a_log_that_nobody_reads_costs_lines_and_no_answers() {
    let scene = Scene::new();
    // Each refusal is a line: together they are more than the pipe and the queue hold.
    let (known, shell) = (scene.known(), "STONEFOLD_LOG=debug exec \"$0\" node");
    let start = NodeOptions::new(&known, scene.discovery.addr);
    let node = NodeOptions { shell, keep_log_open: true, operator: true, ..start }.start();
    let mut client = node.client();
    for n in 0..4000 {
        client.send(&["CACHE.GET", "k", &format!("{n:016}"), "c=read,d=0"]);
        assert!(client.read_reply().unwrap().starts_with('-'));
    }
    client.ping();
    assert!(figure(&node, "svc_log_dropped_total") > 0);
}
