//! Relays of values between pipes in memory.

use super::*;
use crate::write_progress::STALL_TIMEOUT;
use tokio::io::{AsyncWriteExt, DuplexStream, duplex};

/// A budget for this number of full chunks.
fn budget_of(chunks: usize) -> MemoryBudget {
    let budget = MemoryBudget::new(8 * chunks * CHUNK_BYTES);
    assert_eq!(free_chunks(&budget), chunks);
    budget
}

/// The number of full chunks that there is memory for.
fn free_chunks(budget: &MemoryBudget) -> usize {
    std::iter::from_fn(|| budget.try_reserve_chunk(CHUNK_BYTES)).collect::<Vec<_>>().len()
}

/// Relays a value from one pipe to another. Returns whether it was written completely.
async fn relay(
    budget: MemoryBudget,
    length: usize,
    mut from: impl AsyncRead + Unpin,
    to: DuplexStream,
) -> bool {
    let (sink, stream) = value_channel(length);
    let pump = async move {
        let mut remaining = length;
        while remaining > 0 {
            let Ok(slot) = sink.slot().await else { return };
            let Ok(Some(chunk)) = budget.read_chunk(&mut from, remaining).await else { return };
            remaining -= chunk.bytes.len();
            slot.send(chunk);
        }
    };
    let write = async move { stream.write_to(&mut ProgressWriter::new(to)).await };
    tokio::join!(pump, write).1.is_ok()
}

#[tokio::test(start_paused = true)]
async fn many_large_values_stay_within_the_budget_and_arrive_complete() {
    const LENGTH: usize = 1 << 20;
    let budget = budget_of(4);
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
    assert_eq!(free_chunks(&budget), 4, "all memory is returned");
}

#[tokio::test(start_paused = true)]
async fn client_that_reads_nothing_holds_few_chunks_and_is_abandoned() {
    let budget = budget_of(64);
    let ((mut server, from), (to, client)) = (duplex(CHUNK_BYTES), duplex(100));
    tokio::spawn(async move { server.write_all(&vec![7; MAX_VALUE_BYTES]).await });
    let pending = tokio::spawn(relay(budget.clone(), MAX_VALUE_BYTES, from, to));
    tokio::time::sleep(STALL_TIMEOUT / 2).await;
    assert!(free_chunks(&budget) >= 62, "{} left", free_chunks(&budget));
    assert!(!pending.await.unwrap());
    assert_eq!(free_chunks(&budget), 64);
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

/// Guards against a value that waits for memory that others hold: each may wait for the client or the server of another
/// one, for as long as these like.
#[tokio::test(start_paused = true)]
async fn value_arrives_complete_while_others_hold_all_memory() {
    const LENGTH: usize = 1 << 20;
    let budget = budget_of(4);
    let _held: Vec<_> = std::iter::from_fn(|| budget.try_reserve_chunk(CHUNK_BYTES)).collect();
    let ((mut server, from), (to, mut client)) = (duplex(CHUNK_BYTES), duplex(CHUNK_BYTES));
    tokio::spawn(async move { server.write_all(&[7; LENGTH]).await });
    let mut got = Vec::new();
    let (complete, read) =
        tokio::join!(relay(budget.clone(), LENGTH, from, to), client.read_to_end(&mut got));
    assert!(complete && read.unwrap() > LENGTH);
}
