//! The emulator from a node's side: what each party says, what each fault does, and that the judge sees each rule
//! broken when a node breaks it on purpose.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use stonefold_config::{Layers, load};
use stonefold_emulator::{Emulator, EmulatorError, Load, Options};
use stonefold_model::site::{Fault, Site};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Long enough for any machine; reached only by a test that fails.
const PATIENCE: Duration = Duration::from_secs(20);

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
    Emulator::start(site(changes), Options::default()).await.unwrap()
}

fn begin(emulator: &Emulator, json: &str) {
    let fault: Fault = serde_json::from_str(json).unwrap();
    emulator.fault(&fault).unwrap();
}

fn addr(emulator: &Emulator, node: usize, id: &str) -> SocketAddr {
    let known = emulator.endpoint_list(node);
    let entry = known["servers"].as_array().unwrap().iter().find(|entry| entry["id"] == id).unwrap().clone();
    entry["addr"].as_str().unwrap().parse().unwrap()
}

/// Writes a text, and reads what comes until `whole` has it or the connection ends.
struct Peer(TcpStream);

impl Peer {
    async fn at(addr: SocketAddr) -> Peer {
        Peer(TcpStream::connect(addr).await.unwrap())
    }

    async fn says(&mut self, text: &str, whole: impl Fn(&str) -> bool) -> Result<String, String> {
        let mut got = Vec::new();
        let exchange = async {
            self.0.write_all(text.as_bytes()).await.map_err(|e| e.to_string())?;
            loop {
                let text = String::from_utf8_lossy(&got).into_owned();
                if whole(&text) {
                    return Ok(text);
                }
                match self.0.read_buf(&mut got).await {
                    Ok(0) => return Err(format!("end after {text:?}")),
                    Ok(_) => {}
                    Err(error) => return Err(format!("{:?} after {text:?}", error.kind())),
                }
            }
        };
        timeout(PATIENCE, exchange).await.unwrap_or_else(|_| Err("nothing came".into()))
    }

    async fn get(&mut self, key: &str, id: &str) -> Result<String, String> {
        let text = command(&["CACHE.GET", key, id, "c=read,d=1000"]);
        self.says(&text, |got| {
            got.starts_with('-') && got.ends_with("\r\n") || got.contains("x1=") && got.ends_with("\r\n")
        })
        .await
    }

    async fn http(&mut self, request: &str) -> Result<(u16, String), String> {
        let whole = |got: &str| {
            let Some((head, body)) = got.split_once("\r\n\r\n") else { return false };
            let length = head
                .lines()
                .find_map(|line| line.to_lowercase().strip_prefix("content-length: ").map(str::to_owned));
            length.is_none_or(|length| body.len() >= length.trim().parse().unwrap())
        };
        let got = self.says(request, whole).await?;
        let (head, body) = got.split_once("\r\n\r\n").unwrap();
        Ok((head[9..12].parse().unwrap(), body.to_owned()))
    }
}

fn command(words: &[&str]) -> String {
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{bulk}", words.len())
}

fn fetch(method: &str, key: &str, id: &str, class: &str) -> String {
    format!(
        "{method} /{key} HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {id}\r\nX-Facts: c={class},d=1000\r\nContent-Length: 0\r\n\r\n"
    )
}

