//! Limits of a publisher's session.

use crate::freshness::Millis;

/// The limits of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The sustained rate at which a subscriber is sent to, in bytes a second with headers.
    pub bytes_per_second: u64,
    /// Bytes that may be sent at once after an idle time, beyond the sustained rate.
    pub burst_bytes: u64,
    /// Further bytes that may be sent for purges only.
    pub purge_reserve_bytes: u64,
    /// The most bytes of records and purges in a frame.
    pub max_payload_bytes: usize,
    /// The shortest time between two frames, in ms: changes within it go out together.
    pub min_frame_interval: Millis,
    /// The most bytes in flight, sent but not acknowledged.
    pub max_in_flight_bytes: u64,
    /// A subscriber that acknowledges nothing of what is in flight for this long is disconnected, in ms.
    pub ack_timeout: Millis,
    /// The longest time between two frames, in ms.
    pub heartbeat_interval: Millis,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            bytes_per_second: 2_200,
            burst_bytes: 96 << 10,
            purge_reserve_bytes: 16 << 10,
            max_payload_bytes: 8 << 10,
            min_frame_interval: 100,
            max_in_flight_bytes: 64 << 10,
            ack_timeout: 8_000,
            heartbeat_interval: 1_000,
        }
    }
}
