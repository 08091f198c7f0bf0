//! RESP2 frames, decoded with limits that the codec itself does not enforce.

use bytes::{Buf, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;

/// The largest number of elements in an array. No supported command or reply has more.
const MAX_ELEMENTS: usize = 64;
/// The largest length of a line, in bytes: an element's header, a simple string, an error or an integer.
const MAX_LINE_BYTES: usize = 1024;
/// The bytes that end each line and each bulk string.
const TERMINATOR: &[u8] = b"\r\n";

/// The error for bytes that are not RESP2 or exceed the limits of this module.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed or oversized RESP2 frame")]
pub struct MalformedFrame;

/// Appends a command, which is an array of bulk strings.
pub fn append_command(buffer: &mut BytesMut, arguments: &[&[u8]]) {
    append_array_header(buffer, arguments.len());
    for argument in arguments {
        append_bulk_string(buffer, argument);
    }
}

/// Appends the header of an array of `elements` elements.
pub fn append_array_header(buffer: &mut BytesMut, elements: usize) {
    buffer.extend_from_slice(format!("*{elements}\r\n").as_bytes());
}

/// Appends a bulk string.
pub fn append_bulk_string(buffer: &mut BytesMut, text: &[u8]) {
    append_bulk_string_header(buffer, text.len());
    buffer.extend_from_slice(text);
    buffer.extend_from_slice(TERMINATOR);
}

/// Appends the header of a bulk string of `length` bytes, which the caller sends itself.
pub fn append_bulk_string_header(buffer: &mut BytesMut, length: usize) {
    buffer.extend_from_slice(format!("${length}\r\n").as_bytes());
}

/// Takes the first frame out of the buffer, or returns `None` if it is not complete yet.
///
/// Arrays may not be nested: the codec decodes them recursively, so that deep nesting would overflow the stack.
///
/// # Errors
///
/// Fails if the buffer does not start with a RESP2 frame, or if the frame has more than `limit` bytes.
pub fn decode_frame(buffer: &mut BytesMut, limit: usize) -> Result<Option<BytesFrame>, MalformedFrame> {
    if !has_complete_frame(buffer, limit)? {
        return Ok(None);
    }
    let decoded = decode_bytes_mut(buffer).map_err(|_| MalformedFrame)?;
    Ok(decoded.map(|(frame, _, _)| frame))
}

/// Whether the buffer starts with a complete frame: a single element, or a flat array.
///
/// # Errors
///
/// Fails if the buffer does not start with a RESP2 frame, or if the frame has more than `limit` bytes.
pub fn has_complete_frame(buffer: &[u8], limit: usize) -> Result<bool, MalformedFrame> {
    let mut rest = buffer;
    let mut missing_elements = 1;
    let mut array_allowed = true;
    while missing_elements > 0 {
        let Some(header) = take_header(&mut rest, array_allowed)? else {
            return if buffer.len() > limit { Err(MalformedFrame) } else { Ok(false) };
        };
        match header {
            Header::Line => missing_elements -= 1,
            Header::Array { elements } => missing_elements = elements,
            Header::BulkString { following } => {
                missing_elements -= 1;
                let consumed = buffer.len() - rest.len();
                if consumed + following > limit {
                    return Err(MalformedFrame);
                }
                if rest.len() < following {
                    return Ok(false);
                }
                // The codec does not check how a bulk string ends.
                if following > 0 && !rest[..following].ends_with(TERMINATOR) {
                    return Err(MalformedFrame);
                }
                rest.advance(following);
            }
        }
        array_allowed = false;
    }
    Ok(true)
}

/// The first line of an element, and what follows it.
enum Header {
    /// The line is the whole element: a simple string, an error or an integer.
    Line,
    /// This many bytes follow, including the terminator; none after a null string.
    BulkString { following: usize },
    /// This many elements follow; none after a null array.
    Array { elements: usize },
}

/// Takes the first line of an element off `rest`, or returns `None` if it is not complete yet.
fn take_header(rest: &mut &[u8], array_allowed: bool) -> Result<Option<Header>, MalformedFrame> {
    let Some(&kind) = rest.first() else { return Ok(None) };
    if !matches!(kind, b'+' | b'-' | b':' | b'$' | b'*') || kind == b'*' && !array_allowed {
        return Err(MalformedFrame);
    }
    let Some(end) = rest.windows(TERMINATOR.len()).take(MAX_LINE_BYTES).position(|pair| pair == TERMINATOR)
    else {
        return if rest.len() > MAX_LINE_BYTES { Err(MalformedFrame) } else { Ok(None) };
    };
    let line = std::str::from_utf8(&rest[1..end]).map_err(|_| MalformedFrame)?;
    let header = parse_header(kind, line)?;
    rest.advance(end + TERMINATOR.len());
    Ok(Some(header))
}

/// Parses the first line of an element of this kind, without its first byte.
fn parse_header(kind: u8, line: &str) -> Result<Header, MalformedFrame> {
    match kind {
        b'$' if line == "-1" => Ok(Header::BulkString { following: 0 }),
        b'$' => {
            let length: u32 = line.parse().map_err(|_| MalformedFrame)?;
            Ok(Header::BulkString { following: length as usize + TERMINATOR.len() })
        }
        b'*' if line == "-1" => Ok(Header::Array { elements: 0 }),
        b'*' => {
            let elements: usize = line.parse().map_err(|_| MalformedFrame)?;
            if elements > MAX_ELEMENTS {
                return Err(MalformedFrame);
            }
            Ok(Header::Array { elements })
        }
        _ => Ok(Header::Line),
    }
}
