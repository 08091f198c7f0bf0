//! The program from outside: its commands, its exit codes, its TOML configuration file.

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

/// The exit code, standard output and standard error of a command.
fn result_of(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap(), text(&output.stdout), text(&output.stderr))
}

/// Guards against scripts that cannot tell a wrong command line or configuration from an operation that failed.
#[test]
fn usage_errors_exit_with_2_and_failures_with_1() {
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
        let (code, out, err) = result_of(&stonefold(args));
        assert!(code == 2 && out.is_empty() && !err.is_empty(), "{args:?}: {code} {err}");
    }
    let (_, _, err) = result_of(&stonefold(&["check", bad]));
    assert!(err.contains("bad.toml:2:1: node.lisen: unknown key"), "{err}");
    for args in [["get", "k", "--node", "127.0.0.1:1"], ["call", "127.0.0.1:1", "READY", "--format=text"]] {
        let (code, out, err) = result_of(&stonefold(&args));
        assert!(code == 1 && out.is_empty() && err.contains("127.0.0.1:1"), "{args:?}: {code} {err}");
    }
}

/// Guards against commands without an example in their help, and against missing completions or a missing manual page.
#[test]
fn help_version_completions_and_manual_are_printed() {
    for command in ["node", "check", "get", "set", "call", "completions"] {
        let (code, out, _) = result_of(&stonefold(&[command, "--help"]));
        assert!(code == 0 && out.contains("Example"), "{command}: {out}");
    }
    assert!(result_of(&stonefold(&["--version"])).1.starts_with(concat!(
        "stonefold ",
        env!("CARGO_PKG_VERSION"),
        " ("
    )));
    assert!(result_of(&stonefold(&["completions", "bash"])).1.contains("--explain"));
    assert!(result_of(&stonefold(&["man"])).1.contains(".SH"));
}

/// A node that runs from a TOML configuration file.
struct TomlNode {
    child: Child,
    addr: SocketAddr,
    log: BufReader<std::process::ChildStderr>,
}

