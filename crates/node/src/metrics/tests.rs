//! Tests of the metrics in the text format of Prometheus.

use super::*;
use crate::invariants::Invariant;
use summary::MAX_RECORDED;

#[test]
fn a_class_is_shown_from_zero_and_keeps_its_counts() {
    let metrics = Metrics::default();
    metrics.class("read").succeeded.increment();
    metrics.class("put");
    metrics.class("read").succeeded.increment();
    let text = metrics.text();
    for line in [
        "svc_success_total{tier=\"read\"} 2",
        "svc_success_total{tier=\"put\"} 0",
        "svc_busy_total{tier=\"read\"} 0",
        "svc_failure_total{tier=\"put\"} 0",
        "svc_backend_calls_total 0",
        "svc_inflight 0",
        "svc_hosts_listed 0",
        "svc_hosts_down 0",
        "svc_list_failures_total 0",
        "svc_reconfig_ok_total 0",
        "svc_reconfig_failed_total 0",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
}

#[test]
fn labels_are_escaped() {
    let metrics = Metrics::default();
    metrics.class("a\"b\\c\nd");
    assert!(metrics.text().contains(r#"svc_busy_total{tier="a\"b\\c\nd"} 0"#), "{}", metrics.text());
}

#[test]
fn a_request_is_in_flight_while_its_guard_lives() {
    let metrics = Arc::new(Metrics::default());
    let guards = [(); 3].map(|()| InFlightGuard::new(&metrics));
    assert!(metrics.text().contains("svc_inflight 3\n"));
    drop(guards);
    assert!(metrics.text().contains("svc_inflight 0\n"));
}

#[test]
fn disconnects_show_a_delay_quantile_in_seconds_and_their_late_attempts() {
    let metrics = Metrics::default();
    for ms in 1..=100 {
        metrics.record_disconnect(Duration::from_millis(ms), usize::from(ms > 98));
    }
    metrics.loop_lag.record(2 * MAX_RECORDED); // recorded as the maximum
    let text = metrics.text();
    for line in [
        "svc_attempts_after_leave_total 2",
        "svc_leave_seen_seconds_count 100",
        "svc_loop_lag_seconds_count 1",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
    let quantile = |name: &str| -> f64 {
        let head = format!("{name}{{quantile=\"0.99\"}} ");
        text.lines().find_map(|line| line.strip_prefix(&head)).unwrap().parse().unwrap()
    };
    assert!((0.099..0.1).contains(&quantile("svc_leave_seen_seconds")), "{text}");
    assert!((60.0..60.6).contains(&quantile("svc_loop_lag_seconds")), "{text}");
}

#[test]
fn the_time_to_ready_is_shown_once_it_is_known_and_stays() {
    let metrics = Metrics::default();
    assert!(!metrics.text().contains("svc_ready_seconds"));
    metrics.set_ready(Duration::from_millis(1_234));
    metrics.set_ready(Duration::from_secs(60));
    assert!(metrics.text().contains("# TYPE svc_ready_seconds gauge\nsvc_ready_seconds 1.234\n"));
}

#[test]
fn a_duration_counts_in_its_bucket_and_all_above() {
    let metrics = Metrics::default();
    for ms in [0, 5, 6, 400, 60_000] {
        metrics.deadline_excess.record(Duration::from_millis(ms));
    }
    let text = metrics.text();
    for (bound, count) in
        [("0.001", 1), ("0.005", 2), ("0.02", 3), ("0.15", 3), ("0.5", 4), ("5", 4), ("+Inf", 5)]
    {
        let row = format!("svc_deadline_excess_seconds_bucket{{le=\"{bound}\"}} {count}");
        assert!(text.lines().any(|line| line == row), "{row} in {text}");
    }
    assert!(text.contains("svc_deadline_excess_seconds_sum 60.411\n"));
    assert!(text.contains("svc_deadline_excess_seconds_count 5\n"));
}

#[test]
fn each_violated_invariant_shows_under_its_name() {
    for violated in Invariant::ALL {
        let metrics = Metrics::default();
        metrics.violations.record(violated, b"id");
        let text = metrics.text();
        for invariant in Invariant::ALL {
            let count = u64::from(invariant == violated);
            let row = format!("svc_invariant_violations_total{{invariant=\"{}\"}} {count}", invariant.name());
            assert!(text.lines().any(|line| line == row), "{row} in {text}");
        }
    }
}

/// Metrics that show every row, with distinct values where possible.
fn metrics_with_distinct_values() -> Metrics {
    let metrics = Metrics::default();
    let class = metrics.class("read");
    (0..3).for_each(|_| class.succeeded.increment());
    (0..2).for_each(|_| class.rejected.increment());
    class.failed.increment();
    metrics.class("put");
    metrics.record_disconnect(Duration::from_millis(20), 7);
    metrics.loop_lag.record(Duration::from_millis(3));
    metrics.stalls.record(Duration::from_millis(300));
    metrics.deadline_excess.record(Duration::from_millis(60));
    metrics.attempts_written.set(101);
    metrics.read_after_stall.set(102);
    metrics.unanswered_closes.by_client.set(103);
    metrics.unanswered_closes.by_node.set(104);
    metrics.unsolicited_replies.set(105);
    metrics.early_reuses.set(106);
    metrics.discarded_commands.set(119);
    metrics.incomplete_held_values.set(120);
    metrics.repeated_replies.set(121);
    metrics.turn_waits.set(125);
    metrics.repeated_writes.set(124);
    metrics.opened_connections.set(122);
    metrics.unbuffered_values.set(123);
    metrics.listed_servers.set(107);
    metrics.unavailable_servers.set(108);
    metrics.failed_polls.set(109);
    metrics.reloads.set(110);
    metrics.rejected_reloads.set(111);
    metrics.violations.record(Invariant::NoUnsafeRetry, b"id");
    metrics.set_ready(Duration::from_millis(1_500));
    let membership = Arc::new(MembershipMetrics::default());
    membership.record_sent(61);
    membership.record_received(63);
    membership.record_received(64);
    membership.record_rejected(stonefold_membership::CodecError::UnknownKey);
    membership.send_errors.increment();
    metrics.show_membership(membership);
    metrics
}

#[test]
fn the_text_of_all_metrics_equals_the_recorded_one() {
    assert_eq!(metrics_with_distinct_values().text(), include_str!("../../tests/fixtures/stats.txt"));
}
