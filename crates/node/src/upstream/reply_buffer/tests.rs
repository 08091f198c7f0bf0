//! Replies with and without memory to buffer them.

use super::*;
use crate::memory_budget::{MemoryBudget, ReplyReservation};
use crate::reply_turn::ReplyTurn;

/// Enough for two of the longest replies that are buffered.
const BUDGET_BYTES: usize = 4 * MAX_REPLY_BYTES;

fn relay(budget: &MemoryBudget, reserved: bool) -> RelayContext {
    let permit = reserved.then(|| budget.try_reserve_reply(MAX_REPLY_BYTES).expect("memory for a reply"));
    RelayContext {
        budget: budget.clone(),
        reservation: ReplyReservation::new(permit),
        turn: ReplyTurn::default(),
        on_start: Box::new(|_| {}),
    }
}

/// A buffer that has read the header of a value of this length and its first byte.
fn started(length: usize) -> ReplyBuffer {
    let mut buffer = ReplyBuffer::new();
    buffer.bytes.extend_from_slice(format!("*3\r\n${length}\r\nx").as_bytes());
    buffer
}

fn is_read(step: Result<NextStep, Outcome>) -> bool {
    matches!(step, Ok(NextStep::Read))
}

/// Guards against replies that are buffered without memory for them, and against ones that wait for it.
#[test]
fn reply_without_memory_is_relayed() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut one, mut two, mut three) = (started(60_000), started(60_000), started(60_000));
    assert!(is_read(one.next_step(&relay(&budget, false))));
    assert!(is_read(two.next_step(&relay(&budget, false))));
    let step = three.next_step(&relay(&budget, false));
    assert!(matches!(step, Ok(NextStep::Relay { length: 60_000, first }) if &first[..] == b"x"));
    drop(one);
    assert!(is_read(started(60_000).next_step(&relay(&budget, false))), "memory is not returned");
}

/// Guards against a reservation that is counted a second time when the reply has come, or is kept in full.
#[test]
fn reserved_memory_is_used_for_the_reply_and_the_rest_of_it_is_returned() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let reserved = [relay(&budget, true), relay(&budget, true)];
    assert!(budget.try_reserve_reply(1).is_none());
    let mut buffers = [started(10_000), started(10_000)];
    for (buffer, relay) in buffers.iter_mut().zip(&reserved) {
        assert!(is_read(buffer.next_step(relay)));
    }
    assert!(budget.try_reserve_reply(MAX_REPLY_BYTES).is_some());
}

/// Guards against a reply that starts like no value and is buffered beyond what is accounted for the request.
#[test]
fn reply_of_another_form_needs_memory_beyond_a_short_one() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let long_report = format!("*3\r\n$2\r\nok\r\n$3\r\nhit\r\n${}\r\n", MAX_COVERED_REPLY_BYTES);
    let with_report = || {
        let mut buffer = ReplyBuffer::new();
        buffer.bytes.extend_from_slice(long_report.as_bytes());
        buffer
    };
    let (mut one, mut two) = (with_report(), with_report());
    assert!(is_read(one.next_step(&relay(&budget, false))) && is_read(two.next_step(&relay(&budget, false))));
    let step = with_report().next_step(&relay(&budget, false));
    assert!(matches!(step, Err(Outcome::ServerError)));
}
