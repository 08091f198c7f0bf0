//! Which replies may be copies.

use super::*;

fn copies(last: ReplyIdentity, metrics: &Metrics) -> CopyDetector<'_> {
    let request = RequestIdentity { id_hash: 1, is_write: false, is_idempotent: true };
    CopyDetector { last: Some(LastExchange { request, reply: last }), metrics }
}

/// Guards against a copy that is not recognized because one of both replies was relayed.
#[test]
fn copies_are_recognized_however_they_are_read() {
    let metrics = Metrics::default();
    let is_copy = |last, reply| copies(last, &metrics).is_copy(reply);
    let (value, same_length) = (ReplyIdentity::buffered(b"value"), ReplyIdentity::buffered(b"other"));
    assert!(is_copy(value, value) && !is_copy(value, same_length));
    assert!(is_copy(value, ReplyIdentity::relayed(5)) && is_copy(ReplyIdentity::relayed(5), value));
    assert!(!is_copy(value, ReplyIdentity::relayed(6)));
    let miss = ReplyIdentity::Miss;
    assert!(is_copy(miss, miss) && !is_copy(miss, value) && !is_copy(value, miss));
    assert!(!is_copy(miss, ReplyIdentity::relayed(5)));
    assert!(copies(value, &metrics).is_relayed_copy(5) && !copies(miss, &metrics).is_relayed_copy(5));
    assert_eq!(metrics.unbuffered_values.get(), 2);
    assert!(!is_copy(ReplyIdentity::error(b"BUSY"), ReplyIdentity::error(b"BUSY 5")));
}

/// Guards against a copy of a rejection by which a request that may have run counts as one that has not.
#[test]
fn reply_that_may_be_a_copy_promises_nothing() {
    let metrics = Metrics::default();
    for (outcome, expected) in [
        (Outcome::Rejected, Outcome::ServerError),
        (Outcome::Success, Outcome::ServerError),
        (Outcome::CacheMiss, Outcome::CacheMiss),
    ] {
        let identity = ReplyIdentity::error(b"text");
        let reply = ServerReply { result: AttemptResult::of(outcome), identity, reusable: true };
        let checked = copies(identity, &metrics).checked(reply);
        assert!(checked.result.outcome == expected && !checked.reusable);
    }
    assert_eq!(metrics.repeated_replies.get(), 3);
}