impl TomlNode {
    fn start(file: &Path) -> TomlNode {
        let mut child = stonefold_through_shell(r#"exec "$0" node --config "$FILE" --log-format json"#)
            .env("FILE", file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let mut node = TomlNode { child, addr: "127.0.0.1:0".parse().unwrap(), log };
        let line = node.wait_for_event("listening");
        let at = line.split(r#""at":""#).nth(1).and_then(|rest| rest.split('"').next());
        node.addr = at.unwrap().parse().unwrap();
        node
    }

    /// Waits for an event in the log, and returns its line.
    fn wait_for_event(&mut self, name: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "no {name}");
            if line.contains(&format!(r#""event":"{name}""#)) {
                return line;
            }
        }
    }

    fn send_sighup(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
    }
}

impl Drop for TomlNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A configuration in TOML with one class, one cache and an origin.
fn toml_config(cache: SocketAddr, origin: SocketAddr, discovery: SocketAddr) -> String {
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

/// Guards against `get` and `set` that do not work with a node, and against a new file that is applied although a part
/// of it is invalid.
#[test]
fn node_from_toml_serves_get_and_set_and_rejects_invalid_reloads() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("node.toml");
    let text = toml_config(cache.addr, origin.addr, discovery.addr);
    std::fs::write(&file, &text).unwrap();
    let mut node = TomlNode::start(&file);
    let at = node.addr.to_string();
    let spawn_client = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold"));
        command
            .args(args)
            .args(["--node", &at, "--deadline", "10s"])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command.spawn().unwrap()
    };
    let result = |child: Child| result_of(&child.wait_with_output().unwrap());

    let get = spawn_client(&["get", "book:1", "--class", "read"]);
    cache.next_call().reply_value("a value");
    assert_eq!(result(get), (0, "a value\n".into(), String::new()));
    let set = spawn_client(&["set", "book:1", "new", "--format", "json"]);
    let mut call = origin.next_call();
    assert_eq!((call.words[0].as_str(), call.words.last().unwrap().as_str()), ("PUT", "new"));
    call.reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    let (code, out, _) = result(set);
    assert!(code == 0 && out.contains(r#""outcome":"served""#), "{out}");
    let (code, _, err) = result(spawn_client(&["get", "book:1", "--class", "other"]));
    assert!(code == 1 && err.contains("unknown class"), "{err}");

    std::fs::write(&file, text.replace("\"read\"", "\"other\"").replace("300ms", "none")).unwrap();
    node.send_sighup();
    assert!(node.wait_for_event("reload_rejected").contains("class[0].aim"));
    std::fs::write(&file, text.replace("\"read\"", "\"other\"")).unwrap();
    node.send_sighup();
    node.wait_for_event("reloaded");
    let get = spawn_client(&["get", "book:1", "--class", "other"]);
    cache.next_call().reply_value("another");
    assert_eq!(result(get).1, "another\n");
}

/// Guards against operator commands whose reply or failure `stonefold call` does not pass on.
#[test]
fn call_command_runs_operator_commands_and_reports_their_failure() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let known = server_list(1, &[("s-1", cache.addr)], origin.addr);
    let node = NodeOptions { operator: true, ..NodeOptions::new(&known, discovery.addr) }.start();
    node.client().ping();
    let at = node.operator_addr().to_string();
    assert_eq!(result_of(&stonefold(&["call", &at, "READY"])), (0, "ok\n".into(), String::new()));
    let (code, out, _) = result_of(&stonefold(&["call", &at, "STATS", "--format", "json"]));
    assert!(code == 0 && out.contains(r#""svc_hosts_listed":1.0"#), "{out}");
    let (code, _, err) = result_of(&stonefold(&["call", &at, "DISABLE", "nobody"]));
    assert!(code == 1 && err.contains("no server nobody"), "{err}");
}

/// Guards against a demo, with its rolling restart, that breaks a rule or whose served, rejected and failed requests do
/// not add up to all requests.
#[test]
fn demo_breaks_no_rule_and_its_counts_add_up() {
    let args =
        ["demo", "--duration", "3s", "--nodes", "2", "--caches", "4", "--rate", "100", "--format", "json"];
    let (code, out, err) = result_of(&stonefold(&args));
    let end: serde_json::Value =
        serde_json::from_str(out.trim()).unwrap_or_else(|e| panic!("{e}: {out} {err}"));
    assert_eq!((code, &end["rules_broken"]), (0, &serde_json::json!(0)), "{end} {err}");
    let of = |name: &str| end[name].as_f64().unwrap_or_else(|| panic!("{name} in {end}"));
    assert!(
        of("served") > 0.0 && of("p50_ms") > 0.0 && of("p99_ms") >= of("p50_ms") && of("origin_rps") > 0.0
    );
    assert_eq!(of("requests"), of("served") + of("refused") + of("failed"));
}

/// Guards against an emulator that outlives its duration, writes unusable node configurations, or starts with an
/// invalid site or an occupied control address.
#[test]
fn emulate_command_runs_a_site_and_rejects_an_invalid_one() {
    let site = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites/twelve.toml");
    let dir = tempfile::tempdir().unwrap();
    let configs = dir.path().to_str().unwrap();
    let (code, out, err) = result_of(&stonefold(&[
        "emulate",
        site,
        "--duration",
        "1ms",
        "--configs",
        configs,
        "--format",
        "json",
    ]));
    assert!(code == 0 && out.contains(r#""rules_broken":0"#), "{out} {err}");
    let config = dir.path().join("node-3.toml");
    assert_eq!(result_of(&stonefold(&["check", config.to_str().unwrap()])).0, 0);
    let (code, _, err) = result_of(&stonefold(&["emulate", site, "--set", "rate=0"]));
    assert!(code == 2 && err.contains("flag --set rate=0: rate:"), "{err}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap().to_string();
    let (code, _, err) = result_of(&stonefold(&["emulate", site, "--control", &at]));
    assert!(code == 1 && err.contains(&format!("cannot listen at {at}")), "{err}");
}

/// Guards against a full disk under the log, here /dev/full, that disturbs requests or the shutdown.
#[test]
fn node_serves_and_exits_cleanly_while_its_log_cannot_be_written() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let dir = tempfile::tempdir().unwrap();
    let (file, at) = (dir.path().join("node.toml"), free_address());
    std::fs::write(&file, toml_config(cache.addr, origin.addr, discovery.addr)).unwrap();
    let listen = format!("node.listen={at}");
    let mut node =
        stonefold_through_shell(r#"exec "$0" node --config "$FILE" --set "$LISTEN" --log debug 2>/dev/full"#)
            .env("FILE", &file)
            .env("LISTEN", listen)
            .spawn()
            .unwrap();
    while std::net::TcpStream::connect(at).is_err() {
        assert!(node.try_wait().unwrap().is_none(), "the node ended");
    }
    let at = at.to_string();
    let (code, _, err) = result_of(&stonefold(&["get", "k", "--class", "other", "--node", &at]));
    assert!(code == 1 && err.contains("unknown class"), "{err}");
    assert!(Command::new("kill").arg(node.id().to_string()).status().unwrap().success());
    assert!(node.wait().unwrap().success());
}

/// Guards against a node that ends or hangs when all of its servers are gone.
#[test]
fn node_outlives_a_killed_emulator_and_reports_failures() {
    let site = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sites/twelve.toml");
    let dir = tempfile::tempdir().unwrap();
    let configs = dir.path().to_str().unwrap();
    let mut emulator = Command::new(env!("CARGO_BIN_EXE_stonefold"))
        .args(["emulate", site, "--configs", configs, "--format", "json", "--log", "off"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut emulator_output = BufReader::new(emulator.stdout.take().unwrap());
    emulator_output.read_line(&mut line).unwrap();
    let node = TomlNode::start(&dir.path().join("node-0.toml"));
    let at = node.addr.to_string();
    let get = || {
        result_of(&stonefold(&[
            "get",
            "record:1",
            "--node",
            &at,
            "--class",
            "record-lookup",
            "--deadline",
            "10s",
        ]))
    };
    let (code, out, err) = get();
    assert!(code == 0 && out.contains(":record:1:"), "{out} {err}");
    emulator.kill().unwrap();
    emulator.wait().unwrap();
    let (code, out, err) = get();
    assert!(code == 1 && out.is_empty() && (err.contains("refused") || err.contains("failed")), "{err}");
}

/// Guards against nodes or files of a demo with `--keep` that are left after SIGTERM.
#[test]
fn demo_with_keep_serves_requests_and_leaves_nothing_behind_when_terminated() {
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
    let node = node.expect("the address of a node");
    assert!(lines.any(|line| line.starts_with("Ctrl-C")));
    let (code, out, err) = result_of(&stonefold(&["get", "record:1", "--node", &node, "--deadline", "10s"]));
    assert!(code == 0 && out.contains(":record:1:"), "{out} {err}");
    assert!(Command::new("kill").arg(demo.id().to_string()).status().unwrap().success());
    assert!(demo.wait().unwrap().success());
    // Its nodes have ended and its files are deleted.
    while std::net::TcpStream::connect(&node).is_ok() {}
    assert_eq!(std::fs::read_dir(dir.path()).unwrap().count(), 0);
}

/// Guards against files of a demo that are left after a SIGTERM under load.
#[test]
fn demo_terminated_under_load_leaves_nothing_behind() {
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

/// Guards against a value of the longest length, 4 MiB, that is cut off because its cache stalls for 1.5 s meanwhile.
#[test]
fn longest_value_arrives_intact_through_a_cache_that_stalls() {
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
    // The pipe is held open: the emulator would end at its next line if nobody could read it.
    let mut emulator_output = BufReader::new(emulator.stdout.take().unwrap());
    emulator_output.read_line(&mut String::new()).unwrap();
    let node = TomlNode::start(&configs.join("node-0.toml"));
    let at = node.addr.to_string();
    let get = ["get", "record:0", "--node", &at, "--class", "read", "--deadline", "30s"];
    let (code, out, err) = result_of(&stonefold(&get));
    assert_eq!((code, out.len()), (0, (4 << 20) + 1), "{err}");
    assert!(out.contains(":record:0:") && out.ends_with(".\n"));
    emulator.kill().unwrap();
    emulator.wait().unwrap();
}

/// Guards against a broken rule, here a non-idempotent write that runs twice, which the exit code does not show.
#[test]
fn emulator_exits_with_1_after_a_rule_was_broken() {
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
