use stonefold_config::{Count, DurationMicros};

use crate::retry::Retries;
use crate::site::RetryKind;

fn retries(attempts: u64, seed: u64) -> Retries {
    let (initial_backoff, max_backoff) = (DurationMicros::new(10_000), DurationMicros::new(30_000));
    Retries::new(RetryKind { max_attempts: Count::new(attempts), initial_backoff, max_backoff }, seed)
}

#[test]
fn retries_follow_retry_after_exponential_backoff_with_jitter_and_the_deadline() {
    for seed in 0..50 {
        let mut retries = retries(4, seed);
        for (attempts, longest) in [(1, 10_000), (2, 20_000), (3, 30_000)] {
            let at = retries.next_attempt(1_000, attempts, Some(50_000), u64::MAX).unwrap();
            assert!((51_000..=51_000 + longest).contains(&at), "{attempts}: {at}");
        }
        assert_eq!(retries.next_attempt(1_000, 4, None, u64::MAX), None, "that was the last attempt");
        assert_eq!(
            retries.next_attempt(1_000, 1, Some(50_000), 51_000),
            None,
            "the deadline has passed by then"
        );
    }
    let draw = |seed| retries(2, seed).next_attempt(0, 1, None, u64::MAX);
    assert_eq!(draw(3), draw(3));
    let all: std::collections::BTreeSet<_> = (0..20).map(draw).collect();
    assert!(all.len() > 10, "clients that are rejected together retry at different times");
}
