//! A machine whose files and sockets fail for a moment: a node starts all the same, and keeps what it was ordered.

#[path = "common/fakes.rs"]
mod fakes;

use std::path::Path;
use std::time::{Duration, Instant};

use fakes::*;
use stonefold_faults::{Fault, FaultPlan, library_beside};

const CACHE: &str = "s-5be2a07c";
/// Orders given in a row.
const ORDERS: usize = 40;
/// Starts in a row.
const STARTS: u64 = 8;

/// What stands round a node, and the folder that lasts.
struct Scene {
    cache: FakeServer,
    origin: FakeServer,
    discovery: FakeServer,
    folder: tempfile::TempDir,
}

impl Scene {
    fn new() -> Scene {
        let folder = tempfile::tempdir().unwrap();
        Scene {
            cache: FakeServer::cache(),
            origin: FakeServer::http(),
            discovery: FakeServer::http(),
            folder,
        }
    }

    fn node(&self, plan: &FaultPlan) -> Node {
        let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
        let known = server_list(41, &[(CACHE, self.cache.addr)], self.origin.addr);
        let start = NodeOptions { operator: true, ..NodeOptions::new(&known, self.discovery.addr) };
        let state_dir: Option<&Path> = Some(self.folder.path());
        NodeOptions { state_dir, environment: plan.environment(&library).into(), ..start }.start()
    }

    /// Whether a read goes to the cache; else it goes to the origin.
    fn cache_is_asked(&self, node: &Node) -> bool {
        let mut client = node.client();
        client.send_get("k", "c=read,d=5000");
        loop {
            if let Some(call) = self.cache.try_next_call() {
                call.reply_value("v");
                return true;
            }
            if let Some(call) = self.origin.try_next_call() {
                call.reply_http("200 OK", "v");
                return false;
            }
            std::thread::yield_now();
        }
    }
}

#[test]
fn orders_are_taken_and_kept_though_writes_and_syncs_fail_now_and_then() {
    let scene = Scene::new();
    let plan = FaultPlan::new(3).unwrap();
    let node = scene.node(&plan);
    plan.set(Fault::FileWrite, 0.05).unwrap();
    plan.set(Fault::FileSync, 0.05).unwrap();
    for n in 0..ORDERS {
        let call = if n.is_multiple_of(2) { "DISABLE" } else { "ENABLE" };
        assert_eq!(node.operator_call(format!("{call} {CACHE}\n")), "ok\n", "order {n}");
    }
    assert!(plan.injected(Fault::FileWrite).unwrap() + plan.injected(Fault::FileSync).unwrap() > 0);
    assert_eq!(node.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    drop(node);
    plan.clear().unwrap();
    assert!(!scene.cache_is_asked(&scene.node(&plan)), "the last order is in force after a kill");
}

#[test]
fn an_order_is_refused_in_bounded_time_where_nothing_can_be_written_and_changes_nothing() {
    let scene = Scene::new();
    let plan = FaultPlan::new(4).unwrap();
    let node = scene.node(&plan);
    plan.set(Fault::FileSync, 1.0).unwrap();
    assert!(node.operator_call(format!("DISABLE {CACHE}\n")).starts_with("fail "));
    assert!(scene.cache_is_asked(&node), "a refused order is not in force");
    plan.clear().unwrap();
    assert_eq!(node.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    assert!(!scene.cache_is_asked(&node));
}

#[test]
fn a_node_starts_and_obeys_what_it_was_ordered_though_reads_fail_now_and_then() {
    let scene = Scene::new();
    let plan = FaultPlan::new(5).unwrap();
    assert_eq!(scene.node(&plan).operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    plan.set(Fault::FileRead, 0.3).unwrap();
    for n in 0..STARTS {
        let node = scene.node(&plan);
        assert!(!scene.cache_is_asked(&node), "start {n}: the order is taken for none");
    }
    assert!(plan.injected(Fault::FileRead).unwrap() > 0);
}

#[test]
fn a_node_starts_though_sockets_fail_now_and_then() {
    let scene = Scene::new();
    let plan = FaultPlan::new(6).unwrap();
    plan.set(Fault::Socket, 0.4).unwrap();
    for _ in 0..STARTS {
        scene.node(&plan).client().ping();
    }
    assert!(plan.injected(Fault::Socket).unwrap() > 0);
}

#[test]
fn serving_does_not_wait_for_a_configuration_that_cannot_be_read() {
    const SLOWEST: Duration = Duration::from_millis(400);
    let scene = Scene::new();
    let plan = FaultPlan::new(8).unwrap();
    let node = scene.node(&plan);
    let mut client = node.client();
    plan.set(Fault::FileRead, 1.0).unwrap();
    node.reload(&node.config());
    let mut slowest = Duration::ZERO;
    while node.metric("svc_reconfig_failed_total") < 1.0 {
        let asked = Instant::now();
        client.ping();
        slowest = slowest.max(asked.elapsed());
    }
    assert!(slowest < SLOWEST, "a client waited for {slowest:?}");
    plan.set(Fault::FileRead, 0.5).unwrap();
    node.reload(&node.config());
    let started = Instant::now();
    while node.metric("svc_reconfig_ok_total") < 1.0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "not taken though reads fail now and then alone");
        client.ping();
    }
}
