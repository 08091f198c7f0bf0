//! How violations of invariants are counted.

use tokio::time::Instant;

use super::*;
use crate::clients::ReplyDeadline;

fn counts(violations: &Violations) -> Vec<u64> {
    Invariant::ALL.into_iter().map(|invariant| violations.0[invariant as usize].get()).collect()
}

#[test]
fn violation_is_counted_under_its_own_invariant_alone() {
    for (index, violated) in Invariant::ALL.into_iter().enumerate() {
        let violations = Violations::default();
        violations.record(violated, b"id");
        let expected: Vec<u64> = (0..Invariant::ALL.len()).map(|other| u64::from(other == index)).collect();
        assert_eq!(counts(&violations), expected);
        let shown: Vec<&str> =
            violations.counts().filter(|(_, count)| count.get() == 1).map(|(name, _)| name).collect();
        assert_eq!(shown, [violated.name()]);
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_late_only_beyond_the_slack() {
    let violations = Violations::default();
    let deadline = ReplyDeadline { at: Instant::now() + Duration::from_millis(100), request: "id".into() };
    tokio::time::advance(Duration::from_millis(100) + ANSWER_SLACK).await;
    deadline.check(&violations);
    assert_eq!(counts(&violations).iter().sum::<u64>(), 0);
    tokio::time::advance(Duration::from_millis(1)).await;
    deadline.check(&violations);
    assert_eq!(violations.0[Invariant::AnswerInTime as usize].get(), 1);
}
