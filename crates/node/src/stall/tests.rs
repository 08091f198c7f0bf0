//! When bytes that are read around a late heartbeat may have arrived.

use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn bytes_read_after_a_stall_may_have_arrived_at_its_start() {
    let monitor = StallMonitor::new();
    let start = Instant::now();
    assert_eq!(monitor.heartbeat(start), None);
    let in_time = start + HEARTBEAT_INTERVAL + HEARTBEAT_TOLERANCE;
    assert_eq!(monitor.earliest_arrival(in_time), in_time);
    // Before the late heartbeat has run, and after it.
    let resumed = start + 130 * MS;
    assert_eq!(monitor.earliest_arrival(resumed), start);
    assert_eq!(monitor.heartbeat(resumed), Some(130 * MS));
    assert_eq!(monitor.earliest_arrival(resumed + MS), start);
    // A heartbeat in time shows that all was read.
    assert_eq!(monitor.heartbeat(resumed + HEARTBEAT_INTERVAL), None);
    assert_eq!(
        monitor.earliest_arrival(resumed + HEARTBEAT_INTERVAL + MS),
        resumed + HEARTBEAT_INTERVAL + MS
    );
}

#[test]
fn a_stall_after_a_stall_begins_where_the_first_one_ended() {
    let monitor = StallMonitor::new();
    let start = Instant::now();
    monitor.heartbeat(start);
    monitor.heartbeat(start + 100 * MS);
    assert_eq!(monitor.earliest_arrival(start + 200 * MS), start + 100 * MS);
    assert_eq!(monitor.heartbeat(start + 200 * MS), Some(100 * MS));
}
