//! The emulator as a node sees it: the answers of each server, the effects of each fault, and that the verdict counts
//! each rule that a node breaks on purpose.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use stonefold_config::{Layers, load};
use stonefold_emulator::{Emulator, EmulatorError, EmulatorOptions, Load};
use stonefold_model::site::{Fault, Site};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time limit of every wait; only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(20);

const SITE: &str = r#"
name = "test"
nodes = 2
rate = 200
[network]
zones = ["a", "b"]
[[cache]]
count = 2
cold = "60s"
cold_from = 0.1
[origin]
workers = 4
time = "1ms"
sigma = 0
[discovery]
notices_after = "1ms"
calls_per_s = 1000
[rules]
drain_grace = "0s"
[[class]]
name = "read"
share = 0.9
work = "0s"
aim = "1s"
deadline = "2s"
effect = "safe"
[[class]]
name = "put"
share = 0.1
work = "0s"
aim = "1s"
deadline = "2s"
effect = "unsafe"
write = true
"#;

fn site(changes: &[(&str, &str)]) -> Site {
    let text = changes.iter().fold(SITE.to_owned(), |text, (from, to)| text.replacen(from, to, 1));
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("site.toml");
    std::fs::write(&path, text).unwrap();
    load::<Site>(&Layers { file: Some(path), ..Layers::default() }).unwrap_or_else(|e| panic!("{e}")).tree
}

async fn emulator(changes: &[(&str, &str)]) -> Emulator {
    Emulator::start(site(changes), EmulatorOptions::default()).await.unwrap()
}

fn inject(emulator: &Emulator, json: &str) {
    let fault: Fault = serde_json::from_str(json).unwrap();
    emulator.fault(&fault).unwrap();
}

fn server_addr(emulator: &Emulator, node: usize, id: &str) -> SocketAddr {
    let endpoints = emulator.endpoint_list(node);
    let entry =
        endpoints["servers"].as_array().unwrap().iter().find(|entry| entry["id"] == id).unwrap().clone();
    entry["addr"].as_str().unwrap().parse().unwrap()
}

/// A client connection to one of the emulator's servers.
struct Peer(TcpStream);

impl Peer {
    async fn connect(addr: SocketAddr) -> Peer {
        Peer(TcpStream::connect(addr).await.unwrap())
    }

    /// Writes a text, and reads until `is_complete` accepts what was received or the connection ends.
    async fn exchange(&mut self, text: &str, is_complete: impl Fn(&str) -> bool) -> Result<String, String> {
        let mut received = Vec::new();
        let reading = async {
            self.0.write_all(text.as_bytes()).await.map_err(|e| e.to_string())?;
            loop {
                let text = String::from_utf8_lossy(&received).into_owned();
                if is_complete(&text) {
                    return Ok(text);
                }
                match self.0.read_buf(&mut received).await {
                    Ok(0) => return Err(format!("end after {text:?}")),
                    Ok(_) => {}
                    Err(error) => return Err(format!("{:?} after {text:?}", error.kind())),
                }
            }
        };
        timeout(TIMEOUT, reading).await.unwrap_or_else(|_| Err("no complete answer in time".into()))
    }

    async fn get(&mut self, key: &str, id: &str) -> Result<String, String> {
        let text = command(&["CACHE.GET", key, id, "c=read,d=1000"]);
        self.exchange(&text, |got| {
            got.starts_with('-') && got.ends_with("\r\n") || got.contains("x1=") && got.ends_with("\r\n")
        })
        .await
    }

    async fn http(&mut self, request: &str) -> Result<(u16, String), String> {
        let is_complete = |got: &str| {
            let Some((head, body)) = got.split_once("\r\n\r\n") else { return false };
            let length = head
                .lines()
                .find_map(|line| line.to_lowercase().strip_prefix("content-length: ").map(str::to_owned));
            length.is_none_or(|length| body.len() >= length.trim().parse().unwrap())
        };
        let got = self.exchange(request, is_complete).await?;
        let (head, body) = got.split_once("\r\n\r\n").unwrap();
        Ok((head[9..12].parse().unwrap(), body.to_owned()))
    }
}

