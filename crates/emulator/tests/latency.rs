//! The service time of the model is the latency that a client measures on the sockets.

use std::time::Duration;

use stonefold_config::{Layers, load};
use stonefold_emulator::{Emulator, EmulatorOptions, Load};
use stonefold_model::site::Site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SITE: &str = r#"
name = "pause"
nodes = 1
rate = 200
[[cache]]
slots = 1000
cores = 1000
[keys]
count = 10
held = 1.0
value = "16B"
value_sigma = 0
[[class]]
name = "read"
share = 1
work = "100ms"
aim = "1s"
deadline = "10s"
effect = "safe"
"#;

/// Relays commands to the cache and answers to the client, without the part of each answer that is meant for nodes.
async fn relay(mut client: TcpStream, cache: std::net::SocketAddr) {
    let mut server = TcpStream::connect(cache).await.unwrap();
    let (mut commands, mut answers) = (vec![0; 4096], vec![0; 4096]);
    while let Ok(n) = client.read(&mut commands).await {
        if n == 0 {
            return;
        }
        server.write_all(&commands[..n]).await.unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n") || !String::from_utf8_lossy(&answer).contains("x1=") {
            let n = server.read(&mut answers).await.unwrap();
            answer.extend_from_slice(&answers[..n]);
        }
        let text = String::from_utf8(answer).unwrap();
        let value =
            text.strip_prefix("*3\r\n").and_then(|rest| rest.split("$3\r\nhit").next()).unwrap().to_owned();
        client.write_all(value.as_bytes()).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_served_and_none_before_its_work_is_done() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("site.toml");
    std::fs::write(&path, SITE).unwrap();
    let site = load::<Site>(&Layers { file: Some(path), ..Layers::default() }).unwrap().tree;
    let emulator = Emulator::start(site, EmulatorOptions::default()).await.unwrap();
    let cache = emulator.endpoint_list(0)["servers"][0]["addr"].as_str().unwrap().parse().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let node = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(relay(client, cache));
        }
    });
    let load = Load::new(&emulator, vec![node]);
    load.clone().run(200.0, Duration::from_millis(500)).await;
    let figures = load.figures().0;
    assert!(
        figures.served > 50 && figures.rejected + figures.failed + figures.not_sent == 0,
        "{:?}",
        figures.summary()
    );
    // Answers may be later than 100 ms on a busy machine, but sooner only by the timers' granularity of 1 ms.
    assert!(figures.latency.min() >= 99_000, "{} us", figures.latency.min());
    assert_eq!(emulator.verdict().rules_broken(), 0);
}
