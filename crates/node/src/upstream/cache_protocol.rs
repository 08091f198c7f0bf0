//! The RESP2 messages exchanged with cache servers.

use std::str;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::Outcome;
use stonefold_proto::resp::{
    MalformedFrame, append_array_header, append_bulk_string, append_bulk_string_header,
};

use super::attempt::AttemptResult;
use crate::memory_budget::BufferedValue;
use crate::relay::{MAX_BUFFERED_BYTES, MAX_VALUE_BYTES};
use crate::request::ClientRequest;

/// The start of a reply with a value, which is an array of the value, the cache status and the load report.
const VALUE_REPLY_PREFIX: &[u8] = b"*3\r\n$";
/// The number of bytes in which the length of a value must end: its digits and the first byte of the line break.
const MAX_LENGTH_FIELD_BYTES: usize = 10;

/// Encodes a command up to its value. It is forwarded as it arrived, except that it states `remaining`, the time that
/// the node will wait.
pub(crate) fn command_header(request: &ClientRequest, remaining: Duration) -> Bytes {
    let metadata = request.metadata_with_time_left(remaining);
    let (name, elements) = match request.value {
        Some(_) => ("CACHE.SET", 5),
        None => ("CACHE.GET", 4),
    };
    let mut buffer = BytesMut::new();
    append_array_header(&mut buffer, elements);
    for argument in [name.as_bytes(), request.key.as_bytes(), &request.id[..], &metadata[..]] {
        append_bulk_string(&mut buffer, argument);
    }
    if let Some(value) = &request.value {
        append_bulk_string_header(&mut buffer, value.len());
    }
    buffer.freeze()
}

/// The complete header of a value at the start of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ValueHeader {
    /// The length of the header itself, in bytes.
    pub(crate) header_length: usize,
    /// The length of the value, in bytes.
    pub(crate) value_length: usize,
}

impl ValueHeader {
    /// Parses the start of a reply. `None` if the reply has no value of at most [`MAX_VALUE_BYTES`], or too few bytes to
    /// tell.
    pub(crate) fn parse(reply: &[u8]) -> Option<ValueHeader> {
        let rest = reply.strip_prefix(VALUE_REPLY_PREFIX)?;
        let digits = rest.iter().take(MAX_LENGTH_FIELD_BYTES).position(|&byte| byte == b'\r')?;
        let value_length: usize = str::from_utf8(&rest[..digits]).ok()?.parse().ok()?;
        let is_complete = rest[digits..].starts_with(b"\r\n");
        let header_length = VALUE_REPLY_PREFIX.len() + digits + 2;
        (value_length <= MAX_VALUE_BYTES && is_complete)
            .then_some(ValueHeader { header_length, value_length })
    }
}

/// Interprets a reply. After an error that the protocol does not define, the request may have been executed.
///
/// # Errors
///
/// Fails if the frame is none of the protocol's replies. The load report is ignored and may be any frame.
pub(crate) fn parse_reply(frame: BytesFrame) -> Result<AttemptResult, MalformedFrame> {
    match frame {
        BytesFrame::Array(elements) => {
            let [value, cache_status, _load_report] =
                <[_; 3]>::try_from(elements).map_err(|_| MalformedFrame)?;
            let cache_hit = parse_cache_status(&cache_status)?;
            match value {
                BytesFrame::BulkString(value) if value.len() <= MAX_BUFFERED_BYTES => {
                    let value = BufferedValue { bytes: value, permit: None };
                    Ok(AttemptResult { outcome: Outcome::Success, value, cache_hit })
                }
                BytesFrame::Null => Ok(AttemptResult { cache_hit, ..AttemptResult::of(Outcome::CacheMiss) }),
                _ => Err(MalformedFrame),
            }
        }
        BytesFrame::Error(text) => match text.split(' ').next() {
            Some("BUSY") => Ok(AttemptResult::of(Outcome::Rejected)),
            _ => Ok(AttemptResult::of(Outcome::ServerError)),
        },
        _ => Err(MalformedFrame),
    }
}

/// Whether the cache had the value, if the status says so.
fn parse_cache_status(frame: &BytesFrame) -> Result<Option<bool>, MalformedFrame> {
    match frame {
        BytesFrame::Null => Ok(None),
        BytesFrame::BulkString(status) => match &status[..] {
            b"hit" => Ok(Some(true)),
            b"miss" | b"pending" => Ok(Some(false)),
            _ => Err(MalformedFrame),
        },
        _ => Err(MalformedFrame),
    }
}