fn command(words: &[&str]) -> String {
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{bulk}", words.len())
}

fn fetch_request(method: &str, key: &str, id: &str, class: &str) -> String {
    format!(
        "{method} /{key} HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {id}\r\nX-Facts: c={class},d=1000\r\nContent-Length: 0\r\n\r\n"
    )
}

async fn fetch_list(emulator: &Emulator, node: usize, query: &str) -> Result<(u16, Value), String> {
    let mut peer = Peer::connect(emulator.discovery(node).unwrap()).await;
    let (status, body) =
        peer.http(&format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: d\r\n\r\n")).await?;
    Ok((status, serde_json::from_str(&body).unwrap_or_default()))
}

/// Waits until a condition holds.
async fn wait_until(condition: &str, holds: impl AsyncFn() -> bool) {
    let polling = async {
        while !holds().await {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(TIMEOUT, polling).await.unwrap_or_else(|_| panic!("timed out waiting until {condition}"));
}

#[tokio::test]
async fn a_fetched_value_is_stored_where_it_missed_until_a_write() {
    let emulator = emulator(&[]).await;
    let mut cache = Peer::connect(server_addr(&emulator, 0, "c-0")).await;
    let mut origin = Peer::connect(server_addr(&emulator, 0, "origin")).await;
    assert!(cache.get("k", "id1").await.unwrap().starts_with("*3\r\n$-1\r\n$4\r\nmiss\r\n"));
    assert!(cache.get("k", "id2").await.unwrap().contains("$7\r\npending\r\n"));
    let (status, body) = origin.http(&fetch_request("GET", "k", "id1", "read")).await.unwrap();
    assert!(status == 200 && body.starts_with("id1:k:"), "{status} {body}");
    let hit = cache.get("k", "id3").await.unwrap();
    assert!(
        hit.contains("\r\nid3:k:") && hit.contains("$3\r\nhit\r\n") && hit.contains("latency_ms="),
        "{hit}"
    );
    assert_eq!(origin.http(&fetch_request("PUT", "k", "id4", "put")).await.unwrap().0, 200);
    assert!(cache.get("k", "id5").await.unwrap().contains("miss"));
    // Pipelined commands are answered in their order; an unknown command gets an error.
    let commands = command(&["CACHE.GET", "a", "i", "d=9"]) + &command(&["PING"]) + &command(&["HELLO", "3"]);
    let got = cache.exchange(&commands, |got| got.ends_with("-ERR unknown command\r\n")).await.unwrap();
    assert!(got.find("miss").unwrap() < got.find("+PONG").unwrap(), "{got}");
    assert_eq!(emulator.verdict().rules_broken(), 0);
    assert_eq!(emulator.hits_and_misses(), (1, 4));
}

#[tokio::test]
async fn kill_garble_and_cut_faults_are_visible_on_connections() {
    let emulator = emulator(&[]).await;
    let at = server_addr(&emulator, 0, "c-0");
    let mut open_connection = Peer::connect(at).await;
    inject(&emulator, r#"{"kind":"kill","server":"c-0","for":"10ms"}"#);
    let broken = open_connection.get("k", "i").await.unwrap_err();
    assert!(broken.contains("ConnectionReset") || broken.contains("roken"), "{broken}");
    wait_until("the server has restarted", async || TcpStream::connect(at).await.is_ok()).await;

    inject(&emulator, r#"{"kind":"garble","server":"c-0","for":"1h"}"#);
    let garbled = Peer::connect(at)
        .await
        .exchange(&command(&["CACHE.GET", "k", "i", "d=9"]), |got| !got.is_empty())
        .await
        .unwrap();
    assert!(!garbled.starts_with('*'), "{garbled:?}");
    inject(&emulator, r#"{"kind":"cut","server":"c-1","for":"1h"}"#);
    let cut = Peer::connect(server_addr(&emulator, 0, "c-1")).await.get("k", "i").await.unwrap_err();
    assert!(cut.starts_with("end after \"*3"), "{cut}");
}

#[tokio::test]
async fn silent_and_partitioned_servers_do_not_answer_and_stalled_ones_do_later() {
    let emulator = emulator(&[]).await;
    let mut near = Peer::connect(server_addr(&emulator, 0, "c-0")).await;
    let mut far = Peer::connect(server_addr(&emulator, 1, "c-0")).await;
    inject(&emulator, r#"{"kind":"partition","zone":"a","for":"50ms"}"#);
    // Node 1 is in zone b, the server in zone a.
    far.0.write_all(command(&["CACHE.GET", "k", "far", "d=9"]).as_bytes()).await.unwrap();
    assert!(near.get("k", "near").await.is_ok());
    wait_until("the partition has ended", async || {
        let mut peer = Peer::connect(server_addr(&emulator, 1, "c-0")).await;
        timeout(Duration::from_millis(50), peer.get("k", "j")).await.is_ok_and(|got| got.is_ok())
    })
    .await;
    assert!(
        far.0.try_read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock),
        "still silent"
    );
    inject(&emulator, r#"{"kind":"silence","server":"c-0","for":"5ms"}"#);
    assert!(near.get("k", "i").await.is_err(), "the server resets its connections when it is back");
    // A stalled server answers once the stall has ended.
    inject(&emulator, r#"{"kind":"stall","server":"c-1","for":"20ms"}"#);
    assert!(Peer::connect(server_addr(&emulator, 0, "c-1")).await.get("k", "i").await.is_ok());
}

/// Guards against requests to a killed server reaching another one that was given its address.
#[tokio::test]
async fn the_address_of_a_killed_server_stays_reserved() {
    let emulator = emulator(&[]).await;
    let at = server_addr(&emulator, 0, "c-0");
    inject(&emulator, r#"{"kind":"kill","server":"c-0","for":"1h"}"#);
    wait_until("the server is down", async || TcpStream::connect(at).await.is_err()).await;
    let other_socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    assert!(other_socket.bind(&at.into()).is_err(), "{at} is free");
}

#[tokio::test]
async fn the_end_of_one_fault_leaves_others_of_the_server_in_effect() {
    let emulator = emulator(&[]).await;
    let at = server_addr(&emulator, 0, "c-0");
    for kind in ["garble", "stall"] {
        inject(&emulator, &format!(r#"{{"kind":"{kind}","server":"c-0","for":"1h"}}"#));
    }
    inject(&emulator, r#"{"kind":"slow","server":"c-0","factor":3,"for":"1ms"}"#);
    inject(&emulator, r#"{"kind":"garble","server":"c-0","for":"1ms"}"#);
    let mut stalled = Peer::connect(at).await;
    stalled.0.write_all(command(&["CACHE.GET", "k", "i", "d=9"]).as_bytes()).await.unwrap();
    // The short faults have ended by then.
    let answer = timeout(Duration::from_millis(100), stalled.0.readable()).await;
    assert!(answer.is_err(), "the stall has ended");
    // A server that is killed twice comes back once; one that is killed and replaced does not come back.
    inject(&emulator, r#"{"kind":"kill","server":"c-0","for":"1ms"}"#);
    inject(&emulator, r#"{"kind":"kill","server":"c-0","for":"2ms"}"#);
    wait_until("the server has restarted", async || TcpStream::connect(at).await.is_ok()).await;
    inject(&emulator, r#"{"kind":"replace","server":"c-1","for":"1ms"}"#);
    inject(&emulator, r#"{"kind":"kill","server":"c-1","for":"30ms"}"#);
    let replaced = server_addr(&emulator, 0, "c-1");
    wait_until("the replacement is listed", async || {
        fetch_list(&emulator, 0, "").await.unwrap().1.to_string().contains("c-2")
    })
    .await;
    sleep(Duration::from_millis(60)).await;
    assert!(TcpStream::connect(replaced).await.is_err(), "the replaced server is up again");
}

#[tokio::test]
async fn origin_and_discovery_reject_during_faults_and_watches_report_replacements() {
    let emulator = emulator(&[]).await;
    inject(&emulator, r#"{"kind":"origin-stop","for":"1h"}"#);
    let mut origin = Peer::connect(server_addr(&emulator, 0, "origin")).await;
    assert_eq!(origin.http(&fetch_request("GET", "k", "i", "read")).await.unwrap().0, 503);

    let (status, listing) = fetch_list(&emulator, 0, "").await.unwrap();
    assert!(
        status == 200 && listing["full"] == true && listing["servers"].as_array().unwrap().len() == 3,
        "{listing}"
    );
    inject(&emulator, r#"{"kind":"replace","server":"c-1","for":"5ms"}"#);
    let (mut version, mut seen) = (1, Vec::new());
    // Discovery may learn the changes of different servers in any order.
    while seen.len() < 3 {
        let (_, changes) =
            fetch_list(&emulator, 0, &format!("?after={version}&wait_ms=10000")).await.unwrap();
        version = changes["version"].as_u64().unwrap();
        let entries = changes["servers"].as_array().unwrap().clone();
        seen.extend(entries.iter().map(|e| (e["id"].as_str().unwrap().to_owned(), e["state"].clone())));
    }
    let states: Vec<&Value> = seen.iter().filter(|(id, _)| id == "c-1").map(|(_, state)| state).collect();
    assert_eq!(states, ["DRAINING", "DELETED"]);
    assert!(seen.iter().any(|(id, state)| id == "c-2" && state == "SERVING"), "{seen:?}");
    inject(&emulator, r#"{"kind":"discovery-away","for":"1h"}"#);
    assert_eq!(fetch_list(&emulator, 0, "").await.unwrap().0, 503);
}

#[tokio::test]
async fn the_verdict_counts_requests_to_a_draining_server_after_its_grace_period() {
    let emulator = emulator(&[]).await;
    let mut cache = Peer::connect(server_addr(&emulator, 0, "c-0")).await;
    cache.get("k", "before").await.unwrap();
    inject(&emulator, r#"{"kind":"drain","server":"c-0","for":"1h"}"#);
    let (_, changes) = fetch_list(&emulator, 0, "?after=1&wait_ms=10000").await.unwrap();
    assert_eq!(changes["servers"][0]["state"], "DRAINING");
    // The other node was not notified yet, so it may still send requests.
    Peer::connect(server_addr(&emulator, 1, "c-0")).await.get("k", "other").await.unwrap();
    assert_eq!(emulator.verdict().rules_broken(), 0);
    cache.get("k", "after").await.unwrap();
    assert_eq!(emulator.verdict().sent_after_grace, 1);
}

#[tokio::test]
async fn the_verdict_counts_a_server_that_collapses_while_warming_up() {
    // A warming-up server collapses above three times its capacity of 0.3 cores for 1.5 s, which is 1.35 s of work.
    let emulator = emulator(&[("work = \"0s\"", "work = \"500ms\"")]).await;
    inject(&emulator, r#"{"kind":"kill","server":"c-0","for":"0s"}"#);
    let at = server_addr(&emulator, 0, "c-0");
    let started = async || TcpStream::connect(at).await.is_ok();
    wait_until("the server has restarted", started).await;
    let mut cache = Peer::connect(at).await;
    let commands: String =
        (0..8).map(|n| command(&["CACHE.GET", "k", &format!("id{n}"), "d=100000"])).collect();
    let _ = cache.exchange(&commands, |_| false).await; // the connection ends with the collapse
    wait_until("the collapse is counted", async || emulator.verdict().warm_up_collapses == 1).await;
}

#[tokio::test]
async fn the_verdict_counts_an_origin_outage_caused_by_warm_up_misses() {
    let emulator = emulator(&[("time = \"1ms\"", "time = \"100ms\"\nstop_after = \"500ms\"")]).await;
    inject(&emulator, r#"{"kind":"kill","part":1,"for":"0s"}"#);
    let at = server_addr(&emulator, 0, "c-0");
    wait_until("the server has restarted", async || TcpStream::connect(at).await.is_ok()).await;
    let (mut cache, mut open) = (Peer::connect(at).await, Vec::new());
    // The origin stops above 2.5 times its 40 fetches a second for half a second, which is 50 fetches.
    for n in 0..60 {
        let id = format!("id{n}");
        cache.get(&format!("k{n}"), &id).await.unwrap();
        let mut origin = TcpStream::connect(server_addr(&emulator, 0, "origin")).await.unwrap();
        origin.write_all(fetch_request("GET", &format!("k{n}"), &id, "read").as_bytes()).await.unwrap();
        open.push(origin);
    }
    wait_until("the outage is counted", async || emulator.verdict().origin_stops_from_warm_up == 1).await;
    assert_eq!(emulator.verdict().origin_stops, 1);
}

#[tokio::test]
async fn the_verdict_counts_a_repeated_run_of_a_non_idempotent_request() {
    let emulator = emulator(&[]).await;
    let mut origin = Peer::connect(server_addr(&emulator, 0, "origin")).await;
    for _ in 0..2 {
        origin.http(&fetch_request("PUT", "k", "same", "put")).await.unwrap();
    }
    origin.http(&fetch_request("PUT", "k", "other", "put")).await.unwrap();
    assert_eq!((emulator.verdict().repeated_runs, emulator.verdict().rules_broken()), (1, 1));
}

/// Starts a node that answers each request with the text from `answer`; it closes the connection if that is empty.
async fn fake_node(answer: fn(&str) -> Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut got = vec![0; 4096];
                while let Ok(n) = stream.read(&mut got).await {
                    let text = String::from_utf8_lossy(&got[..n]).into_owned();
                    match answer(&text) {
                        Some(answer) if answer.is_empty() => return,
                        Some(answer) if n > 0 => stream.write_all(answer.as_bytes()).await.unwrap(),
                        _ if n == 0 => return,
                        _ => {}
                    }
                }
            });
        }
    });
    addr
}

#[tokio::test]
async fn the_verdict_counts_wrong_lost_duplicate_and_rejected_answers() {
    let emulator = emulator(&[("deadline = \"2s\"", "deadline = \"1s\"")]).await;
    let wrong = fake_node(|_| Some("$5\r\nwrong\r\n".into())).await;
    Load::new(&emulator, vec![wrong]).run(200.0, Duration::from_millis(200)).await;
    let verdict = emulator.verdict();
    assert!(verdict.wrong > 0 && verdict.wrong == verdict.requests, "{verdict:?}");
    let silent = fake_node(|_| None).await;
    Load::new(&emulator, vec![silent]).run(50.0, Duration::from_millis(200)).await;
    let verdict = emulator.verdict();
    assert!(verdict.lost > 0 && verdict.lost + verdict.wrong == verdict.requests, "{verdict:?}");
    let closing = fake_node(|_| Some(String::new())).await;
    let before = emulator.verdict();
    Load::new(&emulator, vec![closing]).run(100.0, Duration::from_millis(200)).await;
    let now = emulator.verdict();
    assert!(
        now.requests > before.requests && now.lost - before.lost == now.requests - before.requests,
        "{now:?}"
    );
    let answering_twice = fake_node(|_| Some("-BUSY 5\r\n-BUSY 5\r\n".into())).await;
    Load::new(&emulator, vec![answering_twice]).run(100.0, Duration::from_millis(200)).await;
    assert!(emulator.verdict().duplicate_answers > 0, "{:?}", emulator.verdict());
    let rejecting = fake_node(|_| Some("-BUSY 5\r\n".into())).await;
    let load = Load::new(&emulator, vec![rejecting]);
    load.clone().run(200.0, Duration::from_millis(200)).await;
    assert!(load.figures().0.rejected > 0 && emulator.verdict().rejected >= load.figures().0.rejected);
}

#[tokio::test]
async fn a_rejected_client_retries_after_the_stated_delay_and_counts_once() {
    let retry = "rate = 200\n[retry]\ntries = 3\npause = \"1ms\"";
    let emulator = emulator(&[("rate = 200", retry)]).await;
    // The upper bits of an attempt's number are the number of attempts before it.
    let node = fake_node(|text| {
        let id = text.lines().nth(6)?;
        let key = text.lines().nth(4)?;
        let value = format!("{id}:{key}:");
        Some(if id.starts_with("0002") {
            format!("${}\r\n{value}\r\n", value.len())
        } else {
            "-BUSY 5\r\n".into()
        })
    })
    .await;
    let load = Load::new(&emulator, vec![node]);
    load.clone().run(200.0, Duration::from_millis(200)).await;
    let figures = load.figures().0;
    assert!(figures.served > 10 && figures.rejected + figures.failed == 0, "{:?}", figures.summary());
    assert_eq!(figures.retries, 2 * figures.served);
    assert!(figures.latency.min() >= 10_000, "sooner than two delays of 5 ms: {} us", figures.latency.min());
    // Each attempt had a final answer of its own.
    let verdict = emulator.verdict();
    assert_eq!((verdict.requests, verdict.rules_broken()), (3 * figures.served, 0), "{verdict:?}");
}

#[tokio::test]
async fn the_control_interface_reports_state_and_rejects_invalid_faults() {
    let emulator = emulator(&[]).await;
    let mut control = Peer::connect(emulator.control()).await;
    let mut call = async |method: &str, path: &str, body: &str| {
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        control.http(&text).await.unwrap()
    };
    assert!(call("GET", "/verdict", "").await.1.contains(r#""rules_broken":0"#));
    assert!(call("GET", "/servers", "").await.1.contains(r#""id":"c-1""#));
    assert_eq!(call("POST", "/faults", r#"{"kind":"reset","server":"c-1"}"#).await.0, 202);
    for (body, reason) in [
        ("", "EOF"),
        ("{", "EOF"),
        (r#"{"kind":"melt","server":"c-1"}"#, "unknown variant"),
        (r#"{"kind":"kill","server":"c-9"}"#, "no cache server"),
        (r#"{"kind":"kill"}"#, "needs server"),
        (r#"{"kind":"kill","server":"c-1","for":"long"}"#, "a duration of"),
    ] {
        let (status, answer) = call("POST", "/faults", body).await;
        assert!(status == 400 && answer.contains(reason), "{body}: {answer}");
    }
    assert_eq!(call("GET", "/other", "").await.0, 404);
}

#[tokio::test]
async fn an_unusable_address_fails_the_start_and_a_drop_frees_the_ports() {
    let occupied = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = occupied.local_addr().unwrap();
    let result = Emulator::start(site(&[]), EmulatorOptions { control, ..EmulatorOptions::default() }).await;
    assert!(matches!(result, Err(EmulatorError::Listen { at, .. }) if at == control));
    let not_loopback =
        EmulatorOptions { control: "0.0.0.0:0".parse().unwrap(), ..EmulatorOptions::default() };
    assert!(matches!(Emulator::start(site(&[]), not_loopback).await, Err(EmulatorError::NotLoopback(_))));
    // Dropping an emulator frees its ports.
    let emulator = emulator(&[]).await;
    let (cache, discovery) = (server_addr(&emulator, 0, "c-0"), emulator.discovery(1).unwrap());
    drop(emulator);
    for at in [cache, discovery] {
        wait_until("the port is free", async || TcpListener::bind(at).await.is_ok()).await;
    }
}
