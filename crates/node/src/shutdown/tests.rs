//! The order of the steps of a shutdown.

use super::*;

/// Guards against requests that are lost because the platform kills the process before they are answered.
#[test]
fn every_request_read_is_answered_before_the_kill_for_any_deadline() {
    for (longest, has_successor) in [(200, false), (200, true), (3_000, false), (8_000, false), (0, false)] {
        let schedule = ShutdownSchedule::new(ms(longest), has_successor);
        let killed_at = ms(longest.min(3_000) + 700);
        let ShutdownSchedule { accept_until, close_unused_at, answer_by, close_all_at } = schedule;
        assert!(close_unused_at < ms(700), "a request after 700 ms would be lost at the kill: {schedule:?}");
        assert!(accept_until >= ms(400) || has_successor, "new connections arrive for 400 ms: {schedule:?}");
        assert!(
            accept_until < close_unused_at && answer_by < close_all_at && close_all_at < killed_at,
            "{schedule:?}"
        );
        assert!(
            answer_by >= ms(longest.min(3_000)),
            "a request before the stop has its whole deadline: {schedule:?}"
        );
    }
}
