//! A client's request and its response, independent of the protocol they are read from and written to.

use std::str;
use std::time::Duration;

use bytes::Bytes;
use stonefold_balancer::Micros;
use stonefold_proto::metadata;

use crate::relay::Stream;

/// Part of a client's time that is reserved for the way of the response and the granularity of timers.
pub const RESPONSE_RESERVE: Duration = Duration::from_millis(5);

/// The metadata field that states the time left, in whole milliseconds.
const TIME_LEFT_FIELD: &str = "d=";

/// A client's request.
#[derive(Debug)]
pub struct ClientRequest {
    pub key: String,
    /// The id that the client gave it, forwarded as it is.
    pub id: Bytes,
    /// Names and values, as `name=value` parts separated by commas.
    pub metadata: Bytes,
    /// What a write stores; nothing for a read.
    pub value: Option<Bytes>,
    /// How long the client will wait.
    pub timeout: Micros,
}

impl ClientRequest {
    /// A metadata value by its name.
    pub fn metadata_value(&self, name: &str) -> Option<&str> {
        metadata::metadata_value(str::from_utf8(&self.metadata).ok()?, name)
    }

    /// The metadata as received, except that `d` states the time left, in whole milliseconds.
    ///
    /// To be called right before an attempt is written: time spent on earlier attempts, or on connecting, is gone,
    /// and a server that is told more works on for a client that has given up.
    pub fn metadata_with_time_left(&self, left: Duration) -> Vec<u8> {
        let time_left = format!("{TIME_LEFT_FIELD}{}", left.as_millis());
        let fields = self.metadata.split(|&byte| byte == b',').map(|field| {
            if field.starts_with(TIME_LEFT_FIELD.as_bytes()) { time_left.as_bytes() } else { field }
        });
        fields.collect::<Vec<_>>().join(&b","[..])
    }
}

/// The final response to a request.
pub enum Response {
    /// The value.
    Value(Bytes),
    /// The value as it arrives from the server.
    Stream(Stream),
    /// Rejected without effect; the client should wait this long before a retry, if it is not 0.
    Rejected { retry_after: Micros },
    /// Failed, with no promise about the effect.
    Failed,
}

#[cfg(test)]
mod tests;
