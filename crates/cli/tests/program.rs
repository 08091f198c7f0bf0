//! The program from outside: its commands, its exit codes, its own configuration file.

#[path = "common/addresses.rs"]
mod addresses;
#[path = "common/fakes.rs"]
mod fakes;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};

use addresses::free_address;
use fakes::*;

fn stonefold(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stonefold")).args(args).output().unwrap()
}

fn told(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn what_cannot_be_used_ends_with_2_and_what_fails_with_1() {
    let dir = tempfile::tempdir().unwrap();
    let bad = dir.path().join("bad.toml");
    std::fs::write(&bad, "[node]\nlisen = \"127.0.0.1:1\"").unwrap();
    let bad = bad.to_str().unwrap();
    let unusable: [&[&str]; 7] = [
        &[],
        &["fly"],
        &["node", "--config", bad],
        &["check", bad],
        &["check", "/nowhere.toml"],
        &["get", "key", "--tenant", "a,b"],
        &["node", "--config", bad, "--log", "loud"],
    ];
    for args in unusable {
        let (code, out, err) = told(&stonefold(args));
        assert!(code == 2 && out.is_empty() && !err.is_empty(), "{args:?}: {code} {err}");
    }
    let (_, _, err) = told(&stonefold(&["check", bad]));
    assert!(err.contains("bad.toml:2:1: node.lisen: unknown key"), "{err}");
    for args in [["get", "k", "--node", "127.0.0.1:1"], ["call", "127.0.0.1:1", "READY", "--format=text"]] {
        let (code, out, err) = told(&stonefold(&args));
        assert!(code == 1 && out.is_empty() && err.contains("127.0.0.1:1"), "{args:?}: {code} {err}");
    }
}

#[test]
fn help_versions_and_texts_are_there() {
    for command in ["node", "check", "get", "set", "call", "completions"] {
        let (code, out, _) = told(&stonefold(&[command, "--help"]));
        assert!(code == 0 && out.contains("Example"), "{command}: {out}");
    }
    assert!(told(&stonefold(&["--version"])).1.starts_with(concat!(
        "stonefold ",
        env!("CARGO_PKG_VERSION"),
        " ("
    )));
    assert!(told(&stonefold(&["completions", "bash"])).1.contains("--explain"));
    assert!(told(&stonefold(&["man"])).1.contains(".SH"));
}

/// A node that runs by our own file.
struct Own {
    child: Child,
    addr: SocketAddr,
    log: BufReader<std::process::ChildStderr>,
}

impl Own {
    fn start(file: &Path) -> Own {
        let mut child = stonefold_through_shell(r#"exec "$0" node --config "$FILE" --log-format json"#)
            .env("FILE", file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut own = Own { child, addr: "127.0.0.1:0".parse().unwrap(), log };
        let line = own.event("listening");
        let at = line.split(r#""at":""#).nth(1).and_then(|rest| rest.split('"').next());
        own.addr = at.unwrap().parse().unwrap();
        own
    }

    /// Waits for an event; tells its line.
    fn event(&mut self, name: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "no {name}");
            if line.contains(&format!(r#""event":"{name}""#)) {
                return line;
            }
        }
    }

    fn hang_up(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn own_file(cache: SocketAddr, origin: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"
[node]
listen = "127.0.0.1:0"
discovery = "{discovery}"
[fleet]
subscribe = false
[[class]]
name = "read"
aim = "300ms"
deadline = "10s"
effect = "safe"
[[server]]
id = "s-1"
addr = "{cache}"
[[server]]
id = "o"
addr = "{origin}"
kind = "origin"
"#
    )
}

#[test]
fn a_node_by_our_own_file_serves_get_and_set_and_takes_a_new_file_whole_or_not() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("node.toml");
    let text = own_file(cache.addr, origin.addr, discovery.addr);
    std::fs::write(&file, &text).unwrap();
    let mut node = Own::start(&file);
    let at = node.addr.to_string();
    let asking = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold"));
        command
            .args(args)
            .args(["--node", &at, "--deadline", "10s"])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command.spawn().unwrap()
    };
    let done = |child: Child| told(&child.wait_with_output().unwrap());

    let get = asking(&["get", "book:1", "--class", "read"]);
    cache.next_call().reply_value("a value");
    assert_eq!(done(get), (0, "a value\n".into(), String::new()));
    let set = asking(&["set", "book:1", "new", "--format", "json"]);
    let mut call = origin.next_call();
    assert_eq!((call.words[0].as_str(), call.words.last().unwrap().as_str()), ("PUT", "new"));
    call.reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    let (code, out, _) = done(set);
    assert!(code == 0 && out.contains(r#""outcome":"served""#), "{out}");
    let (code, _, err) = done(asking(&["get", "book:1", "--class", "other"]));
    assert!(code == 1 && err.contains("unknown class"), "{err}");

    std::fs::write(&file, text.replace("\"read\"", "\"other\"").replace("300ms", "none")).unwrap();
    node.hang_up();
    assert!(node.event("reload_rejected").contains("class[0].aim"));
    std::fs::write(&file, text.replace("\"read\"", "\"other\"")).unwrap();
    node.hang_up();
    node.event("reloaded");
    let get = asking(&["get", "book:1", "--class", "other"]);
    cache.next_call().reply_value("another");
    assert_eq!(done(get).1, "another\n");
}

#[test]
fn operators_calls_by_the_program() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(1, &[("s-1", cache.addr)], origin.addr);
    let node = NodeOptions { operator: true, ..NodeOptions::new(&known, discovery.addr) }.start();
    node.client().ping();
    let at = node.operator_addr().to_string();
    assert_eq!(told(&stonefold(&["call", &at, "READY"])), (0, "ok\n".into(), String::new()));
    let (code, out, _) = told(&stonefold(&["call", &at, "STATS", "--format", "json"]));
    assert!(code == 0 && out.contains(r#""svc_hosts_listed":1.0"#), "{out}");
    let (code, _, err) = told(&stonefold(&["call", &at, "DISABLE", "nobody"]));
    assert!(code == 1 && err.contains("no server nobody"), "{err}");
}

#[test]
fn the_demo_serves_through_a_rolling_restart() {
    let args =
        ["demo", "--duration", "3s", "--nodes", "2", "--caches", "4", "--rate", "100", "--format", "json"];
    let (code, out, err) = told(&stonefold(&args));
    let end: serde_json::Value =
        serde_json::from_str(out.trim()).unwrap_or_else(|e| panic!("{e}: {out} {err}"));
    assert_eq!((code, &end["rules_broken"]), (0, &serde_json::json!(0)), "{end} {err}");
    let of = |name: &str| end[name].as_f64().unwrap_or_else(|| panic!("{name} in {end}"));
    assert!(
        of("served") > 0.0 && of("p50_ms") > 0.0 && of("p99_ms") >= of("p50_ms") && of("origin_rps") > 0.0
    );
    assert_eq!(of("requests"), of("served") + of("refused") + of("failed"));
}

#[test]
fn a_site_is_emulated_for_as_long_as_asked_and_a_bad_one_is_refused() {
    let site = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites/twelve.toml");
    let dir = tempfile::tempdir().unwrap();
    let configs = dir.path().to_str().unwrap();
    let (code, out, err) =
        told(&stonefold(&["emulate", site, "--duration", "1ms", "--configs", configs, "--format", "json"]));
    assert!(code == 0 && out.contains(r#""rules_broken":0"#), "{out} {err}");
    let config = dir.path().join("node-3.toml");
    assert_eq!(told(&stonefold(&["check", config.to_str().unwrap()])).0, 0);
    let (code, _, err) = told(&stonefold(&["emulate", site, "--set", "rate=0"]));
    assert!(code == 2 && err.contains("flag --set rate=0: rate:"), "{err}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap().to_string();
    let (code, _, err) = told(&stonefold(&["emulate", site, "--control", &at]));
    assert!(code == 1 && err.contains(&format!("cannot listen at {at}")), "{err}");
}

#[test]
fn a_full_disk_under_the_log_is_nobodys_trouble() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let dir = tempfile::tempdir().unwrap();
    let (file, at) = (dir.path().join("node.toml"), free_address());
    std::fs::write(&file, own_file(cache.addr, origin.addr, discovery.addr)).unwrap();
    let listen = format!("node.listen={at}");
    let mut node =
        stonefold_through_shell(r#"exec "$0" node --config "$FILE" --set "$LISTEN" --log debug 2>/dev/full"#)
            .env("FILE", &file)
            .env("LISTEN", listen)
            .spawn()
            .unwrap();
    while std::net::TcpStream::connect(at).is_err() {
        assert!(node.try_wait().unwrap().is_none(), "it ended");
    }
    let at = at.to_string();
    let (code, _, err) = told(&stonefold(&["get", "k", "--class", "other", "--node", &at]));
    assert!(code == 1 && err.contains("unknown class"), "{err}");
    assert!(Command::new("kill").arg(node.id().to_string()).status().unwrap().success());
    assert!(node.wait().unwrap().success());
}

#[test]
fn a_node_outlives_the_emulator_under_it() {
    let site = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites/twelve.toml");
    let dir = tempfile::tempdir().unwrap();
    let configs = dir.path().to_str().unwrap();
    let mut emulator = Command::new(env!("CARGO_BIN_EXE_stonefold"))
        .args(["emulate", site, "--configs", configs, "--format", "json", "--log", "off"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut said = BufReader::new(emulator.stdout.take().unwrap());
    said.read_line(&mut line).unwrap();
    let node = Own::start(&dir.path().join("node-0.toml"));
    let at = node.addr.to_string();
    let get = || {
        told(&stonefold(&["get", "record:1", "--node", &at, "--class", "record-lookup", "--deadline", "10s"]))
    };
    let (code, out, err) = get();
    assert!(code == 0 && out.contains(":record:1:"), "{out} {err}");
    emulator.kill().unwrap();
    emulator.wait().unwrap();
    let (code, out, err) = get();
    assert!(code == 1 && out.is_empty() && (err.contains("refused") || err.contains("failed")), "{err}");
}

#[test]
fn a_demo_that_is_kept_can_be_asked_and_told_to_end_leaves_nothing_behind() {
    let dir = tempfile::tempdir().unwrap();
    let mut demo = Command::new(env!("CARGO_BIN_EXE_stonefold"))
        .args(["demo", "--duration", "1s", "--nodes", "2", "--caches", "2", "--rate", "50", "--keep"])
        .env("TMPDIR", dir.path())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(demo.stdout.take().unwrap()).lines().map(Result::unwrap);
    let node =
        lines.find_map(|line| Some(line.strip_prefix("node 0: clients at ")?.split(',').next()?.to_owned()));
    let node = node.expect("addresses");
    assert!(lines.any(|line| line.starts_with("Ctrl-C")));
    let (code, out, err) = told(&stonefold(&["get", "record:1", "--node", &node, "--deadline", "10s"]));
    assert!(code == 0 && out.contains(":record:1:"), "{out} {err}");
    assert!(Command::new("kill").arg(demo.id().to_string()).status().unwrap().success());
    assert!(demo.wait().unwrap().success());
    // Its nodes are gone, and so is what it wrote.
    while std::net::TcpStream::connect(&node).is_ok() {}
    assert_eq!(std::fs::read_dir(dir.path()).unwrap().count(), 0);
}

#[test]
fn a_demo_that_is_told_to_end_under_load_leaves_nothing_behind() {
    let dir = tempfile::tempdir().unwrap();
    let mut demo = Command::new(env!("CARGO_BIN_EXE_stonefold"))
        .args(["demo", "--duration", "10m", "--nodes", "1", "--caches", "2", "--rate", "50"])
        .env("TMPDIR", dir.path())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut rows = BufReader::new(demo.stdout.take().unwrap()).lines().map(Result::unwrap);
    assert!(rows.any(|row| row.trim().starts_with("1s ")));
    assert!(Command::new("kill").arg(demo.id().to_string()).status().unwrap().success());
    assert!(demo.wait().unwrap().success());
    assert_eq!(std::fs::read_dir(dir.path()).unwrap().count(), 0);
}

#[test]
fn the_longest_value_comes_whole_through_a_cache_that_stalls_amid_load() {
    let dir = tempfile::tempdir().unwrap();
    let site = dir.path().join("site.toml");
    let text = "name='s'\nnodes=1\nrate=1\n[keys]\ncount=1\nheld=1\nvalue='4MiB'\nvalue_sigma=0\n[[cache]]\n\
        [[class]]\nname='read'\nshare=1\nwork='50ms'\naim='9s'\ndeadline='30s'\neffect='safe'\n\
        [[fault]]\nkind='stall'\nserver='c-0'\nfor='1500ms'\n";
    std::fs::write(&site, text).unwrap();
    let configs = dir.path().join("nodes");
    let mut emulator = Command::new(env!("CARGO_BIN_EXE_stonefold"))
        .args(["emulate", site.to_str().unwrap(), "--configs", configs.to_str().unwrap(), "--log", "off"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    // Held open: an emulator that nobody reads ends as it says its next line.
    let mut said = BufReader::new(emulator.stdout.take().unwrap());
    said.read_line(&mut String::new()).unwrap();
    let node = Own::start(&configs.join("node-0.toml"));
    let at = node.addr.to_string();
    let get = ["get", "record:0", "--node", &at, "--class", "read", "--deadline", "30s"];
    let (code, out, err) = told(&stonefold(&get));
    assert_eq!((code, out.len()), (0, (4 << 20) + 1), "{err}");
    assert!(out.contains(":record:0:") && out.ends_with(".\n"));
    emulator.kill().unwrap();
    emulator.wait().unwrap();
}

#[test]
fn an_emulator_whose_rules_were_broken_ends_with_1() {
    let dir = tempfile::tempdir().unwrap();
    let site = dir.path().join("site.toml");
    let text = "name='s'\nnodes=1\nrate=1\n[[cache]]\n[[class]]\nname='put'\nshare=1\nwork='0s'\naim='1s'\n\
        deadline='9s'\neffect='unsafe'\nwrite=true\n";
    std::fs::write(&site, text).unwrap();
    let configs = dir.path().join("nodes");
    let mut emulator = Command::new(env!("CARGO_BIN_EXE_stonefold"))
        .args(["emulate", site.to_str().unwrap(), "--configs", configs.to_str().unwrap(), "--format", "json"])
        .args(["--log", "off"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(emulator.stdout.take().unwrap()).lines().map(Result::unwrap);
    lines.next().unwrap();
    let config = std::fs::read_to_string(configs.join("node-0.toml")).unwrap();
    let origin =
        config.split("id = \"origin\"\naddr = \"").nth(1).unwrap().split('"').next().unwrap().to_owned();
    for _ in 0..2 {
        use std::io::{Read, Write};
        let mut stream = std::net::TcpStream::connect(&origin).unwrap();
        let put = "PUT /k HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: i\r\nX-Facts: c=put,d=9\r\n\
            Content-Length: 0\r\nConnection: close\r\n\r\n";
        stream.write_all(put.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(Command::new("kill").arg(emulator.id().to_string()).status().unwrap().success());
    assert_eq!(emulator.wait().unwrap().code(), Some(1));
    assert!(lines.next().unwrap().contains("\"run_twice\":1"));
}
