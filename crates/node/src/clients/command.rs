//! Parses the RESP2 commands that clients send.

use std::str;

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::Micros;
use stonefold_proto::resp::{MalformedFrame, decode_frame};

use crate::relay::{MAX_FRAME_BYTES, MAX_VALUE_BYTES};
use crate::request::{ClientRequest, TIMEOUT_FIELD};

/// The largest total length of a command's key, id and metadata, in bytes.
const MAX_ARGUMENT_BYTES: usize = 2 << 10;
/// The most RESP2 framing around the arguments in the header of a write, in bytes. The header is what precedes the
/// value.
const MAX_HEADER_OVERHEAD_BYTES: usize = 256;
/// The longest value that is copied out of the read buffer, in bytes. A command with a longer one has a buffer to itself.
const MAX_COPIED_VALUE_BYTES: usize = 8 << 10;
/// An empty bulk string of RESP2.
const EMPTY_BULK_STRING: &[u8] = b"$0\r\n\r\n";
/// The longest timeout that a client may state, in microseconds; a longer one is reduced to this.
const MAX_TIMEOUT: Micros = 3_600_000_000;

/// Why a complete command cannot be executed. The message is sent to the client.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClientCommandError {
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong arguments")]
    WrongArguments,
    #[error("bad or missing d")]
    InvalidDeadline,
    #[error("value over 4 MiB")]
    ValueTooLarge,
    #[error("unknown class")]
    UnknownClass,
    #[error("id in use")]
    IdInUse,
}

/// Parses the arguments of a command, the first of which is its name.
///
/// # Errors
///
/// Fails if the command is unknown or its arguments are invalid.
pub(crate) fn parse_command(arguments: &[Bytes]) -> Result<ClientRequest, ClientCommandError> {
    let Some((name, rest)) = arguments.split_first() else { return Err(ClientCommandError::UnknownCommand) };
    let is_get = name.eq_ignore_ascii_case(b"CACHE.GET");
    let is_set = name.eq_ignore_ascii_case(b"CACHE.SET");
    let (key, id, metadata, value) = match rest {
        [key, id, metadata] if is_get => (key, id, metadata, None),
        [key, id, metadata, value] if is_set => (key, id, metadata, Some(value.clone())),
        _ if is_get || is_set => return Err(ClientCommandError::WrongArguments),
        _ => return Err(ClientCommandError::UnknownCommand),
    };
    if value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
        return Err(ClientCommandError::ValueTooLarge);
    }
    let key =
        str::from_utf8(key).ok().filter(|key| !key.is_empty()).ok_or(ClientCommandError::WrongArguments)?;
    let total = key.len() + id.len() + metadata.len();
    if !is_header_value(id) || !is_header_value(metadata) || total > MAX_ARGUMENT_BYTES {
        return Err(ClientCommandError::WrongArguments);
    }
    // Copied, since a slice would keep the whole read buffer allocated.
    let key = key.to_owned();
    let [id, metadata] = [id, metadata].map(|text| Bytes::copy_from_slice(text));
    let value = value.map(copy_if_short);
    let mut request = ClientRequest { key, id, metadata, value, value_permit: None, timeout: 0 };
    request.timeout = parse_timeout(&request)?;
    Ok(request)
}

/// Copies a short value, since a slice would keep the whole read buffer allocated.
fn copy_if_short(value: Bytes) -> Bytes {
    if value.len() <= MAX_COPIED_VALUE_BYTES { Bytes::copy_from_slice(&value) } else { value }
}

/// Whether a text can be forwarded in an HTTP header, which requests to the origin require.
fn is_header_value(text: &Bytes) -> bool {
    !text.is_empty() && HeaderValue::from_bytes(text).is_ok()
}

/// Parses the timeout in the metadata, which is in milliseconds and may have a fraction.
fn parse_timeout(request: &ClientRequest) -> Result<Micros, ClientCommandError> {
    let timeout_ms = request.metadata_value(TIMEOUT_FIELD).and_then(|text| text.parse::<f64>().ok());
    let timeout_ms =
        timeout_ms.filter(|ms| ms.is_finite() && *ms >= 0.0).ok_or(ClientCommandError::InvalidDeadline)?;
    Ok(((timeout_ms * 1000.0) as Micros).min(MAX_TIMEOUT))
}

/// A write as its header announces it. The header is what precedes the value.
pub(crate) struct AnnouncedWrite {
    /// The length of the whole command, in bytes.
    pub(crate) length: usize,
    /// The length of the header, in bytes.
    header_length: usize,
}

impl AnnouncedWrite {
    /// Parses the header of a write. `None` if `buffer` does not start with the complete header of a write of at most
    /// [`MAX_FRAME_BYTES`].
    pub(crate) fn parse(buffer: &[u8]) -> Option<AnnouncedWrite> {
        let header = &buffer[..buffer.len().min(MAX_ARGUMENT_BYTES + MAX_HEADER_OVERHEAD_BYTES)];
        let mut position = header.strip_prefix(b"*5\r\n").map(|_| 4)?;
        // The command name, the key, the id and the metadata precede the value.
        for _ in 0..4 {
            position = end_of_bulk_string(header, position)?;
        }
        let length = end_of_bulk_string(header, position).filter(|&length| length <= MAX_FRAME_BYTES)?;
        Some(AnnouncedWrite { length, header_length: position })
    }

    /// Parses the write at the start of `buffer`, with an empty value in place of the announced one.
    ///
    /// # Errors
    ///
    /// Fails if the arguments before the value are invalid.
    pub(crate) fn request_without_value(&self, buffer: &[u8]) -> Result<ClientRequest, ClientCommandError> {
        let mut frame = BytesMut::from(buffer.get(..self.header_length).unwrap_or_default());
        frame.extend_from_slice(EMPTY_BULK_STRING);
        let frame = decode_frame(&mut frame, MAX_FRAME_BYTES).ok().flatten();
        let arguments = frame.and_then(|frame| into_arguments(frame).ok());
        parse_command(&arguments.ok_or(ClientCommandError::WrongArguments)?)
    }
}

/// The position after the bulk string that starts at `position`, according to its announced length.
fn end_of_bulk_string(header: &[u8], position: usize) -> Option<usize> {
    let rest = header.get(position..)?.strip_prefix(b"$")?;
    let digits = rest.windows(2).position(|pair| pair == b"\r\n")?;
    let length: usize = str::from_utf8(&rest[..digits]).ok()?.parse().ok()?;
    // 1 byte for the `$`, and 2 for each of the line breaks after the digits and after the text.
    (position + 1 + digits + 4).checked_add(length)
}

/// The arguments of a command, which is an array of bulk strings.
///
/// # Errors
///
/// Fails for any other frame.
pub(crate) fn into_arguments(frame: BytesFrame) -> Result<Vec<Bytes>, MalformedFrame> {
    let BytesFrame::Array(elements) = frame else { return Err(MalformedFrame) };
    let arguments = elements.into_iter().map(|element| match element {
        BytesFrame::BulkString(text) => Ok(text),
        _ => Err(MalformedFrame),
    });
    arguments.collect()
}
