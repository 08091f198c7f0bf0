//! Nodes that keep their state together: three processes with a store each, killed and started again.

#[path = "common/addresses.rs"]
mod addresses;
#[path = "common/fakes.rs"]
mod fakes;

use std::ffi::OsString;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use addresses::free_address;
use fakes::*;
use stonefold_faults::{Fault, FaultPlan, library_beside};

const CACHE: &str = "s-5be2a07c";

fn stonefold(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stonefold")).env_clear().args(args).output().unwrap()
}

/// What it printed, if it was done.
fn done(args: &[&str]) -> String {
    let output = stonefold(args);
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {told}");
    String::from_utf8(output.stdout).unwrap()
}

/// What it said when it failed, and its exit code.
fn failed(args: &[&str]) -> (i32, String) {
    let output = stonefold(args);
    (output.status.code().unwrap(), String::from_utf8(output.stderr).unwrap())
}

struct Site {
    dir: tempfile::TempDir,
    key: PathBuf,
    stores: Vec<SocketAddr>,
    cluster: String,
    /// More of its processes' environment.
    environment: Vec<(&'static str, OsString)>,
}

/// What a node is told beside its store.
fn own(discovery: SocketAddr) -> String {
    format!(
        r#"
[node]
listen = "127.0.0.1:0"
discovery = "{discovery}"
operator = "127.0.0.1:0"
[fleet]
zones = ["a"]
subscribe = false
[[class]]
name = "read"
aim = "300ms"
deadline = "2s"
effect = "safe"
"#
    )
}

struct Member {
    child: Child,
    clients: SocketAddr,
    operators: SocketAddr,
    /// Where it serves those who follow, if it is a relay.
    relay: Option<SocketAddr>,
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill(); // as a power cut would, but for the disk
        let _ = self.child.wait();
    }
}

impl Site {
    /// Stores for so many members, of one cluster.
    fn new(members: usize) -> Site {
        let dir = tempfile::tempdir().unwrap();
        let key = dir.path().join("key");
        let stores: Vec<SocketAddr> = (0..members).map(|_| free_address()).collect();
        let mut site = Site { dir, key, stores, cluster: String::new(), environment: Vec::new() };
        site.cluster = site.init(0, None).trim().to_owned();
        (1..members).for_each(|n| _ = site.init(n, Some(&site.cluster)));
        site
    }

    fn path(&self, name: &str) -> String {
        self.dir.path().join(name).to_str().unwrap().to_owned()
    }

    fn init(&self, n: usize, join: Option<&str>) -> String {
        let (dir, member, listen) =
            (self.path(&format!("m{n}")), (n + 1).to_string(), self.stores[n].to_string());
        let mut args = vec!["store", "init", "--dir", &dir, "--member", &member, "--listen", &listen];
        args.extend(["--key-file", self.key.to_str().unwrap()]);
        args.extend(join.iter().flat_map(|join| ["--join", join]));
        done(&args)
    }

    /// Arguments of a command, and those that say where the store is.
    fn at<'a>(&'a self, n: usize, words: &[&'a str], at: &'a mut String) -> Vec<&'a str> {
        *at = self.stores[n].to_string();
        [words, &["--at", at, "--key-file", self.key.to_str().unwrap()]].concat()
    }

    fn store(&self, n: usize, words: &[&str]) -> String {
        done(&self.at(n, words, &mut String::new()))
    }

    fn refused(&self, n: usize, words: &[&str]) -> (i32, String) {
        failed(&self.at(n, words, &mut String::new()))
    }

    /// Starts members together: those that have a quorum among them wait for each other.
    fn start_all(&self, members: &[usize], discovery: SocketAddr) -> Vec<Member> {
        std::thread::scope(|scope| {
            let starts: Vec<_> =
                members.iter().map(|&n| scope.spawn(move || self.start(n, discovery, "10s"))).collect();
            starts.into_iter().map(|start| start.join().unwrap()).collect()
        })
    }

    fn start(&self, n: usize, discovery: SocketAddr, wait: &str) -> Member {
        self.start_with(n, &own(discovery), wait)
    }

    /// Starts a member with this configuration, and its store beside it.
    fn start_with(&self, n: usize, own: &str, wait: &str) -> Member {
        let (store, dir) = (self.stores[n], self.path(&format!("m{n}")));
        let config = format!(
            "{own}\n[store]\ndir = \"{dir}\"\nlisten = \"{store}\"\nkey_file = \"{key}\"\nwait = \"{wait}\"\n",
            key = self.key.display()
        );
        self.start_file(&format!("node{n}.toml"), &config)
    }

    /// Starts a node without a store.
    fn start_alone(&self, config: &str) -> Member {
        self.start_file("alone.toml", config)
    }

    fn start_file(&self, name: &str, config: &str) -> Member {
        let file = self.path(name);
        std::fs::write(&file, config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold"));
        command.env_clear().envs(self.environment.iter().cloned());
        command.args(["node", "--config", &file]).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut clients, mut operators, mut relay) = (None, None, None);
        let mut all = String::new();
        while clients.is_none() || operators.is_none() {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "ended at its start: {all}");
            let told = |event: &str| {
                let (_, at) = line.split_once(&format!(r#"event="{event}" at="#))?;
                Some(at.split_whitespace().next().unwrap().parse().unwrap())
            };
            clients = told("listening").or(clients);
            operators = told("operator_listening").or(operators);
            relay = told("relay_listening").or(relay);
            all += &line;
        }
        Member { child, clients: clients.unwrap(), operators: operators.unwrap(), relay }
    }
}