async fn list(emulator: &Emulator, node: usize, query: &str) -> Result<(u16, Value), String> {
    let mut peer = Peer::at(emulator.discovery(node).unwrap()).await;
    let (status, body) =
        peer.http(&format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: d\r\n\r\n")).await?;
    Ok((status, serde_json::from_str(&body).unwrap_or_default()))
}

/// Waits until something holds.
async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let held = async {
        while !holds().await {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, held).await.unwrap_or_else(|_| panic!("never: {what}"));
}

#[tokio::test]
async fn a_miss_is_fetched_stored_where_it_missed_and_voided_by_a_write() {
    let emulator = emulator(&[]).await;
    let mut cache = Peer::at(addr(&emulator, 0, "c-0")).await;
    let mut origin = Peer::at(addr(&emulator, 0, "origin")).await;
    assert!(cache.get("k", "id1").await.unwrap().starts_with("*3\r\n$-1\r\n$4\r\nmiss\r\n"));
    assert!(cache.get("k", "id2").await.unwrap().contains("$7\r\npending\r\n"));
    let (status, body) = origin.http(&fetch("GET", "k", "id1", "read")).await.unwrap();
    assert!(status == 200 && body.starts_with("id1:k:"), "{status} {body}");
    let hit = cache.get("k", "id3").await.unwrap();
    assert!(
        hit.contains("\r\nid3:k:") && hit.contains("$3\r\nhit\r\n") && hit.contains("latency_ms="),
        "{hit}"
    );
    assert_eq!(origin.http(&fetch("PUT", "k", "id4", "put")).await.unwrap().0, 200);
    assert!(cache.get("k", "id5").await.unwrap().contains("miss"));
    // Several at once are answered in their order; what is no command of ours gets an error.
    let three = command(&["CACHE.GET", "a", "i", "d=9"]) + &command(&["PING"]) + &command(&["HELLO", "3"]);
    let got = cache.says(&three, |got| got.ends_with("-ERR unknown command\r\n")).await.unwrap();
    assert!(got.find("miss").unwrap() < got.find("+PONG").unwrap(), "{got}");
    assert_eq!(emulator.verdict().rules_broken(), 0);
    assert_eq!(emulator.hits_and_misses(), (1, 4));
}

#[tokio::test]
async fn each_fault_shows_to_a_node_as_it_would_from_outside() {
    let emulator = emulator(&[]).await;
    let at = addr(&emulator, 0, "c-0");
    let mut kept = Peer::at(at).await;
    begin(&emulator, r#"{"kind":"kill","server":"c-0","for":"10ms"}"#);
    let broken = kept.get("k", "i").await.unwrap_err();
    assert!(broken.contains("ConnectionReset") || broken.contains("roken"), "{broken}");
    until("it is back", async || TcpStream::connect(at).await.is_ok()).await;

    begin(&emulator, r#"{"kind":"garble","server":"c-0","for":"1h"}"#);
    let noise = Peer::at(at)
        .await
        .says(&command(&["CACHE.GET", "k", "i", "d=9"]), |got| !got.is_empty())
        .await
        .unwrap();
    assert!(!noise.starts_with('*'), "{noise:?}");
    begin(&emulator, r#"{"kind":"cut","server":"c-1","for":"1h"}"#);
    let cut = Peer::at(addr(&emulator, 0, "c-1")).await.get("k", "i").await.unwrap_err();
    assert!(cut.starts_with("end after \"*3"), "{cut}");
}

#[tokio::test]
async fn silence_stalls_and_partitions_say_nothing_until_they_end() {
    let emulator = emulator(&[]).await;
    let mut near = Peer::at(addr(&emulator, 0, "c-0")).await;
    let mut far = Peer::at(addr(&emulator, 1, "c-0")).await;
    begin(&emulator, r#"{"kind":"partition","zone":"a","for":"50ms"}"#);
    // Node 1 stands in zone b, the server in zone a.
    far.0.write_all(command(&["CACHE.GET", "k", "far", "d=9"]).as_bytes()).await.unwrap();
    assert!(near.get("k", "near").await.is_ok());
    until("the cut has ended", async || {
        let mut again = Peer::at(addr(&emulator, 1, "c-0")).await;
        timeout(Duration::from_millis(50), again.get("k", "j")).await.is_ok_and(|got| got.is_ok())
    })
    .await;
    assert!(
        far.0.try_read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock),
        "still silent"
    );
    begin(&emulator, r#"{"kind":"silence","server":"c-0","for":"5ms"}"#);
    assert!(near.get("k", "i").await.is_err(), "a reset, once it is back");
    // A stall is no break: the answer comes, later.
    begin(&emulator, r#"{"kind":"stall","server":"c-1","for":"20ms"}"#);
    assert!(Peer::at(addr(&emulator, 0, "c-1")).await.get("k", "i").await.is_ok());
}

/// Guards against what is sent to a killed server reaching another one that has got its address.
#[tokio::test]
async fn the_address_of_a_killed_server_is_given_to_nobody_else() {
    let emulator = emulator(&[]).await;
    let at = addr(&emulator, 0, "c-0");
    begin(&emulator, r#"{"kind":"kill","server":"c-0","for":"1h"}"#);
    until("it is down", async || TcpStream::connect(at).await.is_err()).await;
    let other = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    assert!(other.bind(&at.into()).is_err(), "another may have {at}");
}

#[tokio::test]
async fn the_end_of_one_fault_is_not_the_end_of_another_at_the_same_server() {
    let emulator = emulator(&[]).await;
    let at = addr(&emulator, 0, "c-0");
    for kind in ["garble", "stall"] {
        begin(&emulator, &format!(r#"{{"kind":"{kind}","server":"c-0","for":"1h"}}"#));
    }
    begin(&emulator, r#"{"kind":"slow","server":"c-0","factor":3,"for":"1ms"}"#);
    begin(&emulator, r#"{"kind":"garble","server":"c-0","for":"1ms"}"#);
    let mut stalled = Peer::at(at).await;
    stalled.0.write_all(command(&["CACHE.GET", "k", "i", "d=9"]).as_bytes()).await.unwrap();
    // The short faults are long over by then.
    let silence = timeout(Duration::from_millis(100), stalled.0.readable()).await;
    assert!(silence.is_err(), "it stands still");
    // Killed while it is killed, and replaced while it is killed, it comes back once or not at all.
    begin(&emulator, r#"{"kind":"kill","server":"c-0","for":"1ms"}"#);
    begin(&emulator, r#"{"kind":"kill","server":"c-0","for":"2ms"}"#);
    until("it is back", async || TcpStream::connect(at).await.is_ok()).await;
    begin(&emulator, r#"{"kind":"replace","server":"c-1","for":"1ms"}"#);
    begin(&emulator, r#"{"kind":"kill","server":"c-1","for":"30ms"}"#);
    let gone = addr(&emulator, 0, "c-1");
    until("its successor is listed", async || {
        list(&emulator, 0, "").await.unwrap().1.to_string().contains("c-2")
    })
    .await;
    sleep(Duration::from_millis(60)).await;
    assert!(TcpStream::connect(gone).await.is_err(), "what was replaced stays away");
}

#[tokio::test]
async fn the_origin_stops_and_discovery_is_away_late_and_catches_up() {
    let emulator = emulator(&[]).await;
    begin(&emulator, r#"{"kind":"origin-stop","for":"1h"}"#);
    let mut origin = Peer::at(addr(&emulator, 0, "origin")).await;
    assert_eq!(origin.http(&fetch("GET", "k", "i", "read")).await.unwrap().0, 503);

    let (status, all) = list(&emulator, 0, "").await.unwrap();
    assert!(status == 200 && all["full"] == true && all["servers"].as_array().unwrap().len() == 3, "{all}");
    begin(&emulator, r#"{"kind":"replace","server":"c-1","for":"5ms"}"#);
    let (mut version, mut seen) = (1, Vec::new());
    // Of different servers either may be learned first.
    while seen.len() < 3 {
        let (_, news) = list(&emulator, 0, &format!("?after={version}&wait_ms=10000")).await.unwrap();
        version = news["version"].as_u64().unwrap();
        let entries = news["servers"].as_array().unwrap().clone();
        seen.extend(entries.iter().map(|e| (e["id"].as_str().unwrap().to_owned(), e["state"].clone())));
    }
    let states: Vec<&Value> = seen.iter().filter(|(id, _)| id == "c-1").map(|(_, state)| state).collect();
    assert_eq!(states, ["DRAINING", "DELETED"]);
    assert!(seen.iter().any(|(id, state)| id == "c-2" && state == "SERVING"), "{seen:?}");
    begin(&emulator, r#"{"kind":"discovery-away","for":"1h"}"#);
    assert_eq!(list(&emulator, 0, "").await.unwrap().0, 503);
}

#[tokio::test]
async fn the_judge_sees_sends_to_a_server_that_drains() {
    let emulator = emulator(&[]).await;
    let mut cache = Peer::at(addr(&emulator, 0, "c-0")).await;
    cache.get("k", "before").await.unwrap();
    begin(&emulator, r#"{"kind":"drain","server":"c-0","for":"1h"}"#);
    let (_, news) = list(&emulator, 0, "?after=1&wait_ms=10000").await.unwrap();
    assert_eq!(news["servers"][0]["state"], "DRAINING");
    // The other node was told nothing yet, and may.
    Peer::at(addr(&emulator, 1, "c-0")).await.get("k", "other").await.unwrap();
    assert_eq!(emulator.verdict().rules_broken(), 0);
    cache.get("k", "after").await.unwrap();
    assert_eq!(emulator.verdict().sent_after_grace, 1);
}

#[tokio::test]
async fn the_judge_sees_cold_servers_pushed_over_and_what_their_misses_do() {
    // 0.3 cores cold, three times, for 1.5 s: 1.35 s of work are too much.
    let emulator = emulator(&[("work = \"0s\"", "work = \"500ms\"")]).await;
    begin(&emulator, r#"{"kind":"kill","server":"c-0","for":"0s"}"#);
    let at = addr(&emulator, 0, "c-0");
    let started = async || TcpStream::connect(at).await.is_ok();
    until("it is back, cold", started).await;
    let mut cache = Peer::at(at).await;
    let many: String = (0..8).map(|n| command(&["CACHE.GET", "k", &format!("id{n}"), "d=100000"])).collect();
    let _ = cache.says(&many, |_| false).await; // it breaks
    until("the fall is judged", async || emulator.verdict().warm_up_collapses == 1).await;
}

#[tokio::test]
async fn the_judge_sees_an_origin_stopped_by_misses_at_cold_servers() {
    let emulator = emulator(&[("time = \"1ms\"", "time = \"100ms\"\nstop_after = \"500ms\"")]).await;
    begin(&emulator, r#"{"kind":"kill","part":1,"for":"0s"}"#);
    let at = addr(&emulator, 0, "c-0");
    until("it is back, cold", async || TcpStream::connect(at).await.is_ok()).await;
    let (mut cache, mut open) = (Peer::at(at).await, Vec::new());
    // 40 a second, 2.5 times, for half a second: more than 50 are too many.
    for n in 0..60 {
        let id = format!("id{n}");
        cache.get(&format!("k{n}"), &id).await.unwrap();
        let mut origin = TcpStream::connect(addr(&emulator, 0, "origin")).await.unwrap();
        origin.write_all(fetch("GET", &format!("k{n}"), &id, "read").as_bytes()).await.unwrap();
        open.push(origin);
    }
    until("the stop is judged", async || emulator.verdict().origin_stops_from_warm_up == 1).await;
    assert_eq!(emulator.verdict().origin_stops, 1);
}

#[tokio::test]
async fn the_judge_sees_what_must_not_run_twice_run_twice() {
    let emulator = emulator(&[]).await;
    let mut origin = Peer::at(addr(&emulator, 0, "origin")).await;
    for _ in 0..2 {
        origin.http(&fetch("PUT", "k", "same", "put")).await.unwrap();
    }
    origin.http(&fetch("PUT", "k", "other", "put")).await.unwrap();
    assert_eq!((emulator.verdict().repeated_runs, emulator.verdict().rules_broken()), (1, 1));
}

/// A node that answers each request with this; it closes instead if that is empty.
async fn bad_node(answer: fn(&str) -> Option<String>) -> SocketAddr {
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
async fn the_judge_sees_wrong_values_and_requests_that_are_lost() {
    let emulator = emulator(&[("deadline = \"2s\"", "deadline = \"1s\"")]).await;
    let wrong = bad_node(|_| Some("$5\r\nwrong\r\n".into())).await;
    Load::new(&emulator, vec![wrong]).run(200.0, Duration::from_millis(200)).await;
    let verdict = emulator.verdict();
    assert!(verdict.wrong > 0 && verdict.wrong == verdict.requests, "{verdict:?}");
    let silent = bad_node(|_| None).await;
    Load::new(&emulator, vec![silent]).run(50.0, Duration::from_millis(200)).await;
    let verdict = emulator.verdict();
    assert!(verdict.lost > 0 && verdict.lost + verdict.wrong == verdict.requests, "{verdict:?}");
    let closing = bad_node(|_| Some(String::new())).await;
    let before = emulator.verdict();
    Load::new(&emulator, vec![closing]).run(100.0, Duration::from_millis(200)).await;
    let now = emulator.verdict();
    assert!(
        now.requests > before.requests && now.lost - before.lost == now.requests - before.requests,
        "{now:?}"
    );
    let twice = bad_node(|_| Some("-BUSY 5\r\n-BUSY 5\r\n".into())).await;
    Load::new(&emulator, vec![twice]).run(100.0, Duration::from_millis(200)).await;
    assert!(emulator.verdict().duplicate_answers > 0, "{:?}", emulator.verdict());
    let refusing = bad_node(|_| Some("-BUSY 5\r\n".into())).await;
    let load = Load::new(&emulator, vec![refusing]);
    load.clone().run(200.0, Duration::from_millis(200)).await;
    assert!(load.figures().0.rejected > 0 && emulator.verdict().rejected >= load.figures().0.rejected);
}

#[tokio::test]
async fn a_refused_client_comes_again_as_late_as_it_was_told_and_counts_once() {
    let retry = "rate = 200\n[retry]\ntries = 3\npause = \"1ms\"";
    let emulator = emulator(&[("rate = 200", retry)]).await;
    // A try's number has the tries before it in its upper half.
    let second = bad_node(|text| {
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
    let load = Load::new(&emulator, vec![second]);
    load.clone().run(200.0, Duration::from_millis(200)).await;
    let all = load.figures().0;
    assert!(all.served > 10 && all.rejected + all.failed == 0, "{:?}", all.summary());
    assert_eq!(all.retries, 2 * all.served);
    assert!(all.latency.min() >= 10_000, "twice told to wait for 5 ms: {} us", all.latency.min());
    // Each try had a final answer of its own.
    let verdict = emulator.verdict();
    assert_eq!((verdict.requests, verdict.rules_broken()), (3 * all.served, 0), "{verdict:?}");
}

#[tokio::test]
async fn the_control_tells_takes_faults_and_says_what_it_cannot_use() {
    let emulator = emulator(&[]).await;
    let mut control = Peer::at(emulator.control()).await;
    let mut ask = async |method: &str, path: &str, body: &str| {
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        control.http(&text).await.unwrap()
    };
    assert!(ask("GET", "/verdict", "").await.1.contains(r#""rules_broken":0"#));
    assert!(ask("GET", "/servers", "").await.1.contains(r#""id":"c-1""#));
    assert_eq!(ask("POST", "/faults", r#"{"kind":"reset","server":"c-1"}"#).await.0, 202);
    for (body, why) in [
        ("", "EOF"),
        ("{", "EOF"),
        (r#"{"kind":"melt","server":"c-1"}"#, "unknown variant"),
        (r#"{"kind":"kill","server":"c-9"}"#, "no cache server"),
        (r#"{"kind":"kill"}"#, "needs server"),
        (r#"{"kind":"kill","server":"c-1","for":"long"}"#, "a duration of"),
    ] {
        let (status, answer) = ask("POST", "/faults", body).await;
        assert!(status == 400 && answer.contains(why), "{body}: {answer}");
    }
    assert_eq!(ask("GET", "/other", "").await.0, 404);
}

#[tokio::test]
async fn what_cannot_be_listened_at_is_told_and_nothing_is_left() {
    let taken = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = taken.local_addr().unwrap();
    let refused = Emulator::start(site(&[]), Options { control, ..Options::default() }).await;
    assert!(matches!(refused, Err(EmulatorError::Listen { at, .. }) if at == control));
    let open = Options { control: "0.0.0.0:0".parse().unwrap(), ..Options::default() };
    assert!(matches!(Emulator::start(site(&[]), open).await, Err(EmulatorError::NotLoopback(_))));
    // Dropped, an emulator leaves its ports.
    let emulator = emulator(&[]).await;
    let (cache, discovery) = (addr(&emulator, 0, "c-0"), emulator.discovery(1).unwrap());
    drop(emulator);
    for at in [cache, discovery] {
        until("the port is free", async || TcpListener::bind(at).await.is_ok()).await;
    }
}
