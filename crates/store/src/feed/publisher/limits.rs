//! Limits of a publisher's session.

use crate::freshness::Millis;

/// The limits of a publisher's session with one subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLimits {
    /// The sustained rate of sending to the subscriber, in bytes per second, headers included.
    pub bytes_per_second: u64,
    /// The most bytes that may be sent in a burst above the sustained rate: the capacity of the token bucket.
    pub burst_bytes: u64,
    /// Further bytes that may be sent for purges alone: the most by which they may overdraw the token bucket.
    pub purge_reserve_bytes: u64,
    /// The most bytes of records and purges in one frame.
    pub max_payload_bytes: usize,
    /// The shortest time between two frames, in ms. Changes that occur within it are sent in one frame.
    pub min_frame_interval: Millis,
    /// The number of bytes in flight (sent but not acknowledged) at which sending stops.
    pub max_in_flight_bytes: u64,
    /// How long a subscriber with bytes in flight may acknowledge nothing before it is disconnected, in ms.
    pub ack_timeout: Millis,
    /// The longest time between two frames, in ms. With nothing to send, the frame is a heartbeat.
    pub heartbeat_interval: Millis,
}

impl Default for SessionLimits {
    fn default() -> SessionLimits {
        SessionLimits {
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
