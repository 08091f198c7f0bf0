//! A small client: one request on one connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_proto::resp::{append_command, decode_frame};

/// Beyond the deadline the answer is waited for so much longer: it may be on its way.
const LATE: Duration = Duration::from_millis(200);
/// The longest answer.
const LARGEST: usize = (4 << 20) + 1024;

/// How a request ended.
pub struct Answered {
    pub outcome: Outcome,
    pub took: Duration,
}

/// What the node said.
pub enum Outcome {
    Served(Vec<u8>),
    /// Come again after so many milliseconds, if it said.
    Refused(Option<u64>),
    Failed(String),
}

/// Sends a command and waits for its answer.
pub fn ask(node: SocketAddr, words: &[&[u8]], deadline: Duration) -> io::Result<Answered> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&node, deadline.max(Duration::from_millis(1)))?;
    stream.set_nodelay(true)?;
    let mut text = BytesMut::new();
    append_command(&mut text, words);
    stream.write_all(&text)?;
    let mut buffer = BytesMut::new();
    let mut piece = vec![0; 16 << 10];
    loop {
        let frame = decode_frame(&mut buffer, LARGEST).map_err(|_| malformed())?;
        if let Some(frame) = frame {
            return Ok(Answered { outcome: outcome(frame), took: start.elapsed() });
        }
        let left = (start + deadline + LATE).saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.read(&mut piece)? {
            0 => return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the node closed the connection")),
            read => buffer.extend_from_slice(&piece[..read]),
        }
    }
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "the answer can't be read: is this a node's address?")
}

fn outcome(frame: BytesFrame) -> Outcome {
    match frame {
        BytesFrame::BulkString(value) => Outcome::Served(value.to_vec()),
        BytesFrame::Error(text) => match text.split_once(' ').unwrap_or((&text, "")) {
            ("BUSY", wait) => Outcome::Refused(wait.parse().ok()),
            _ => Outcome::Failed(text.to_string()),
        },
        other => Outcome::Failed(format!("an unexpected answer: {other:?}")),
    }
}
