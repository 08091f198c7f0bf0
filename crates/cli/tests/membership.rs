//! Membership among several processes of the program, with faults on the links between them. The tests check what the
//! processes themselves report, and wait for it with a limit.

#[path = "common/addresses.rs"]
mod addresses;
#[path = "common/fakes.rs"]
mod fakes;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use addresses::free_address;
use fakes::TEST_TIMEOUT;
use stonefold_emulator::{DatagramLinks, LinkRule};
use tokio::runtime::Runtime;

/// How often each node probes another one. All other times derive from it.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// The number of nodes in most tests.
const SMALL_FLEET: usize = 5;
/// The number of nodes in the test of bad links.
const LARGE_FLEET: usize = 12;
/// The part of the datagrams that a bad link loses.
const LOSS: f64 = 0.3;
/// The maximum delay of a bad link in each direction. It is in the same ratio to the timeout of a ping as the 200 ms of
/// the design note.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// Several nodes, and the links between them.
struct Fleet {
    /// Runs the links.
    _runtime: Runtime,
    links: DatagramLinks,
    listen: Vec<SocketAddr>,
    nodes: Vec<Option<Node>>,
    dir: tempfile::TempDir,
}

struct Node {
    child: Child,
    operator_addr: SocketAddr,
    /// All lines that it has logged.
    log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn node_name(n: usize) -> String {
    format!("n{n}")
}

/// A member in the list that a node reports.
#[derive(Clone, Debug, PartialEq)]
struct ListedMember {
    name: String,
    state: String,
    incarnation: u64,
    reach: String,
}

impl Fleet {
    /// Starts this many nodes, and waits until they know each other.
    fn start(count: usize) -> Fleet {
        let runtime = Runtime::new().unwrap();
        let listen: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let links = runtime.block_on(DatagramLinks::start(listen.clone(), 1)).unwrap();
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("key"), format!("{}\n", "5a".repeat(32))).unwrap();
        let key = dir.path().join("key");
        assert!(Command::new("chmod").arg("600").arg(key).status().unwrap().success());
        let mut fleet = Fleet { _runtime: runtime, links, listen, nodes: Vec::new(), dir };
        for n in 0..count {
            let node = fleet.start_node(n, "test");
            fleet.nodes.push(Some(node));
        }
        fleet.wait("all nodes know each other", |fleet| fleet.all_list(|_, _| "alive"));
        fleet
    }

