//! The earliest arrival of bytes that are read before, at and after a late heartbeat.

use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn bytes_read_after_a_stall_may_have_arrived_at_its_start() {
    let monitor = StallMonitor::new();
    let start = Instant::now();
    assert_eq!(monitor.heartbeat(start), None);
    let in_time = start + HEARTBEAT_INTERVAL + HEARTBEAT_TOLERANCE;
    assert_eq!(monitor.earliest_arrival(in_time), in_time);
    // The bytes are read once before the late heartbeat has run, and once after it.
    let resumed = start + 130 * MS;
    assert_eq!(monitor.earliest_arrival(resumed), start);
    assert_eq!(monitor.heartbeat(resumed), Some(130 * MS));
    assert_eq!(monitor.earliest_arrival(resumed + MS), start);
    // A heartbeat in time shows that all bytes from the stall have been read.
    assert_eq!(monitor.heartbeat(resumed + HEARTBEAT_INTERVAL), None);
    assert_eq!(
        monitor.earliest_arrival(resumed + HEARTBEAT_INTERVAL + MS),
        resumed + HEARTBEAT_INTERVAL + MS
    );
}

#[test]
fn second_stall_in_a_row_starts_at_the_end_of_the_first() {
    let monitor = StallMonitor::new();
    let start = Instant::now();
    monitor.heartbeat(start);
    monitor.heartbeat(start + 100 * MS);
    assert_eq!(monitor.earliest_arrival(start + 200 * MS), start + 100 * MS);
    assert_eq!(monitor.heartbeat(start + 200 * MS), Some(100 * MS));
}
