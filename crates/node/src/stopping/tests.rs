use super::*;

#[test]
fn all_that_is_read_is_answered_before_the_kill_however_short_or_long_deadlines_are() {
    for (longest, succeeded) in [(200, false), (200, true), (3_000, false), (8_000, false), (0, false)] {
        let plan = Plan::new(ms(longest), succeeded);
        let killed = ms(longest.min(3_000) + 700);
        assert!(plan.silent < ms(700), "later requests would be lost with the kill: {plan:?}");
        assert!(plan.accepts >= ms(400) || succeeded, "connections come for so long: {plan:?}");
        assert!(plan.accepts < plan.silent && plan.answers < plan.end && plan.end < killed, "{plan:?}");
        assert!(plan.answers >= ms(longest.min(3_000)), "what came before has its time: {plan:?}");
    }
}
