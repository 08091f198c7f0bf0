//! Membership among several processes of the program, with faults on the links between them: judged by what the
//! processes themselves say, with bounded waits.

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

/// Each node probes one other this often; all other times follow from it.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Processes of a usual case, and of a large one.
const FEW: usize = 5;
const MANY: usize = 12;
/// The loss of a rough link, and the most delay in its direction: as long against a ping's timeout as the design
/// note's 200 ms.
const LOSS: f64 = 0.3;
const DELAY: Duration = Duration::from_millis(20);

/// Several nodes, and the links between them.
struct Fleet {
    /// Carries the links.
    _runtime: Runtime,
    links: DatagramLinks,
    listen: Vec<SocketAddr>,
    nodes: Vec<Option<Node>>,
    dir: tempfile::TempDir,
}

struct Node {
    child: Child,
    operators: SocketAddr,
    /// All that it has logged.
    log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn name(n: usize) -> String {
    format!("n{n}")
}

/// A member as a node lists it.
#[derive(Clone, Debug, PartialEq)]
struct Listed {
    name: String,
    state: String,
    incarnation: u64,
    reach: String,
}

impl Fleet {
    /// So many nodes that know each other.
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
        fleet.wait("all know each other", |fleet| fleet.all_hold(|_, _| "alive"));
        fleet
    }

