//! Files and sockets of the machine fail for a moment: a node starts all the same, and keeps the orders of its
//! operators.

#[path = "common/fakes.rs"]
mod fakes;

use std::path::Path;
use std::time::{Duration, Instant};

use fakes::*;
use stonefold_faults::{Fault, FaultPlan, library_beside};

const CACHE: &str = "s-5be2a07c";
/// The number of orders given in a row.
const ORDERS: usize = 40;
/// The number of starts in a row.
const STARTS: u64 = 8;

/// The servers around a node, and its state state_folder, which outlasts the process.
struct Fixture {
    cache: FakeServer,
    origin: FakeServer,
    discovery: FakeServer,
    state_folder: tempfile::TempDir,
}

impl Fixture {
    fn new() -> Fixture {
        let state_folder = tempfile::tempdir().unwrap();
        Fixture {
            cache: FakeServer::cache(),
            origin: FakeServer::http(),
            discovery: FakeServer::http(),
            state_folder,
        }
    }

    fn start_node(&self, plan: &FaultPlan) -> Node {
        let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
        let known = server_list(41, &[(CACHE, self.cache.addr)], self.origin.addr);
        let options = NodeOptions { operator: true, ..NodeOptions::new(&known, self.discovery.addr) };
        let state_dir: Option<&Path> = Some(self.state_folder.path());
        NodeOptions { state_dir, environment: plan.environment(&library).into(), ..options }.start()
    }

    /// Sends a read, and returns whether it goes to the cache instead of the origin.
    fn read_goes_to_cache(&self, node: &Node) -> bool {
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

/// Guards against an order that is confirmed but not on disk, or refused, because a single write or sync failed.
#[test]
fn orders_survive_a_kill_though_file_writes_and_syncs_fail_sometimes() {
    let fixture = Fixture::new();
    let plan = FaultPlan::new(3).unwrap();
    let node = fixture.start_node(&plan);
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
    assert!(
        !fixture.read_goes_to_cache(&fixture.start_node(&plan)),
        "the last order is in force after a kill"
    );
}

/// Guards against an operator who waits forever, and against an order in force that a restart would lose, when the
/// state file cannot be written.
#[test]
fn order_is_rejected_without_effect_while_syncs_always_fail() {
    let fixture = Fixture::new();
    let plan = FaultPlan::new(4).unwrap();
    let node = fixture.start_node(&plan);
    plan.set(Fault::FileSync, 1.0).unwrap();
    assert!(node.operator_call(format!("DISABLE {CACHE}\n")).starts_with("fail "));
    assert!(fixture.read_goes_to_cache(&node), "a rejected order is not in force");
    plan.clear().unwrap();
    assert_eq!(node.operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    assert!(!fixture.read_goes_to_cache(&node));
}

/// Guards against a node that does not start, or starts without its orders, because a read of the state file failed
/// once.
#[test]
fn node_starts_with_its_orders_though_file_reads_fail_sometimes() {
    let fixture = Fixture::new();
    let plan = FaultPlan::new(5).unwrap();
    assert_eq!(fixture.start_node(&plan).operator_call(format!("DISABLE {CACHE}\n")), "ok\n");
    plan.set(Fault::FileRead, 0.3).unwrap();
    for n in 0..STARTS {
        let node = fixture.start_node(&plan);
        assert!(!fixture.read_goes_to_cache(&node), "start {n}: the order is lost");
    }
    assert!(plan.injected(Fault::FileRead).unwrap() > 0);
}

/// Guards against a start that fails because a socket could not be made for a moment.
#[test]
fn node_starts_though_socket_calls_fail_sometimes() {
    let fixture = Fixture::new();
    let plan = FaultPlan::new(6).unwrap();
    plan.set(Fault::Socket, 0.4).unwrap();
    for _ in 0..STARTS {
        fixture.start_node(&plan).client().ping();
    }
    assert!(plan.injected(Fault::Socket).unwrap() > 0);
}

/// Guards against clients that wait while a reload retries to read its file.
#[test]
fn node_serves_while_its_configuration_cannot_be_read() {
    const MAX_RESPONSE_TIME: Duration = Duration::from_millis(400);
    let fixture = Fixture::new();
    let plan = FaultPlan::new(8).unwrap();
    let node = fixture.start_node(&plan);
    let mut client = node.client();
    plan.set(Fault::FileRead, 1.0).unwrap();
    node.reload(&node.config());
    let mut slowest = Duration::ZERO;
    while node.metric("svc_reconfig_failed_total") < 1.0 {
        let sent = Instant::now();
        client.ping();
        slowest = slowest.max(sent.elapsed());
    }
    assert!(slowest < MAX_RESPONSE_TIME, "a client waited for {slowest:?}");
    plan.set(Fault::FileRead, 0.5).unwrap();
    node.reload(&node.config());
    let started = Instant::now();
    while node.metric("svc_reconfig_ok_total") < 1.0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "not reloaded though reads fail only sometimes");
        client.ping();
    }
}
