//! When a value that is held back is complete, and when its hold ends.

use bytes::Bytes;

use super::*;
use crate::relay::{ValueSink, value_channel};
use crate::write_progress::ProgressWriter;

const LENGTH: usize = 100_000;
const CHUNK: usize = 10_000;
/// More than the time for which a value is held back at most.
const LONG: Duration = Duration::from_secs(60);

/// Sends a value in chunks, with a pause before each. Returns early if the value is not wanted any more.
async fn send(sink: ValueSink, chunks: usize, pause: Duration) {
    for _ in 0..chunks {
        tokio::time::sleep(pause).await;
        let Ok(slot) = sink.slot().await else { return };
        slot.send(Chunk::new(Bytes::from_static(&[7; CHUNK]), None));
    }
}

/// Holds back a value that its server sends in this way. Returns whether it was complete, and how long it was held.
async fn hold(
    budget: &MemoryBudget,
    chunks: usize,
    pause: Duration,
    client_time: Duration,
) -> (bool, Duration) {
    let (sink, stream) = value_channel(LENGTH);
    let sending = tokio::spawn(send(sink, chunks, pause));
    let start = Instant::now();
    let complete = HeldValue::new(stream, start, start + client_time).complete(budget).await;
    let held = start.elapsed();
    sending.await.unwrap();
    let Some(value) = complete else { return (false, held) };
    let mut text = Vec::new();
    value.write_to(&mut ProgressWriter::new(&mut text)).await.unwrap();
    (text.len() > LENGTH, held)
}

#[tokio::test(start_paused = true)]
async fn complete_value_is_released_at_once() {
    let budget = MemoryBudget::new(0);
    let pause = Duration::from_millis(20);
    let (complete, held) = hold(&budget, LENGTH / CHUNK, pause, LONG).await;
    assert!(complete && held < pause * 11, "held for {held:?}");
}

/// Guards against replies behind a value that are lost because it breaks off.
#[tokio::test(start_paused = true)]
async fn value_that_breaks_off_ends_the_hold() {
    let budget = MemoryBudget::new(0);
    let (complete, held) = hold(&budget, 3, Duration::from_millis(20), LONG).await;
    assert!(!complete && held < MAX_HOLD_TIME);
}

/// Guards against a client that gets the first byte of its reply too late, or is kept waiting for what its server has
/// sent for 2 s.
#[tokio::test(start_paused = true)]
async fn slow_value_is_held_until_the_time_of_its_client_or_the_longest_hold_ends() {
    let budget = MemoryBudget::new(0);
    let slow = Duration::from_millis(400);
    for (client_time, expected) in [
        (LONG, MAX_HOLD_TIME),
        (Duration::from_millis(900), Duration::from_millis(900) - RESPONSE_RESERVE),
        (Duration::ZERO, OVERDUE_HOLD_TIME),
    ] {
        let (complete, held) = hold(&budget, LENGTH / CHUNK, slow, client_time).await;
        assert!(!complete);
        assert_eq!(held, expected);
    }
}

/// Guards against a wait for memory without a bound, and against memory that is not returned.
#[tokio::test(start_paused = true)]
async fn value_without_memory_in_time_is_given_up() {
    let budget = MemoryBudget::new(0);
    let all = budget.reserve_large(crate::relay::MAX_FRAME_BYTES).await.unwrap();
    let (complete, held) = hold(&budget, LENGTH / CHUNK, Duration::ZERO, LONG).await;
    assert!(!complete && held == MAX_HOLD_TIME);
    drop(all);
    for _ in 0..3 {
        assert!(hold(&budget, LENGTH / CHUNK, Duration::ZERO, LONG).await.0);
    }
}