    fn start_node(&self, n: usize, cluster: &str) -> Node {
        let path = |name: &str| self.dir.path().join(name).to_str().unwrap().to_owned();
        let (listen, advertise) = (self.listen[n], self.links.front(n).unwrap());
        let (seed, key, interval) = (self.links.front(0).unwrap(), path("key"), PROBE_INTERVAL.as_millis());
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
            name = name(n)
        );
        let file = path(&format!("{}.toml", name(n)));
        std::fs::write(&file, config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold"));
        command.env_clear().args(["node", "--config", &file]).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut reader = BufReader::new(child.stderr.take().unwrap());
        let log = Arc::new(Mutex::new(Vec::new()));
        let operators = loop {
            let mut line = String::new();
            assert!(
                reader.read_line(&mut line).unwrap() > 0,
                "ended at its start: {:?}",
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
        Node { child, operators, log }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes.iter().enumerate().filter_map(|(n, node)| Some((n, node.as_ref()?)))
    }

    fn node(&self, n: usize) -> &Node {
        self.nodes[n].as_ref().expect("it runs")
    }

    /// Whether each running node lists each other place in the state that it should have.
    fn all_hold(&self, expected: impl Fn(usize, usize) -> &'static str) -> bool {
        self.running().all(|(by, node)| {
            let listed = node.members();
            (0..self.listen.len()).filter(|of| *of != by).all(|of| {
                let member = listed.iter().find(|member| member.name == name(of));
                let wanted = expected(by, of);
                member.map_or("", |member| member.state.as_str()) == wanted
            })
        })
    }

    /// Waits until something holds.
    fn wait(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > 3 * TEST_TIMEOUT {
                self.running().for_each(|(n, node)| println!("{}: {:#?}", name(n), node.members()));
                panic!("not in time: {what}");
            }
            thread::sleep(Duration::from_millis(50)); // between two looks, not in place of an event
        }
    }

    /// Events of one kind in all nodes' logs, by node.
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

    /// Lets some rounds of probes pass.
    fn rounds(&self, rounds: u32) {
        thread::sleep(PROBE_INTERVAL * rounds);
    }
}

impl Node {
    fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.operators).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(line.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// The members as it lists them, itself first.
    fn members(&self) -> Vec<Listed> {
        let answer = self.call("MEMBERS\n");
        let lines = answer.strip_suffix("eof\n").unwrap_or_else(|| panic!("{answer}")).lines();
        let value = |words: &[&str], key: &str| {
            words.iter().find_map(|word| word.strip_prefix(key)).expect("a field").to_owned()
        };
        let listed = lines.map(|line| {
            let words: Vec<&str> = line.split(' ').collect();
            Listed {
                name: words[0].into(),
                state: words[1].into(),
                incarnation: value(&words, "incarnation=").parse().unwrap(),
                reach: value(&words, "reach="),
            }
        });
        listed.collect()
    }

    fn member(&self, of: usize) -> Option<Listed> {
        self.members().into_iter().find(|member| member.name == name(of))
    }

    fn logged(&self, event: &str) -> Vec<String> {
        let named = format!(r#"event="{event}""#);
        self.log.lock().unwrap().iter().filter(|line| line.contains(&named)).cloned().collect()
    }

    fn figure(&self, row: &str) -> u64 {
        let text = self.call("STATS\n");
        let value = text.lines().find_map(|line| line.strip_prefix(row)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("no {row} in {text}")).parse().unwrap()
    }
}

#[test]
fn a_killed_node_is_failed_everywhere_and_its_next_process_is_taken_in() {
    let mut fleet = Fleet::start(FEW);
    let before = fleet.node(0).member(2).unwrap();
    fleet.nodes[2] = None;
    fleet.wait("it is failed", |fleet| fleet.all_hold(|_, of| if of == 2 { "failed" } else { "alive" }));
    let node = fleet.start_node(2, "test");
    fleet.nodes[2] = Some(node);
    fleet.wait("it is back", |fleet| fleet.all_hold(|_, _| "alive"));
    assert!(fleet.node(0).member(2).unwrap().incarnation > before.incarnation);
    assert!(fleet.logged("member_failed").iter().all(|(_, line)| line.contains(r#"member="n2""#)));
}

#[test]
fn a_node_that_is_told_to_end_has_left_and_is_never_failed() {
    let mut fleet = Fleet::start(FEW);
    fleet.signal(3, "-TERM");
    fleet.node(3);
    fleet.nodes[3].as_mut().unwrap().child.wait().unwrap();
    fleet.nodes[3] = None;
    fleet.wait("it has left", |fleet| fleet.all_hold(|_, of| if of == 3 { "left" } else { "alive" }));
    fleet.rounds(20);
    assert!(fleet.logged("member_failed").is_empty());
}

#[test]
fn a_stopped_node_blames_nobody_when_it_is_continued() {
    let fleet = Fleet::start(FEW);
    fleet.signal(1, "-STOP");
    fleet.wait("it is failed at the others", |fleet| {
        fleet
            .running()
            .filter(|(n, _)| *n != 1)
            .all(|(_, node)| node.member(1).is_some_and(|member| member.state == "failed"))
    });
    fleet.signal(1, "-CONT");
    fleet.wait("it is back", |fleet| fleet.all_hold(|_, _| "alive"));
    assert!(fleet.node(1).logged("member_failed").is_empty());
    assert!(!fleet.node(1).logged("process_paused").is_empty());
    fleet.wait("it has learned of it", |fleet| !fleet.node(1).logged("declared_failed").is_empty());
}

#[test]
fn a_partition_splits_both_views_and_a_heal_merges_them_with_nobody_failed_anew() {
    let fleet = Fleet::start(FEW);
    let side = |n: usize| n < 2;
    fleet.links.set_all(|from, to| if side(from) == side(to) { LinkRule::OPEN } else { LinkRule::CUT });
    fleet.wait("both sides know what they lost", |fleet| {
        fleet.all_hold(|by, of| if side(by) == side(of) { "alive" } else { "failed" })
    });
    let failed = fleet.logged("member_failed").len();
    fleet.links.set_all(|_, _| LinkRule::OPEN);
    fleet.wait("all are back", |fleet| fleet.all_hold(|_, _| "alive"));
    fleet.rounds(20);
    assert_eq!(fleet.logged("member_failed").len(), failed, "failed anew");
}

#[test]
fn two_nodes_that_do_not_reach_each_other_are_alive_through_others() {
    let fleet = Fleet::start(FEW);
    fleet.links.set(0, 1, LinkRule::CUT);
    fleet.links.set(1, 0, LinkRule::CUT);
    let reach = |fleet: &Fleet, by: usize, of: usize| fleet.node(by).member(of).map(|member| member.reach);
    fleet.wait("both say that they do not reach the other", |fleet| {
        [(0, 1), (1, 0)].iter().all(|(by, of)| reach(fleet, *by, *of).as_deref() == Some("others-only"))
    });
    fleet.rounds(20);
    assert!(fleet.logged("member_failed").is_empty());
    fleet.links.set_all(|_, _| LinkRule::OPEN);
    fleet.wait("both say that they do", |fleet| {
        [(0, 1), (1, 0)].iter().all(|(by, of)| reach(fleet, *by, *of).as_deref() == Some("direct"))
    });
}

#[test]
fn a_node_that_nobody_hears_is_failed_everywhere_blames_nobody_and_learns_of_it() {
    let fleet = Fleet::start(FEW);
    fleet.links.set_all(|from, _| if from == 4 { LinkRule::CUT } else { LinkRule::OPEN });
    fleet.wait("it is failed at the others", |fleet| {
        fleet
            .running()
            .filter(|(n, _)| *n != 4)
            .all(|(_, node)| node.member(4).is_some_and(|member| member.state == "failed"))
    });
    fleet.wait("it has learned of it", |fleet| !fleet.node(4).logged("declared_failed").is_empty());
    assert!(fleet.node(4).logged("member_failed").is_empty());
    fleet.links.set_all(|_, _| LinkRule::OPEN);
    fleet.wait("it is back", |fleet| fleet.all_hold(|_, _| "alive"));
}

#[test]
fn on_rough_links_among_twelve_nobody_is_failed_and_a_node_that_dies_is() {
    let mut fleet = Fleet::start(MANY);
    let delay = (Duration::ZERO, DELAY);
    fleet.links.set_all(|_, _| LinkRule { loss: LOSS, doubled: 0.05, delay, cut: false });
    fleet.rounds(50);
    assert_eq!(fleet.logged("member_failed"), []);
    fleet.nodes[7] = None;
    fleet.wait("it is failed", |fleet| {
        fleet.running().all(|(_, node)| node.member(7).is_some_and(|member| member.state == "failed"))
    });
    assert!(fleet.logged("member_failed").iter().all(|(_, line)| line.contains(r#"member="n7""#)));
}

#[test]
fn strangers_are_refused_by_their_reason_and_change_nothing() {
    let mut fleet = Fleet::start(3);
    // A node of another cluster that has the key.
    fleet.nodes[2] = None;
    fleet.wait("it is failed", |fleet| fleet.all_hold(|_, of| if of == 2 { "failed" } else { "alive" }));
    let stranger = fleet.start_node(2, "another");
    fleet.wait("it is refused", |fleet| {
        fleet.node(0).figure(r#"svc_membership_refused_total{reason="cluster"}"#) > 0
    });
    assert_eq!(stranger.members().len(), 1, "it knows itself alone");
    // Noise, and a datagram that is too long.
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&[1; 40], fleet.listen[0]).unwrap();
    socket.send_to(&[1; 1_500], fleet.listen[0]).unwrap();
    socket.send_to(&[7], fleet.listen[0]).unwrap();
    for reason in ["long", "version"] {
        let row = format!(r#"svc_membership_refused_total{{reason="{reason}"}}"#);
        fleet.wait(reason, |fleet| fleet.node(0).figure(&row) > 0);
    }
    assert!(fleet.all_hold(|_, of| if of == 2 { "failed" } else { "alive" }));
}

#[test]
fn without_its_section_nothing_of_it_is_there() {
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
