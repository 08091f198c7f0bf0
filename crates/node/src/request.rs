//! A client's request and its response, independent of the protocols in which they are sent.

use std::borrow::Cow;
use std::str;
use std::time::Duration;

use bytes::Bytes;
use stonefold_balancer::Micros;
use stonefold_proto::metadata::metadata_value;

use crate::memory_budget::{BufferedValue, MemoryPermit};
use crate::relay::ValueStream;

/// The part of a client's timeout that is reserved for the transfer of the response and the granularity of timers.
pub(crate) const RESPONSE_RESERVE: Duration = Duration::from_millis(5);

/// The metadata field that names the class of a request.
const CLASS_FIELD: &str = "c";
/// The metadata field that names the tenant of a request.
const TENANT_FIELD: &str = "t";
/// The metadata field that states how long the sender will wait, in milliseconds.
pub(crate) const TIMEOUT_FIELD: &str = "d";
/// The start of [`TIMEOUT_FIELD`] in the metadata.
const TIMEOUT_PREFIX: &str = "d=";

/// A client's request.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    pub(crate) key: String,
    /// The id that the client gave the request, forwarded unchanged.
    pub(crate) id: Bytes,
    /// Fields of the form `name=value`, separated by commas.
    pub(crate) metadata: Bytes,
    /// The value that a write stores; `None` for a read.
    pub(crate) value: Option<Bytes>,
    /// The permit for the memory of a large value.
    pub(crate) value_permit: Option<MemoryPermit>,
    /// How long the client will wait, counted from the arrival of the request.
    pub(crate) timeout: Micros,
}

impl ClientRequest {
    /// The id as text, for logs.
    pub(crate) fn id_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }

    /// The name of the class, if the metadata has one.
    pub(crate) fn class_name(&self) -> Option<&str> {
        self.metadata_value(CLASS_FIELD)
    }

    /// The name of the tenant, if the metadata has one.
    pub(crate) fn tenant_name(&self) -> Option<&str> {
        self.metadata_value(TENANT_FIELD)
    }

    /// The value of the metadata field with this name.
    pub(crate) fn metadata_value(&self, name: &str) -> Option<&str> {
        metadata_value(str::from_utf8(&self.metadata).ok()?, name)
    }

    /// The metadata as received, except that `d` states the time left, in whole milliseconds.
    ///
    /// Must be called right before an attempt is written. A server that is given more time than is left would still
    /// work on the request after the client has stopped waiting.
    pub(crate) fn metadata_with_time_left(&self, left: Duration) -> Vec<u8> {
        let time_left_field = format!("{TIMEOUT_PREFIX}{}", left.as_millis());
        let fields = self.metadata.split(|&byte| byte == b',').map(|field| {
            if field.starts_with(TIMEOUT_PREFIX.as_bytes()) { time_left_field.as_bytes() } else { field }
        });
        fields.collect::<Vec<_>>().join(&b","[..])
    }
}

/// The final response to a request.
pub(crate) enum Response {
    /// The value.
    Value(BufferedValue),
    /// The value, forwarded while it arrives from the server.
    Stream(ValueStream),
    /// The request was rejected without effect. The client should wait this long before a retry, if it is not 0.
    Rejected { retry_after: Micros },
    /// The request failed, and may have had its effect or not.
    Failed,
}

#[cfg(test)]
mod tests;
