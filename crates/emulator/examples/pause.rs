//! Measures whether clients see the service time of the model: 100 ms of work, 2,000 requests a second, open loop.
//!
//!     cargo run --release -p stonefold-emulator --example pause
//!
//! One thread paces all requests: it wakes within about 60 us of the due time, whereas the runtime's timer would be up
//! to 1 ms late and add that to the measured latency.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use stonefold_config::{Count, DurationMicros, Fraction, Positive};
use stonefold_emulator::{Emulator, EmulatorOptions};
use stonefold_model::site::Site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

const SITE: &str = include_str!("../../../deploy/sites/twelve.toml");
/// Requests a second.
const RATE: u64 = 2_000;
/// Connections that take the requests in turn: each has its answer before its next request is due.
const CONNECTIONS: u64 = 400;
const DURATION: Duration = Duration::from_secs(10);

type Failure = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut site: Site = toml::from_str(SITE)?;
    (site.nodes, site.network) = (Count::new(1), Default::default());
    site.keys.prewarmed = Fraction::new(0.05);
    for kind in &mut site.caches {
        (kind.speed, kind.speed_spread, kind.pause_every) =
            (Positive::new(1.0), Fraction::new(0.0), DurationMicros::new(0));
        (kind.cores, kind.slots) = (Count::new(1000), Count::new(10_000));
    }
    for class in &mut site.classes {
        (class.work, class.work_sigma) = (DurationMicros::new(100_000), Fraction::new(0.0));
    }
    let emulator =
        Emulator::start(site, EmulatorOptions { faults: false, ..EmulatorOptions::default() }).await?;
    let cache = emulator.endpoint_list(0)["servers"][0]["addr"].as_str().ok_or("no cache")?.to_owned();
    let (mut runs, mut senders) = (Vec::new(), Vec::new());
    for n in 0..CONNECTIONS {
        let (sender, due) = unbounded_channel();
        senders.push(sender);
        runs.push(tokio::spawn(connection(TcpStream::connect(&cache).await?, n, due)));
    }
    let pacer = std::thread::spawn(move || {
        let start = Instant::now() + Duration::from_millis(500);
        for n in 0..RATE * DURATION.as_secs() {
            let at = start + Duration::from_micros(n * 1_000_000 / RATE);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            // Fails if the connection has failed, which its own task reports.
            let _ = senders[(n % CONNECTIONS) as usize].send(at);
        }
    });
    let mut all = Histogram::<u64>::new(3)?;
    for run in runs {
        all.add(run.await??)?;
    }
    pacer.join().map_err(|_| "the pacer failed")?;
    let ms = |quantile: f64| all.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{} answers: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        all.len(),
        ms(0.5),
        ms(0.99),
        all.max() as f64 / 1e3
    );
    Ok(())
}

/// Sends a request at each due time, and returns the latencies measured from the due times.
async fn connection(
    mut stream: TcpStream,
    number: u64,
    mut due: UnboundedReceiver<Instant>,
) -> Result<Histogram<u64>, Failure> {
    stream.set_nodelay(true)?;
    let mut latencies = Histogram::<u64>::new(3)?;
    let mut buffer = vec![0; 64 << 10];
    let mut request_count = 0;
    while let Some(at) = due.recv().await {
        request_count += 1;
        let id = format!("{number:08x}{request_count:08x}");
        let words = ["CACHE.GET", "record:1", &id, "c=record-lookup,d=5000"];
        let bulk: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
        stream.write_all(format!("*4\r\n{bulk}").as_bytes()).await?;
        let mut answer = Vec::new();
        while !(answer.ends_with(b"\r\n") && String::from_utf8_lossy(&answer).contains("x1=")) {
            match stream.read(&mut buffer).await? {
                0 => return Err("the connection ended".into()),
                n => answer.extend_from_slice(&buffer[..n]),
            }
        }
        latencies.record(at.elapsed().as_micros() as u64)?;
    }
    Ok(latencies)
}
