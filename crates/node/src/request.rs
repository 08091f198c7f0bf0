//! A client's request and its response, independent of the protocol they are read from and written to.

use std::borrow::Cow;
use std::str;
use std::time::Duration;

use bytes::Bytes;
use stonefold_balancer::Micros;
use stonefold_proto::metadata::metadata_value;

use crate::relay::ValueStream;

/// Part of a client's time that is reserved for the way of the response and the granularity of timers.
pub(crate) const RESPONSE_RESERVE: Duration = Duration::from_millis(5);

/// The metadata field that names the class of a request.
const CLASS_FIELD: &str = "c";
/// The metadata field that names the tenant of a request.
const TENANT_FIELD: &str = "t";
/// The metadata field that states how long the sender will wait, in milliseconds.
pub(crate) const TIMEOUT_FIELD: &str = "d";
/// The start of that field in the metadata.
const TIMEOUT_PREFIX: &str = "d=";

/// A client's request.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    pub(crate) key: String,
    /// The id that the client gave it, forwarded as it is.
    pub(crate) id: Bytes,
    /// Names and values, as `name=value` parts separated by commas.
    pub(crate) metadata: Bytes,
    /// What a write stores; nothing for a read.
    pub(crate) value: Option<Bytes>,
    /// How long the client will wait.
    pub(crate) timeout: Micros,
}

impl ClientRequest {
    /// Its id as text, for logs.
    pub(crate) fn id_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }

    /// The name of its class, if it has one.
    pub(crate) fn class_name(&self) -> Option<&str> {
        self.metadata_value(CLASS_FIELD)
    }

    /// The name of its tenant, if it has one.
    pub(crate) fn tenant_name(&self) -> Option<&str> {
        self.metadata_value(TENANT_FIELD)
    }

    /// A metadata value by its name.
    pub(crate) fn metadata_value(&self, name: &str) -> Option<&str> {
        metadata_value(str::from_utf8(&self.metadata).ok()?, name)
    }

    /// The metadata as received, except that `d` states the time left, in whole milliseconds.
    ///
    /// Must be called right before an attempt is written: a server that gets more time than is left works for a client
    /// that has given up.
    pub(crate) fn metadata_with_time_left(&self, left: Duration) -> Vec<u8> {
        let time_left = format!("{TIMEOUT_PREFIX}{}", left.as_millis());
        let fields = self.metadata.split(|&byte| byte == b',').map(|field| {
            if field.starts_with(TIMEOUT_PREFIX.as_bytes()) { time_left.as_bytes() } else { field }
        });
        fields.collect::<Vec<_>>().join(&b","[..])
    }
}

/// The final response to a request.
pub(crate) enum Response {
    /// The value.
    Value(Bytes),
    /// The value as it arrives from the server.
    Stream(ValueStream),
    /// Rejected without effect; the client should wait this long before a retry, if it is not 0.
    Rejected { retry_after: Micros },
    /// Failed, with no promise about the effect.
    Failed,
}

#[cfg(test)]
mod tests;