    fn start_node(&self, n: usize, cluster: &str) -> Node {
        let path = |name: &str| self.dir.path().join(name).to_str().unwrap().to_owned();
        let (listen, advertise) = (self.listen[n], self.links.proxy_addr(n).unwrap());
        let (seed, key, interval) =
            (self.links.proxy_addr(0).unwrap(), path("key"), PROBE_INTERVAL.as_millis());
        let config = format!(
            r#"
[node]
name = "{name}"
listen = "127.0.0.1:0"
discovery = "127.0.0.1:9"
operator = "127.0.0.1:0"
[membership]
listen = "{listen}"
advertise = "{advertise}"
seeds = ["{seed}"]
cluster = "{cluster}"
key_file = "{key}"
probe_interval = "{interval}ms"
[[class]]
name = "read"
aim = "300ms"
deadline = "2s"
effect = "safe"
"#,
            name = node_name(n)
        );
        let file = path(&format!("{}.toml", node_name(n)));
        std::fs::write(&file, config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold"));
        command.env_clear().args(["node", "--config", &file]).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut reader = BufReader::new(child.stderr.take().unwrap());
        let log = Arc::new(Mutex::new(Vec::new()));
        let operator_addr = loop {
            let mut line = String::new();
            assert!(
                reader.read_line(&mut line).unwrap() > 0,
                "the process ended during its start: {:?}",
                log.lock().unwrap()
            );
            let at = line.split_once(r#"event="operator_listening" at="#).map(|(_, at)| at.trim().to_owned());
            log.lock().unwrap().push(line);
            if let Some(at) = at {
                break at.parse().unwrap();
            }
        };
        let lines = log.clone();
        thread::spawn(move || {
            reader.lines().map_while(Result::ok).for_each(|line| lines.lock().unwrap().push(line));
        });
        Node { child, operator_addr, log }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter_map(|(n, node)| Some((n, node.as_ref()?)))
    }

    fn node(&self, n: usize) -> &Node {
        self.nodes[n].as_ref().expect("a running node")
    }

    /// Whether each running node lists each other node, running or not, in its expected state: `expected(by, of)`.
    fn all_list(&self, expected: impl Fn(usize, usize) -> &'static str) -> bool {
        self.running().all(|(by, node)| {
            let listed = node.members();
            (0..self.listen.len()).filter(|of| *of != by).all(|of| {
                let member = listed.iter().find(|member| member.name == node_name(of));
                let expected_state = expected(by, of);
                member.map_or("", |member| member.state.as_str()) == expected_state
            })
        })
    }

    /// Waits until a condition holds.
    fn wait(&self, condition: &str, holds: impl Fn(&Fleet) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > 3 * TEST_TIMEOUT {
                self.running().for_each(|(n, node)| println!("{}: {:#?}", node_name(n), node.members()));
                panic!("not in time: {condition}");
            }
            thread::sleep(Duration::from_millis(50)); // the interval between two checks
        }
    }

    /// The lines of an event in the logs of all running nodes, with the number of the node.
    fn logged(&self, event: &str) -> Vec<(usize, String)> {
        let of = |(n, node): (usize, &Node)| {
            node.logged(event).into_iter().map(move |line| (n, line)).collect::<Vec<_>>()
        };
        self.running().flat_map(of).collect()
    }

    fn signal(&self, n: usize, signal: &str) {
        let id = self.node(n).child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits for this many probe intervals.
    fn wait_probe_rounds(&self, rounds: u32) {
        thread::sleep(PROBE_INTERVAL * rounds);
    }
}

impl Node {
    fn operator_call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.operator_addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// The members that the node reports, itself first.
    fn members(&self) -> Vec<ListedMember> {
        let answer = self.operator_call("MEMBERS\n");
        let lines = answer.strip_suffix("eof\n").unwrap_or_else(|| panic!("{answer}")).lines();
        let value = |words: &[&str], key: &str| {
            words.iter().find_map(|word| word.strip_prefix(key)).expect("a field").to_owned()
        };
        let members = lines.map(|line| {
            let words: Vec<&str> = line.split(' ').collect();
            ListedMember {
                name: words[0].into(),
                state: words[1].into(),
                incarnation: value(&words, "incarnation=").parse().unwrap(),
                reach: value(&words, "reach="),
            }
        });
        members.collect()
    }

    fn member(&self, of: usize) -> Option<ListedMember> {
        self.members().into_iter().find(|member| member.name == node_name(of))
    }

    fn logged(&self, event: &str) -> Vec<String> {
        let named = format!(r#"event="{event}""#);
        self.log.lock().unwrap().iter().filter(|line| line.contains(&named)).cloned().collect()
    }

    fn metric(&self, row: &str) -> u64 {
        let text = self.operator_call("STATS\n");
        let value = text.lines().find_map(|line| line.strip_prefix(row)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("no {row} in {text}")).parse().unwrap()
    }
}

/// Guards against a dead member that stays alive in the list of some node, and against a restarted one that is taken
/// for the dead one.
#[test]
fn killed_node_is_failed_everywhere_and_rejoins_after_a_restart() {
    let mut fleet = Fleet::start(SMALL_FLEET);
    let before = fleet.node(0).member(2).unwrap();
    fleet.nodes[2] = None;
    fleet
        .wait("the node is failed", |fleet| fleet.all_list(|_, of| if of == 2 { "failed" } else { "alive" }));
    let node = fleet.start_node(2, "test");
    fleet.nodes[2] = Some(node);
    fleet.wait("the node is back", |fleet| fleet.all_list(|_, _| "alive"));
    assert!(fleet.node(0).member(2).unwrap().incarnation > before.incarnation);
    assert!(fleet.logged("member_failed").iter().all(|(_, line)| line.contains(r#"member="n2""#)));
}

/// Guards against a graceful shutdown that is reported as a failure.
#[test]
fn terminated_node_is_listed_as_left_and_never_as_failed() {
    let mut fleet = Fleet::start(SMALL_FLEET);
    fleet.signal(3, "-TERM");
    fleet.node(3);
    fleet.nodes[3].as_mut().unwrap().child.wait().unwrap();
    fleet.nodes[3] = None;
    fleet.wait("the node has left", |fleet| fleet.all_list(|_, of| if of == 3 { "left" } else { "alive" }));
    fleet.wait_probe_rounds(20);
    assert!(fleet.logged("member_failed").is_empty());
}

/// Guards against a paused process that takes its own pause for the silence of all other members.
#[test]
fn paused_node_declares_no_other_failed_when_it_resumes() {
    let fleet = Fleet::start(SMALL_FLEET);
    fleet.signal(1, "-STOP");
    fleet.wait("the node is failed at the others", |fleet| {
        fleet
            .running()
            .filter(|(n, _)| *n != 1)
            .all(|(_, node)| node.member(1).is_some_and(|member| member.state == "failed"))
    });
    fleet.signal(1, "-CONT");
    fleet.wait("the node is back", |fleet| fleet.all_list(|_, _| "alive"));
    assert!(fleet.node(1).logged("member_failed").is_empty());
    assert!(!fleet.node(1).logged("process_paused").is_empty());
    fleet.wait("the node has learned that it was declared failed", |fleet| {
        !fleet.node(1).logged("declared_failed").is_empty()
    });
}

/// Guards against sides that stay apart after a partition, or against members that are declared failed again while the
/// views merge.
#[test]
fn partitioned_sides_fail_each_other_and_merge_when_it_heals() {
    let fleet = Fleet::start(SMALL_FLEET);
    let side = |n: usize| n < 2;
    fleet.links.set_all(|from, to| if side(from) == side(to) { LinkRule::OPEN } else { LinkRule::CUT });
    fleet.wait("both sides list the other as failed", |fleet| {
        fleet.all_list(|by, of| if side(by) == side(of) { "alive" } else { "failed" })
    });
    let failed = fleet.logged("member_failed").len();
    fleet.links.set_all(|_, _| LinkRule::OPEN);
    fleet.wait("all nodes are back", |fleet| fleet.all_list(|_, _| "alive"));
    fleet.wait_probe_rounds(20);
    assert_eq!(fleet.logged("member_failed").len(), failed, "members failed after the partition");
}

/// Guards against a member that is declared failed because one link is cut: indirect probes over other members still
/// reach it.
#[test]
fn nodes_that_reach_each_other_only_indirectly_stay_alive() {
    let fleet = Fleet::start(SMALL_FLEET);
    fleet.links.set(0, 1, LinkRule::CUT);
    fleet.links.set(1, 0, LinkRule::CUT);
    let reach = |fleet: &Fleet, by: usize, of: usize| fleet.node(by).member(of).map(|member| member.reach);
    fleet.wait("both report that they do not reach the other", |fleet| {
        [(0, 1), (1, 0)].iter().all(|(by, of)| reach(fleet, *by, *of).as_deref() == Some("others-only"))
    });
    fleet.wait_probe_rounds(20);
    assert!(fleet.logged("member_failed").is_empty());
    fleet.links.set_all(|_, _| LinkRule::OPEN);
    fleet.wait("both report that they reach the other", |fleet| {
        [(0, 1), (1, 0)].iter().all(|(by, of)| reach(fleet, *by, *of).as_deref() == Some("direct"))
    });
}

/// Guards against a node whose datagrams are lost declaring all others failed, and against one that never learns that
/// it was declared failed.
#[test]
fn node_that_nobody_hears_is_failed_and_declares_no_other_failed() {
    let fleet = Fleet::start(SMALL_FLEET);
    fleet.links.set_all(|from, _| if from == 4 { LinkRule::CUT } else { LinkRule::OPEN });
    fleet.wait("the node is failed at the others", |fleet| {
        fleet
            .running()
            .filter(|(n, _)| *n != 4)
            .all(|(_, node)| node.member(4).is_some_and(|member| member.state == "failed"))
    });
    fleet.wait("the node has learned that it was declared failed", |fleet| {
        !fleet.node(4).logged("declared_failed").is_empty()
    });
    assert!(fleet.node(4).logged("member_failed").is_empty());
    fleet.links.set_all(|_, _| LinkRule::OPEN);
    fleet.wait("the node is back", |fleet| fleet.all_list(|_, _| "alive"));
}

/// Guards against live members that are declared failed because of 30 % loss, duplicates and delay, and against a dead
/// one that is not among twelve nodes.
#[test]
fn bad_links_fail_no_live_node_and_a_dead_one_is_detected() {
    let mut fleet = Fleet::start(LARGE_FLEET);
    let delay = (Duration::ZERO, MAX_DELAY);
    fleet.links.set_all(|_, _| LinkRule { loss: LOSS, duplicated: 0.05, delay, cut: false });
    fleet.wait_probe_rounds(50);
    assert_eq!(fleet.logged("member_failed"), []);
    fleet.nodes[7] = None;
    fleet.wait("the node is failed", |fleet| {
        fleet.running().all(|(_, node)| node.member(7).is_some_and(|member| member.state == "failed"))
    });
    assert!(fleet.logged("member_failed").iter().all(|(_, line)| line.contains(r#"member="n7""#)));
}

/// Guards against a node of another cluster, or a malformed datagram, that changes the list of members.
#[test]
fn foreign_nodes_and_malformed_datagrams_are_rejected_and_counted_by_reason() {
    let mut fleet = Fleet::start(3);
    // A node of another cluster that has the same key.
    fleet.nodes[2] = None;
    fleet
        .wait("the node is failed", |fleet| fleet.all_list(|_, of| if of == 2 { "failed" } else { "alive" }));
    let foreign_node = fleet.start_node(2, "another");
    fleet.wait("the foreign node is rejected", |fleet| {
        fleet.node(0).metric(r#"svc_membership_refused_total{reason="cluster"}"#) > 0
    });
    assert_eq!(foreign_node.members().len(), 1, "the foreign node knows only itself");
    // Malformed datagrams, one of which is too long.
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&[1; 40], fleet.listen[0]).unwrap();
    socket.send_to(&[1; 1_500], fleet.listen[0]).unwrap();
    socket.send_to(&[7], fleet.listen[0]).unwrap();
    for reason in ["long", "version"] {
        let row = format!(r#"svc_membership_refused_total{{reason="{reason}"}}"#);
        fleet.wait(reason, |fleet| fleet.node(0).metric(&row) > 0);
    }
    assert!(fleet.all_list(|_, of| if of == 2 { "failed" } else { "alive" }));
}

/// Guards against membership that runs, or reports metrics, on a node whose settings have no such section.
#[test]
fn membership_is_off_without_its_section_in_the_settings() {
    let (cache, origin) = (fakes::FakeServer::cache(), fakes::FakeServer::http());
    let known = fakes::server_list(41, &[("s-5be2a07c", cache.addr)], origin.addr);
    let node = fakes::NodeOptions {
        operator: true,
        ..fakes::NodeOptions::new(&known, fakes::FakeServer::http().addr)
    }
    .start();
    assert_eq!(node.operator_call("MEMBERS\n"), "fail membership is off\n");
    assert!(!node.operator_call("STATS\n").contains("membership"));
}
