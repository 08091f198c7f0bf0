//! A broken rule that is planted is counted, under its own name alone.

use tokio::time::Instant;

use super::*;
use crate::clients::Due;

fn counts(violations: &Violations) -> Vec<u64> {
    Invariant::ALL.into_iter().map(|invariant| violations.0[invariant as usize].get()).collect()
}

#[test]
fn each_rule_has_a_count_of_its_own_which_is_shown() {
    for (place, broken) in Invariant::ALL.into_iter().enumerate() {
        let violations = Violations::default();
        violations.note(broken, b"id");
        let expected: Vec<u64> = (0..Invariant::ALL.len()).map(|n| u64::from(n == place)).collect();
        assert_eq!(counts(&violations), expected);
        let mut text = String::new();
        violations.text(&mut text);
        assert!(text.contains(&format!("invariant=\"{}\"}} 1\n", broken.name())), "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_late_beyond_the_slack_alone() {
    let violations = Violations::default();
    let due = Due { at: Instant::now() + Duration::from_millis(100), request: "id".into() };
    tokio::time::advance(Duration::from_millis(100) + ANSWER_SLACK).await;
    due.check(&violations);
    assert_eq!(counts(&violations).iter().sum::<u64>(), 0);
    tokio::time::advance(Duration::from_millis(1)).await;
    due.check(&violations);
    assert_eq!(violations.0[Invariant::AnswerInTime as usize].get(), 1);
}
