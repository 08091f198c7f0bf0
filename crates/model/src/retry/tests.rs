use stonefold_config::{Count, DurationMicros};

use super::*;

fn retries(tries: u64, seed: u64) -> Retries {
    let (pause, longest) = (DurationMicros::new(10_000), DurationMicros::new(30_000));
    Retries::new(RetryKind { tries: Count::new(tries), pause, longest }, seed)
}

#[test]
fn they_wait_as_told_spread_over_a_pause_that_doubles_and_end_with_their_time() {
    for seed in 0..50 {
        let mut retries = retries(4, seed);
        for (tries, longest) in [(1, 10_000), (2, 20_000), (3, 30_000)] {
            let at = retries.again(1_000, tries, Some(50_000), u64::MAX).unwrap();
            assert!((51_000..=51_000 + longest).contains(&at), "{tries}: {at}");
        }
        assert_eq!(retries.again(1_000, 4, None, u64::MAX), None, "that was its last");
        assert_eq!(retries.again(1_000, 1, Some(50_000), 51_000), None, "its time is over by then");
    }
    let draw = |seed| retries(2, seed).again(0, 1, None, u64::MAX);
    assert_eq!(draw(3), draw(3));
    let all: std::collections::BTreeSet<_> = (0..20).map(draw).collect();
    assert!(all.len() > 10, "refused together, they come apart");
}