impl Member {
    fn call(&self, call: &str) -> String {
        let output = stonefold(&["call", &self.operators.to_string(), call]);
        String::from_utf8(output.stdout).unwrap()
    }

    /// Gives an order, again where the store could not keep it in the time that an operator waits.
    fn order(&self, word: &str) {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            match self.call(&format!("{word} {CACHE}")).as_str() {
                "ok\n" => return,
                answer => assert!(Instant::now() < end, "{answer}"),
            }
        }
    }

    fn figure(&self, name: &str) -> String {
        let all = self.call("STATS");
        let line = all.lines().find(|line| line.starts_with(&format!("{name} "))).unwrap();
        line.rsplit_once(' ').unwrap().1.to_owned()
    }

    /// Waits until a figure has a value.
    fn until(&self, name: &str, value: &str) {
        let end = Instant::now() + TEST_TIMEOUT;
        while self.figure(name) != value {
            assert!(Instant::now() < end, "{name} is {}, not {value}", self.figure(name));
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn read(&self, facts: &str) -> String {
        let mut stream = TcpStream::connect(self.clients).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let words = ["CACHE.GET", "k", "9b1f03aa5c7e2d41", facts];
        let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
        stream.write_all(format!("*4\r\n{bulk}").as_bytes()).unwrap();
        let mut answer = String::new();
        let mut reader = BufReader::new(stream);
        reader.read_line(&mut answer).unwrap();
        if answer.starts_with('$') {
            answer.clear();
            reader.read_line(&mut answer).unwrap();
        }
        answer.trim_end().to_owned()
    }
}

/// A discovery that tells whoever asks for the whole list, and has no news.
fn answering(discovery: FakeServer, list: String) {
    std::thread::spawn(move || {
        let mut waiting = Vec::new();
        loop {
            match discovery.try_next_call() {
                Some(call) if call.words[1].contains("after=") => waiting.push(call),
                Some(call) => call.reply_http("200 OK", &list),
                None => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    });
}

#[test]
fn orders_bind_all_though_calls_are_short_and_interrupted() {
    const ORDERS: usize = 10;
    let plan = FaultPlan::new(9).unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).unwrap();
    let site = Site { environment: plan.environment(&library).into(), ..Site::new(3) };
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    let mut nodes = vec![site.start(0, discovery.addr, "10s")];
    nodes.extend((1..3).map(|n| site.start(n, free_address(), "0s")));
    answering(discovery, known);
    for (n, member) in [(1, "2"), (2, "3")] {
        site.store(0, &["store", "add", member, &site.stores[n].to_string()]);
    }
    for node in &nodes {
        node.until("svc_hosts_listed", "1");
    }
    for fault in [Fault::ShortRead, Fault::ShortWrite, Fault::InterruptedRead, Fault::InterruptedWrite] {
        plan.set(fault, 0.1).unwrap();
    }
    for n in 0..ORDERS {
        let (call, down) = if n.is_multiple_of(2) { ("DISABLE", "1") } else { ("ENABLE", "0") };
        nodes[n % 3].order(call);
        for node in &nodes {
            node.until("svc_hosts_down", down);
        }
    }
    assert!(plan.injected(Fault::ShortWrite).unwrap() > 0);
}

#[test]
fn what_one_node_learns_all_know_and_still_do_after_all_were_killed_at_once() {
    let site = Site::new(3);
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let other = free_address(); // it is out of use all the time
    let known = server_list(41, &[(CACHE, other), ("s-11d0c3f9", cache.addr)], origin.addr);
    let nobody = free_address();
    // One node's discovery answers; the others' do not, and never will.
    let mut nodes = vec![site.start(0, discovery.addr, "10s")];
    nodes.extend((1..3).map(|n| site.start(n, nobody, "0s")));
    answering(discovery, known);
    for (n, member) in [(1, "2"), (2, "3")] {
        site.store(0, &["store", "add", member, &site.stores[n].to_string()]);
    }
    assert_eq!(site.store(1, &["store", "members"]).matches("votes").count(), 3);

    for node in &nodes {
        node.until("svc_hosts_listed", "2");
    }
    let serving = |node: &Member| {
        std::thread::scope(|scope| {
            let read = scope.spawn(|| node.read("c=read,d=2000"));
            cache.next_call().reply_value("v");
            assert_eq!(read.join().unwrap(), "v");
        });
    };
    // An order to one binds all.
    nodes[1].order("DISABLE");
    for node in &nodes {
        node.until("svc_hosts_down", "1");
    }
    serving(&nodes[2]);

    // A configuration is in force everywhere when `push` ends, and a bad one nowhere.
    let shared = |text: &str| {
        let file = site.path("shared.toml");
        std::fs::write(&file, text).unwrap();
        file
    };
    let class = ["audio", "read"].map(|name| {
        format!("[[class]]\nname = \"{name}\"\naim = \"1s\"\ndeadline = \"2s\"\neffect = \"safe\"\n")
    });
    for (bad, why) in [("[[class]]\nname = 3", "class[0]"), ("[node]\nname = \"x\"", "each node's own")] {
        let (code, told) = site.refused(0, &["config", "push", &shared(bad)]);
        assert!(code == 2 && told.contains(why), "{code}: {told}");
    }
    assert!(nodes[0].read("c=audio,d=2000").starts_with("-ERR"));
    site.store(2, &["config", "push", &shared(&class.concat())]);
    let audio = |node: &Member| !node.read("c=audio,d=50").contains("class");
    assert!(nodes.iter().all(audio));

    // All are killed at once. Without any discovery they start with what was committed.
    nodes.clear();
    nodes = site.start_all(&[0, 1, 2], nobody);
    for node in &nodes {
        node.until("svc_hosts_listed", "2");
        node.until("svc_hosts_down", "1");
        assert!(node.call("READY").starts_with("ok") && audio(node));
    }
    serving(&nodes[1]);
    nodes[0].order("ENABLE");
    nodes[1].until("svc_hosts_down", "0");
    nodes[1].order("DISABLE");
    nodes[2].until("svc_hosts_down", "1");

    // With two of three gone no change is taken, and requests are still served.
    nodes.truncate(2);
    nodes.remove(0);
    let answer = nodes[0].call(&format!("ENABLE {CACHE}"));
    assert!(answer.starts_with("fail"), "{answer}");
    serving(&nodes[0]);
}

#[test]
fn a_node_goes_on_from_its_own_disk_without_a_quorum_and_serves() {
    let site = Site::new(2);
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let mut nodes = vec![site.start(0, discovery.addr, "10s"), site.start(1, free_address(), "0s")];
    answering(discovery, server_list(41, &[(CACHE, cache.addr)], origin.addr));
    site.store(0, &["store", "add", "2", &site.stores[1].to_string()]);
    nodes[1].until("svc_hosts_listed", "1");
    nodes.clear();
    // Its start waits for the other, and not for good.
    let alone = site.start(1, free_address(), "2s");
    alone.until("svc_hosts_listed", "1");
    let ready: f64 = alone.figure("svc_ready_seconds").parse().unwrap();
    assert!((2.0..10.0).contains(&ready), "the wait counts, and is short: {ready}");
    let read = std::thread::spawn(move || (alone.read("c=read,d=2000"), alone));
    cache.next_call().reply_value("v");
    assert_eq!(read.join().unwrap().0, "v");
}

#[test]
fn documents_have_a_history_go_back_and_move_to_another_cluster() {
    let (site, other) = (Site::new(1), Site::new(1));
    let nodes = [site.start(0, free_address(), "10s"), other.start(0, free_address(), "10s")];
    let file = |text: &str| {
        let file = site.path("text");
        std::fs::write(&file, text).unwrap();
        file
    };
    let first = site.store(0, &["store", "set", "rules", &file("one\n"), "--after", "0"]);
    let first = first.trim().strip_prefix("revision ").unwrap().to_owned();
    site.store(0, &["store", "set", "rules", &file("two\n"), "--after", &first]);
    let (code, told) = site.refused(0, &["store", "set", "rules", &file("three\n"), "--after", &first]);
    assert!(code == 1 && told.contains("the latest revision is"), "{told}");
    assert_eq!(site.store(0, &["store", "history", "rules"]).lines().count(), 2);
    site.store(0, &["store", "rollback", "rules", &first]);
    assert_eq!(site.store(0, &["store", "get", "rules"]), "one\n");
    assert_eq!(site.refused(0, &["store", "get", "none"]).0, 1);

    let snapshot = site.path("snapshot");
    site.store(0, &["store", "snapshot", &snapshot]);
    let mut bytes = std::fs::read(&snapshot).unwrap();
    let damaged = site.path("damaged");
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(&damaged, bytes).unwrap();
    let (code, told) = other.refused(0, &["store", "restore", &damaged]);
    assert!(code == 2 && told.contains("checksum"), "{told}");
    other.store(0, &["store", "restore", &snapshot]);
    assert_eq!(other.store(0, &["store", "get", "rules"]), "one\n");
    assert!(other.refused(0, &["store", "restore", &snapshot]).1.contains("holds something"));

    // Who has another key is told so, and so is whoever asks for a store that is in use or not there.
    let mut at = String::new();
    let mut args = other.at(0, &["store", "status"], &mut at);
    *args.last_mut().unwrap() = site.key.to_str().unwrap();
    let (code, told) = failed(&args);
    assert!(code == 1 && told.contains("127.0.0.1"), "{told}");
    let dir = site.path("m0");
    assert_eq!(failed(&["store", "verify", "--dir", &dir]).0, 1);
    drop(nodes);
    assert!(done(&["store", "verify", "--dir", &dir]).contains("whole"));
    assert!(
        failed(&["store", "verify", "--dir", Path::new(&dir).parent().unwrap().to_str().unwrap()])
            .1
            .contains("no store here")
    );
}

#[test]
fn nodes_that_only_follow_act_on_what_is_committed_through_a_relay_and_change_nothing() {
    let site = Site::new(1);
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let member = site.start(0, discovery.addr, "10s");
    let known = server_list(41, &[(CACHE, cache.addr)], origin.addr);
    answering(discovery, known);
    let (key, shared_key) = (site.path("subscribers"), site.key.to_str().unwrap().to_owned());
    done(&["store", "subscriber-key", "--key-file", &shared_key, &key]);
    let follows = |n: usize, publishers: SocketAddr, listen: &str, wait: &str| {
        let (dir, cluster) = (site.path(&format!("f{n}")), &site.cluster);
        let store = format!(
            "[store]\nrole = \"subscriber\"\ndir = \"{dir}\"\ncluster = \"{cluster}\"\nkey_file = \"{key}\"\n\
             publishers = [[\"{publishers}\"]]\nwait = \"{wait}\"\n{listen}"
        );
        site.start_file(&format!("follows{n}.toml"), &format!("{}\n{store}", own(free_address())))
    };
    let relay = follows(1, site.stores[0], "listen = \"127.0.0.1:0\"\n", "10s");
    let relay_at = relay.relay.unwrap();
    let mut node = follows(2, relay_at, "", "10s");
    // Neither has a discovery that answers.
    for follower in [&relay, &node] {
        follower.until("svc_hosts_listed", "1");
    }
    member.order("DISABLE");
    node.until("svc_hosts_down", "1");
    let answer = node.call(&format!("ENABLE {CACHE}"));
    assert!(answer.starts_with("fail") && answer.contains("follows the store"), "{answer}");
    let class = |name: &str| {
        format!("[[class]]\nname = \"{name}\"\naim = \"1s\"\ndeadline = \"2s\"\neffect = \"safe\"\n")
    };
    let file = site.path("shared.toml");
    std::fs::write(&file, class("audio") + &class("read")).unwrap();
    site.store(0, &["config", "push", &file]);
    let end = Instant::now() + TEST_TIMEOUT;
    while node.read("c=audio,d=50").contains("class") {
        assert!(Instant::now() < end, "the configuration is not in force");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(site.store(0, &["store", "purge", "k"]).starts_with("revision "));
    // Killed with its relay, and nobody else to be reached: it goes on from its disk.
    drop((relay, node));
    node = follows(2, relay_at, "", "200ms");
    node.until("svc_hosts_listed", "1");
    node.until("svc_hosts_down", "1");
    assert!(!node.read("c=audio,d=50").contains("class"));
    // Its key is no client's.
    let member_at = site.stores[0].to_string();
    let (code, told) = failed(&["store", "status", "--at", &member_at, "--key-file", &key]);
    assert!(code == 1 && told.contains("a subscriber's key"), "{told}");
}

const EMULATED: &str = r#"
name = "three"
nodes = 3
rate = 120
[[cache]]
count = 6
[origin]
time = "5ms"
[keys]
count = 200
held = 1.0
[[class]]
name = "read"
share = 1
work = "2ms"
aim = "1s"
deadline = "2s"
effect = "safe"
"#;

/// Runs for some seconds; for longer where `STORE_TRIAL_S` says so.
#[test]
fn killed_at_random_under_load_nothing_is_lost_and_no_rule_broken() {
    let seconds = std::env::var("STORE_TRIAL_S").ok().and_then(|text| text.parse().ok()).unwrap_or(4);
    let site: stonefold_model::site::Site = toml::from_str(EMULATED).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let started = stonefold_emulator::Emulator::start(site, Default::default());
    let emulator = runtime.block_on(started).unwrap();
    let stores = Site::new(3);
    // Each comes back where it was: the load goes on to the same addresses.
    let (clients, any) = ([0; 3].map(|_| free_address()), "127.0.0.1:0".parse().unwrap());
    let config = |n: usize| toml::to_string(&emulator.config(n, clients[n], Some(any)).unwrap()).unwrap();
    let start = |n: usize, wait: &str| stores.start_with(n, &config(n), wait);
    let mut nodes = [Some(start(0, "10s")), Some(start(1, "0s")), Some(start(2, "0s"))];
    for (n, member) in [(1, "2"), (2, "3")] {
        stores.store(0, &["store", "add", member, &stores.stores[n].to_string()]);
    }
    let load = stonefold_emulator::Load::new(&emulator, clients.to_vec());
    let running = runtime.spawn(load.clone().run(120.0, Duration::from_secs(seconds)));
    fastrand::seed(seconds);
    let (mut kept, mut kills, begun) = (0, 0, Instant::now());
    while begun.elapsed() < Duration::from_secs(seconds) {
        let n = fastrand::usize(..3);
        nodes[n] = None;
        kills += 1;
        let text = stores.path("text");
        std::fs::write(&text, format!("{kills}")).unwrap();
        // With two of three a change is taken; what was answered for must be there.
        let name = format!("d{kills}");
        stores.store((n + 1) % 3, &["store", "set", &name, &text]);
        kept += 1;
        nodes[n] = Some(start(n, "10s"));
        let got = stores.store(n, &["store", "get", &name]);
        assert_eq!(got, format!("{kills}"), "what one missed while it was away, it has");
    }
    runtime.block_on(running).unwrap();
    for n in 1..=kept {
        assert_eq!(stores.store(n % 3, &["store", "get", &format!("d{n}")]), format!("{n}"));
    }
    let (figures, verdict) = (load.figures().0, emulator.verdict());
    println!("{kills} killed, {kept} changes kept, {:?}, {verdict:?}", figures.summary());
    assert!(kills > 1 && figures.served > 0);
    // A request that a killed node had taken gets no answer: that is the kill's doing, and all it may do.
    let broken = verdict.rules_broken() - verdict.lost;
    assert_eq!(broken, 0, "{verdict:?}");
}

/// A start from what the others know against one from the list in a node's own file: all caches were replaced since
/// that was written, and discovery does not answer.
#[test]
#[ignore = "a measurement of 25 s"]
fn service_after_a_restart_with_the_store_and_from_the_known_list_alone() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let site: stonefold_model::site::Site = toml::from_str(EMULATED).unwrap();
    let started = stonefold_emulator::Emulator::start(site, Default::default());
    let emulator = runtime.block_on(started).unwrap();
    let (stores, any) = (Site::new(1), "127.0.0.1:0".parse().unwrap());
    let own = toml::to_string(&emulator.config(0, any, Some(any)).unwrap()).unwrap();
    let before = stores.start_with(0, &own, "10s");
    let _within = runtime.enter(); // where faults are played
    let fault = |text: &str| emulator.fault(&serde_json::from_str(text).unwrap()).unwrap();
    fault(r#"{"kind":"roll","part":1.0,"for":"2s"}"#);
    std::thread::sleep(Duration::from_secs(6));
    drop(before);
    fault(r#"{"kind":"discovery-away","for":"60s"}"#);
    for (name, store) in [("the store", true), ("the known list alone", false)] {
        let begun = Instant::now();
        let node = if store { stores.start_with(0, &own, "10s") } else { stores.start_alone(&own) };
        let ready = begun.elapsed();
        let load = stonefold_emulator::Load::new(&emulator, vec![node.clients]);
        runtime.block_on(load.clone().run(120.0, Duration::from_secs(8)));
        println!("{name}: ready after {} ms, {:?}", ready.as_millis(), load.figures().0.summary());
    }
}
