use super::*;

#[test]
fn every_request_read_is_answered_before_the_kill_for_any_deadline() {
    for (longest, has_successor) in [(200, false), (200, true), (3_000, false), (8_000, false), (0, false)] {
        let schedule = ShutdownSchedule::new(ms(longest), has_successor);
        let killed_at = ms(longest.min(3_000) + 700);
        let ShutdownSchedule { accept_until, close_unused_at, answer_by, exit_at } = schedule;
        assert!(close_unused_at < ms(700), "later requests would be lost with the kill: {schedule:?}");
        assert!(accept_until >= ms(400) || has_successor, "connections arrive for so long: {schedule:?}");
        assert!(accept_until < close_unused_at && answer_by < exit_at && exit_at < killed_at, "{schedule:?}");
        assert!(answer_by >= ms(longest.min(3_000)), "earlier requests have their time: {schedule:?}");
    }
}
