//! The RESP2 messages exchanged with cache servers.

use std::str;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::Outcome;
use stonefold_proto::resp::{
    MalformedFrame, append_array_header, append_bulk_string, append_bulk_string_header,
};

use super::attempt::AttemptResult;
use crate::relay::{MAX_BUFFERED_BYTES, MAX_VALUE_BYTES};
use crate::request::ClientRequest;

/// The start of a reply with a value: an array of value, cache status and load report.
const VALUE_REPLY_PREFIX: &[u8] = b"*3\r\n$";
/// The most digits that the length of a value has, and the line break after them.
const MAX_LENGTH_DIGITS: usize = 10;

/// Encodes a command up to its value: as it arrived, except for the time that the node will wait.
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

/// How the bytes of a reply that have been read so far begin.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReplyStart {
    /// With a large value of this many bytes, whose header has been taken out of the buffer. Its first byte is there.
    LargeValue { length: usize },
    /// With the complete header of a large value, and no byte of the value yet.
    LargeValueAwaited,
    /// With any other reply, or with too little to tell.
    Other,
}

/// Determines how a reply begins, and takes the header of a large value out of the buffer.
pub(crate) fn take_reply_start(buffer: &mut BytesMut) -> ReplyStart {
    let Some((header, length)) = large_value_header(buffer) else { return ReplyStart::Other };
    // The attempt wins with the first bytes of the value, so that the header alone is not enough.
    if buffer.len() == header {
        return ReplyStart::LargeValueAwaited;
    }
    buffer.advance(header);
    ReplyStart::LargeValue { length }
}

/// The lengths of the header of a large value, and of the value.
fn large_value_header(reply: &[u8]) -> Option<(usize, usize)> {
    let rest = reply.strip_prefix(VALUE_REPLY_PREFIX)?;
    let digits = rest.iter().take(MAX_LENGTH_DIGITS).position(|&byte| byte == b'\r')?;
    let length = str::from_utf8(&rest[..digits]).ok()?.parse().ok()?;
    let is_large = (MAX_BUFFERED_BYTES + 1..=MAX_VALUE_BYTES).contains(&length);
    let is_complete = rest[digits..].starts_with(b"\r\n");
    let header = VALUE_REPLY_PREFIX.len() + digits + 2;
    (is_large && is_complete).then_some((header, length))
}

/// Interprets a reply. An error that the protocol does not define may have followed the execution of the request.
///
/// # Errors
///
/// Fails if the frame is none of the protocol's replies. The load report is not read and may be anything.
pub(crate) fn parse_reply(frame: BytesFrame) -> Result<AttemptResult, MalformedFrame> {
    match frame {
        BytesFrame::Array(elements) => {
            let [value, cache_status, _load_report] =
                <[_; 3]>::try_from(elements).map_err(|_| MalformedFrame)?;
            let cache_hit = parse_cache_status(&cache_status)?;
            match value {
                BytesFrame::BulkString(value) if value.len() <= MAX_BUFFERED_BYTES => {
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

/// Whether the cache had the value, if it says so.
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
