//! Whether an injected service time is seen as it was injected: 100 ms of work, 2,000 requests a second, open loop.
//!
//!     cargo run --release -p stonefold-emulator --example pause

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use stonefold_config::{Count, Fine, Part, Positive};
use stonefold_emulator::{Emulator, Options};
use stonefold_model::site::Site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

const SITE: &str = include_str!("../../../deploy/sites/twelve.toml");
/// Requests a second, and connections that take them in turn: each is free again before its next.
const RATE: u64 = 2_000;
const CONNECTIONS: u64 = 400;
const LASTS: Duration = Duration::from_secs(10);

type Failure = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut site: Site = toml::from_str(SITE)?;
    (site.nodes, site.network) = (Count::new(1), Default::default());
    site.keys.held = Part::new(0.05);
    for kind in &mut site.caches {
        (kind.speed, kind.speed_spread, kind.pause_every) =
            (Positive::new(1.0), Part::new(0.0), Fine::new(0));
        (kind.cores, kind.slots) = (Count::new(1000), Count::new(10_000));
    }
    for class in &mut site.classes {
        (class.work, class.work_sigma) = (Fine::new(100_000), Part::new(0.0));
    }
    let emulator = Emulator::start(site, Options { faults: false, ..Options::default() }).await?;
    let cache = emulator.known(0)["servers"][0]["addr"].as_str().ok_or("no cache")?.to_owned();
    let start = Instant::now() + Duration::from_millis(500);
    let mut runs = Vec::new();
    for n in 0..CONNECTIONS {
        runs.push(tokio::spawn(connection(TcpStream::connect(&cache).await?, n, start)));
    }
    let mut all = Histogram::<u64>::new(3)?;
    for run in runs {
        all.add(run.await??)?;
    }
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

/// Asks at its own times, and counts from when it meant to.
async fn connection(mut stream: TcpStream, number: u64, start: Instant) -> Result<Histogram<u64>, Failure> {
    stream.set_nodelay(true)?;
    let mut seen = Histogram::<u64>::new(3)?;
    let mut buffer = vec![0; 64 << 10];
    for turn in 0.. {
        let at = start + Duration::from_micros((turn * CONNECTIONS + number) * 1_000_000 / RATE);
        if at >= start + LASTS {
            return Ok(seen);
        }
        sleep_until(at.into()).await;
        let id = format!("{number:08x}{turn:08x}");
        let words = ["CACHE.GET", "record:1", &id, "c=record-lookup,d=5000"];
        let bulk: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
        stream.write_all(format!("*4\r\n{bulk}").as_bytes()).await?;
        let mut whole = Vec::new();
        while !(whole.ends_with(b"\r\n") && String::from_utf8_lossy(&whole).contains("x1=")) {
            match stream.read(&mut buffer).await? {
                0 => return Err("the connection ended".into()),
                n => whole.extend_from_slice(&buffer[..n]),
            }
        }
        seen.record(at.elapsed().as_micros() as u64)?;
    }
    Ok(seen)
}
