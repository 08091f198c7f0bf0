use super::*;
use tokio::io::duplex;

fn budget_left(budget: &Budget) -> usize {
    budget.0.available_permits()
}

/// Relays a value from one pipe to another, and tells whether it came whole.
async fn relay(
    budget: Budget,
    length: usize,
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
) -> bool {
    let (sink, stream) = way(length);
    let pump = async move {
        let mut left = length;
        while left > 0 {
            let Ok(Some(chunk)) = budget.read(&mut from, left).await else { return };
            left -= chunk.bytes.len();
            if sink.give(chunk).await.is_err() {
                return;
            }
        }
    };
    let write = async move { stream.write_to(&mut to).await };
    tokio::join!(pump, write).1.is_ok()
}

#[tokio::test(start_paused = true)]
async fn many_large_values_stay_under_one_budget_and_all_come_whole() {
    const LENGTH: usize = 1 << 20;
    let budget = Budget(Arc::new(Semaphore::new(4 * CHUNK)));
    let mut relays = tokio::task::JoinSet::new();
    for n in 0..16u8 {
        // Pipes that cut the value anywhere, and a client that reads slowly.
        let ((mut server, from), (to, mut client)) = (duplex(1000 + usize::from(n)), duplex(700));
        tokio::spawn(async move { server.write_all(&vec![n; LENGTH]).await });
        let budget = budget.clone();
        relays.spawn(async move {
            let reading = async {
                let mut got = Vec::new();
                client.read_to_end(&mut got).await.unwrap();
                got
            };
            let (whole, got) = tokio::join!(relay(budget, LENGTH, from, to), reading);
            let head = format!("${LENGTH}\r\n");
            assert!(whole && got.starts_with(head.as_bytes()) && got.ends_with(b"\r\n"));
            assert!(got[head.len()..head.len() + LENGTH].iter().all(|&b| b == n));
            assert_eq!(got.len(), head.len() + LENGTH + 2);
        });
    }
    while let Some(done) = relays.join_next().await {
        done.unwrap();
    }
    assert_eq!(budget_left(&budget), 4 * CHUNK, "all is given back");
}

#[tokio::test(start_paused = true)]
async fn a_client_that_takes_nothing_holds_a_few_chunks_and_is_given_up() {
    let budget = Budget(Arc::new(Semaphore::new(64 * CHUNK)));
    let ((mut server, from), (to, client)) = (duplex(CHUNK), duplex(100));
    tokio::spawn(async move { server.write_all(&vec![7; VALUE_LIMIT]).await });
    let pending = tokio::spawn(relay(budget.clone(), VALUE_LIMIT, from, to));
    tokio::time::sleep(STUCK / 2).await;
    assert!(budget_left(&budget) >= 61 * CHUNK, "{} left", budget_left(&budget));
    assert!(!pending.await.unwrap());
    assert_eq!(budget_left(&budget), 64 * CHUNK);
    drop(client);
}

#[tokio::test(start_paused = true)]
async fn a_value_that_breaks_off_or_falls_silent_is_not_whole() {
    for silent in [false, true] {
        let ((mut server, from), (to, mut client)) = (duplex(CHUNK), duplex(CHUNK));
        server.write_all(&[7; 1000]).await.unwrap();
        let _held = silent.then_some(server);
        let reading = async {
            let mut got = Vec::new();
            client.read_to_end(&mut got).await.unwrap();
            got.len()
        };
        let (whole, got) = tokio::join!(relay(Budget::new(0), 100_000, from, to), reading);
        assert!(!whole && got < 100_000);
    }
}
