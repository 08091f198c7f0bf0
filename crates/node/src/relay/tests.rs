//! Relays of values between pipes in memory.

use super::*;
use tokio::io::duplex;

fn free_bytes(budget: &MemoryBudget) -> usize {
    budget.0.available_permits()
}

/// Relays a value from one pipe to another. Returns whether it was written completely.
async fn relay(
    budget: MemoryBudget,
    length: usize,
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
) -> bool {
    let (sink, stream) = value_channel(length);
    let pump = async move {
        let mut remaining = length;
        while remaining > 0 {
            let Ok(Some(chunk)) = budget.read_chunk(&mut from, remaining).await else { return };
            remaining -= chunk.bytes.len();
            if sink.send(chunk).await.is_err() {
                return;
            }
        }
    };
    let write = async move { stream.write_to(&mut to).await };
    tokio::join!(pump, write).1.is_ok()
}

#[tokio::test(start_paused = true)]
async fn many_large_values_stay_within_the_budget_and_arrive_complete() {
    const LENGTH: usize = 1 << 20;
    let budget = MemoryBudget(Arc::new(Semaphore::new(4 * CHUNK_BYTES)));
    let mut relays = tokio::task::JoinSet::new();
    for n in 0..16u8 {
        // Pipes smaller than a chunk, so that reads and writes end at any byte of the value, and a client that reads
        // slowly.
        let ((mut server, from), (to, mut client)) = (duplex(1000 + usize::from(n)), duplex(700));
        tokio::spawn(async move { server.write_all(&vec![n; LENGTH]).await });
        let budget = budget.clone();
        relays.spawn(async move {
            let reading = async {
                let mut got = Vec::new();
                client.read_to_end(&mut got).await.unwrap();
                got
            };
            let (complete, got) = tokio::join!(relay(budget, LENGTH, from, to), reading);
            let head = format!("${LENGTH}\r\n");
            assert!(complete && got.starts_with(head.as_bytes()) && got.ends_with(b"\r\n"));
            assert!(got[head.len()..head.len() + LENGTH].iter().all(|&b| b == n));
            assert_eq!(got.len(), head.len() + LENGTH + 2);
        });
    }
    while let Some(done) = relays.join_next().await {
        done.unwrap();
    }
    assert_eq!(free_bytes(&budget), 4 * CHUNK_BYTES, "all memory is returned");
}

#[tokio::test(start_paused = true)]
async fn client_that_reads_nothing_holds_few_chunks_and_is_abandoned() {
    let budget = MemoryBudget(Arc::new(Semaphore::new(64 * CHUNK_BYTES)));
    let ((mut server, from), (to, client)) = (duplex(CHUNK_BYTES), duplex(100));
    tokio::spawn(async move { server.write_all(&vec![7; MAX_VALUE_BYTES]).await });
    let pending = tokio::spawn(relay(budget.clone(), MAX_VALUE_BYTES, from, to));
    tokio::time::sleep(PROGRESS_TIMEOUT / 2).await;
    assert!(free_bytes(&budget) >= 61 * CHUNK_BYTES, "{} left", free_bytes(&budget));
    assert!(!pending.await.unwrap());
    assert_eq!(free_bytes(&budget), 64 * CHUNK_BYTES);
    drop(client);
}

#[tokio::test(start_paused = true)]
async fn truncated_or_stalled_value_is_incomplete() {
    for silent in [false, true] {
        let ((mut server, from), (to, mut client)) = (duplex(CHUNK_BYTES), duplex(CHUNK_BYTES));
        server.write_all(&[7; 1000]).await.unwrap();
        let _open = silent.then_some(server);
        let reading = async {
            let mut got = Vec::new();
            client.read_to_end(&mut got).await.unwrap();
            got.len()
        };
        let (complete, got) = tokio::join!(relay(MemoryBudget::new(0), 100_000, from, to), reading);
        assert!(!complete && got < 100_000);
    }
}
