//! After which replies a connection rests for how long.

use super::*;

const READ: RequestIdentity = RequestIdentity { id_hash: 1, is_write: false, is_idempotent: true };
const WRITE: RequestIdentity = RequestIdentity { id_hash: 2, is_write: true, is_idempotent: false };
const RECOGNIZED: Rest = Rest { time: SHORT_REST, compares: true };
const NOT_RECOGNIZED: Rest = Rest { time: LONG_REST, compares: false };

fn exchange(request: RequestIdentity, reply: ReplyIdentity) -> LastExchange {
    LastExchange { request, reply }
}

/// A history after enough distinct values.
fn distinct_history() -> ReplyHistory {
    let mut replies = ReplyHistory::new();
    for number in 0..DISTINCT_VALUES {
        let value = ReplyIdentity::buffered(number.to_string().as_bytes());
        replies.record(&exchange(RequestIdentity { id_hash: number as u64, ..READ }, value));
    }
    replies
}

/// Guards against a copy of a value that would be served, or equal values that would be rejected, where equal values are
/// nothing unusual.
#[test]
fn connections_rest_for_long_until_values_are_distinct() {
    let value = ReplyIdentity::buffered(b"value");
    let rest = |replies: &ReplyHistory| replies.rest(&exchange(READ, value), &READ);
    assert_eq!(rest(&ReplyHistory::new()), NOT_RECOGNIZED);
    let mut replies = distinct_history();
    assert_eq!(rest(&replies), RECOGNIZED);
    replies.record(&exchange(READ, value));
    replies.record(&exchange(READ, value)); // another attempt of the same request
    assert_eq!(rest(&replies), RECOGNIZED);
    replies.record(&exchange(WRITE, value));
    assert_eq!(rest(&replies), NOT_RECOGNIZED);
}

/// Guards against a write that fails, or counts as not executed, because of a reply that says nothing about it.
#[test]
fn request_that_must_not_be_repeated_follows_a_distinct_reply_only() {
    let replies = distinct_history();
    let rest = |last, reply, next| replies.rest(&exchange(last, reply), &next);
    let value = ReplyIdentity::relayed(100_000);
    assert_eq!(rest(READ, value, WRITE), RECOGNIZED);
    assert_eq!(rest(WRITE, value, WRITE), NOT_RECOGNIZED);
    assert_eq!(rest(WRITE, value, READ), RECOGNIZED);
    assert_eq!(rest(READ, ReplyIdentity::Miss, READ), RECOGNIZED);
    assert_eq!(rest(READ, ReplyIdentity::Miss, WRITE), NOT_RECOGNIZED);
    assert_eq!(rest(READ, ReplyIdentity::error(b"BUSY"), READ), NOT_RECOGNIZED);
}
