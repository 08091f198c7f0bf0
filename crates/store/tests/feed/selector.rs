//! The order in which a subscriber tries its publishers, and the backoff between attempts.

use std::collections::{BTreeMap, BTreeSet};

use stonefold_store::feed::selector::{PublisherSelector, preference_order};

#[test]
fn the_subscribers_of_a_lost_relay_spread_over_all_others() {
    let tiers: Vec<Vec<String>> =
        vec![(0..10).map(|n| format!("relay-{n}")).collect(), vec!["member".into()]];
    let mut second_choices: BTreeMap<String, u32> = BTreeMap::new();
    let mut first_choices: BTreeMap<String, u32> = BTreeMap::new();
    for subscriber in 0..9_000u64 {
        let order = preference_order(subscriber, &tiers);
        assert_eq!(order.last().unwrap(), "member");
        *first_choices.entry(order[0].clone()).or_default() += 1;
        if order[0] == "relay-3" {
            *second_choices.entry(order[1].clone()).or_default() += 1;
        }
    }
    assert!(first_choices.values().all(|&n| (750..1_050).contains(&n)), "{first_choices:?}");
    assert!(
        second_choices.len() == 9 && second_choices.values().all(|&n| (60..140).contains(&n)),
        "{second_choices:?}"
    );
}

#[test]
fn reconnect_backoff_has_full_jitter_and_a_maximum() {
    let mut pauses_by_attempt: Vec<Vec<u64>> = vec![Vec::new(); 9];
    for seed in 0..400 {
        let mut selector = PublisherSelector::new(seed, &[vec!["a".into()]], seed);
        for pauses in &mut pauses_by_attempt {
            selector.on_failure(0, 0);
            pauses.push(selector.next_attempt_at());
        }
    }
    for (n, pauses) in pauses_by_attempt.iter().enumerate() {
        let max = (200 << n).min(8_000);
        let (shortest, longest) = (pauses.iter().min().unwrap(), pauses.iter().max().unwrap());
        assert!(
            *shortest < max / 10 && (max * 9 / 10..=max).contains(longest),
            "attempt {n}: pauses of {shortest} to {longest} ms, of at most {max} ms"
        );
    }
    // When all relays of the first tier decline, the member of the next tier is tried.
    let mut selector = PublisherSelector::new(1, &[vec!["a".into(), "b".into()], vec!["member".into()]], 1);
    let mut tried = BTreeSet::new();
    for _ in 0..3 {
        let index = selector.select(100_000).unwrap();
        tried.insert(selector.addr(index).to_owned());
        selector.on_declined(index, 100_000);
    }
    assert_eq!(tried.len(), 3, "{tried:?}");
}
