//! A client that sends one request on one connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_proto::resp::{append_command, decode_frame};

/// How long after the deadline a reply is still awaited: one that the node sent in time may arrive after it.
const REPLY_GRACE: Duration = Duration::from_millis(200);
/// The shortest timeout that a socket accepts.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);
/// The longest reply, in bytes: the longest value (4 MiB) and the frame around it.
const MAX_REPLY_LENGTH: usize = (4 << 20) + 1024;
/// The most bytes that are read at a time.
const READ_LENGTH: usize = 16 << 10;

/// A reply, and how long it took.
pub(crate) struct TimedReply {
    pub(crate) reply: Reply,
    pub(crate) elapsed: Duration,
}

/// A node's reply.
pub(crate) enum Reply {
    /// The value, or a write's receipt.
    Served(Vec<u8>),
    /// The request was rejected. Contains the time in milliseconds after which it may be retried, if the node stated one.
    Rejected(Option<u64>),
    /// The request failed, with the node's error.
    Failed(String),
}

/// Sends a command and waits for its reply until shortly after the deadline.
///
/// # Errors
/// If the node can't be reached, closes the connection, sends no complete reply in time, or is not a node.
pub(crate) fn request(node: SocketAddr, words: &[&[u8]], deadline: Duration) -> io::Result<TimedReply> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&node, deadline.max(MIN_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let mut command = BytesMut::new();
    append_command(&mut command, words);
    stream.write_all(&command)?;
    let mut buffer = BytesMut::new();
    let mut chunk = vec![0; READ_LENGTH];
    loop {
        if let Some(frame) = decode_frame(&mut buffer, MAX_REPLY_LENGTH).map_err(|_| malformed())? {
            return Ok(TimedReply { reply: parse_reply(frame), elapsed: start.elapsed() });
        }
        let remaining = (start + deadline + REPLY_GRACE).saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(remaining.max(MIN_TIMEOUT)))?;
        match stream.read(&mut chunk)? {
            0 => return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the node closed the connection")),
            length => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the reply can't be parsed: is this a node's address?")
}

fn parse_reply(frame: BytesFrame) -> Reply {
    match frame {
        BytesFrame::BulkString(value) => Reply::Served(value.to_vec()),
        BytesFrame::Error(text) => match text.split_once(' ').unwrap_or((&text, "")) {
            ("BUSY", retry_after) => Reply::Rejected(retry_after.parse().ok()),
            _ => Reply::Failed(text.to_string()),
        },
        other => Reply::Failed(format!("unexpected reply: {other:?}")),
    }
}
