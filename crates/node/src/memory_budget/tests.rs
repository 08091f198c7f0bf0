//! Who may wait for the memory of whom.

use std::time::Duration;

use tokio::time::timeout;

use super::*;

const BUDGET_BYTES: usize = 16 << 20;
const ORDINARY_COMMAND_BYTES: usize = 16 << 10;
/// Long enough for a reservation that does not have to wait.
const AT_ONCE: Duration = Duration::from_millis(1);

/// Reserves memory for large commands until the next one would have to wait.
async fn exhaust_large_buffers(budget: &MemoryBudget) -> Vec<MemoryPermit> {
    let mut held = Vec::new();
    while let Ok(permit) = timeout(AT_ONCE, budget.reserve_command(MAX_FRAME_BYTES, true)).await {
        held.push(permit.unwrap());
    }
    held
}

/// Guards against small commands and chunks that wait behind a large command.
#[tokio::test(start_paused = true)]
async fn large_commands_leave_memory_for_small_ones_and_for_chunks() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let _held = exhaust_large_buffers(&budget).await;
    let waiting = tokio::spawn({
        let budget = budget.clone();
        async move { budget.reserve_large(MAX_FRAME_BYTES).await }
    });
    tokio::task::yield_now().await;
    let small = timeout(AT_ONCE, budget.reserve_command(ORDINARY_COMMAND_BYTES, true)).await;
    assert!(small.is_ok(), "a small command waits");
    assert!(budget.try_reserve_chunk(CHUNK_BYTES).is_some(), "a chunk has no memory");
    assert!(!waiting.is_finished());
}

/// Guards against a large command that starves because small ones take what is freed before it gets its turn.
#[tokio::test(start_paused = true)]
async fn small_commands_do_not_overtake_a_large_one_that_waits() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut held = exhaust_large_buffers(&budget).await;
    let waiting = tokio::spawn({
        let budget = budget.clone();
        async move { budget.reserve_command(MAX_FRAME_BYTES, true).await }
    });
    tokio::task::yield_now().await;
    let mut small = Vec::new();
    while let Ok(permit) = timeout(AT_ONCE, budget.reserve_command(MAX_SMALL_COMMAND_BYTES, true)).await {
        small.push(permit.unwrap());
    }
    held.pop();
    assert!(timeout(AT_ONCE, waiting).await.is_ok(), "the large command still waits");
}

/// Guards against memory that is not returned, in a budget too small for anything but the largest command.
#[tokio::test(start_paused = true)]
async fn each_part_is_whole_again_once_its_permits_are_dropped() {
    let budget = MemoryBudget::new(0);
    for _ in 0..3 {
        let held = exhaust_large_buffers(&budget).await;
        assert_eq!(held.len(), 1);
        let small = timeout(AT_ONCE, budget.reserve_command(MAX_SMALL_COMMAND_BYTES, true)).await;
        assert!(small.is_ok());
    }
}

/// Guards against two connections that wait for each other: a command behind a reply held memory that the reply before
/// the command of another connection waited for.
#[tokio::test(start_paused = true)]
async fn small_command_behind_a_reply_takes_no_memory_of_large_buffers() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut behind = Vec::new();
    while let Ok(permit) = timeout(AT_ONCE, budget.reserve_command(MAX_SMALL_COMMAND_BYTES, false)).await {
        behind.push(permit);
    }
    assert!(!behind.is_empty());
    for _ in 0..BUDGET_BYTES / MAX_FRAME_BYTES {
        assert!(timeout(AT_ONCE, budget.reserve_large(MAX_FRAME_BYTES)).await.is_ok());
    }
    assert!(timeout(AT_ONCE, budget.reserve_large(BUDGET_BYTES)).await.is_ok(), "a part of it is held");
}
