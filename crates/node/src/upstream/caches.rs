//! A connection to a cache server: RESP2, one request at a time.

use std::io;
use std::str;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::Outcome;
use stonefold_net::Socket;
use stonefold_proto::resp::{MalformedFrame, decode_frame};
use tokio::time::{Instant, timeout};

use super::reply::Reply;
use super::send_permit::SendPermit;
use crate::metrics::Metrics;
use crate::relay::{Left, Pass, STUCK, VALUE_LIMIT, WHOLE, way};
use crate::request::ClientRequest;

/// A value that is passed on whole, and what stands round it.
const LARGEST: usize = WHOLE + TAIL;
/// What stands round a value.
const TAIL: usize = 2 << 10;

/// A connection between requests.
pub struct Connection(Socket);

impl Connection {
    pub fn new(stream: Socket) -> Self {
        Connection(stream)
    }

    /// Asks the kernel itself: what the runtime has seen of the peer's close may be a moment old.
    pub fn is_live(&self) -> bool {
        self.0.is_idle()
    }

    /// Whether the server has said something unasked, a second copy of its answer say.
    pub fn has_unasked(&self) -> bool {
        self.0.has_unread_bytes()
    }

    /// Sends one request, which states the time left until its deadline, and waits for its answer.
    pub async fn ask(
        mut self,
        command: &ClientRequest,
        deadline: Instant,
        permit: SendPermit,
        metrics: &Metrics,
        pass: Pass,
    ) -> (Reply, Option<Self>) {
        permit.stall_over().await;
        let Some(stated) = permit.start(deadline) else {
            return (Reply::of(Outcome::NotSent), None);
        };
        // Broken before the last byte was written: it never ran. After that it may have.
        let write = async {
            self.0.write_all(&head(command, stated.left())).await?;
            if let Some(value) = &command.value {
                self.0.write_all(value).await?;
                self.0.write_all(b"\r\n").await?;
            }
            Ok::<_, io::Error>(())
        };
        if write.await.is_err() {
            return (Reply::of(Outcome::ConnectFailed), None);
        }
        metrics.attempts_written.increment();
        metrics.deadline_excess.record(stated.excess(Instant::now()));
        let mut buffer = BytesMut::new();
        loop {
            if let Some(length) = long_value(&mut buffer) {
                return match self.stream(length, buffer, pass).await {
                    Ok(reply) => (reply, Some(self)),
                    Err(outcome) => (Reply::of(outcome), None),
                };
            }
            match decode_frame(&mut buffer, LARGEST) {
                Ok(Some(frame)) => {
                    let reply = reply(frame);
                    let usable = reply.is_ok() && buffer.is_empty();
                    return (reply.unwrap_or(Reply::of(Outcome::ServerError)), usable.then_some(self));
                }
                Ok(None) => {}
                Err(MalformedFrame) => return (Reply::of(Outcome::ServerError), None),
            }
            match self.0.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return (Reply::of(Outcome::ConnectionReset), None),
                Ok(_) => {}
            }
        }
    }
}

impl Connection {
    /// Passes a long value on as it comes; an error if the connection is of no further use. What has been read
    /// of it is in the buffer.
    async fn stream(&mut self, length: usize, buffer: BytesMut, pass: Pass) -> Result<Reply, Outcome> {
        let Pass { budget, begin } = pass;
        let (sink, stream) = way(length);
        let mut begin = Some((begin, stream));
        // The tail follows the value; it can't be in a buffer that is shorter than the value.
        let mut left = length;
        let mut first = Some(buffer.freeze()).filter(|bytes| !bytes.is_empty());
        loop {
            let chunk = match first.take() {
                Some(bytes) => budget.hold(bytes).await.ok(),
                None => tokio::select! {
                    chunk = budget.read(&mut self.0, left) => chunk.ok().flatten(),
                    () = sink.left() => return Err(Outcome::Canceled),
                },
            };
            let chunk = chunk.ok_or(Outcome::ConnectionReset)?;
            left -= chunk.bytes.len();
            if let Some((begin, stream)) = begin.take() {
                begin(stream);
            }
            if left > 0 {
                sink.give(chunk).await.map_err(|Left| Outcome::Canceled)?;
                continue;
            }
            // Guards against: a spoilt end that the client can't tell. It gets the last piece only now.
            let reply = self.tail().await?;
            sink.give(chunk).await.map_err(|Left| Outcome::Canceled)?;
            return Ok(reply);
        }
    }

    /// What stands behind a long value: the end of its string, how the read went, the load report.
    async fn tail(&mut self) -> Result<Reply, Outcome> {
        // As an array whose value is empty, it is read like any other answer.
        let mut buffer = BytesMut::from(&b"*3\r\n$0\r\n"[..]);
        loop {
            match decode_frame(&mut buffer, TAIL).map_err(|MalformedFrame| Outcome::ServerError)? {
                Some(frame) if buffer.is_empty() => {
                    return reply(frame).map_err(|MalformedFrame| Outcome::ServerError);
                }
                Some(_) => return Err(Outcome::ServerError),
                None => {}
            }
            match timeout(STUCK, self.0.read_buf(&mut buffer)).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return Err(Outcome::ConnectionReset),
            }
        }
    }
}

/// Takes the head of an answer with a long value out of the buffer; tells the value's length.
fn long_value(buffer: &mut BytesMut) -> Option<usize> {
    let rest = buffer.strip_prefix(b"*3\r\n$")?;
    let end = rest.iter().take(10).position(|&b| b == b'\r')?;
    let length = str::from_utf8(&rest[..end]).ok()?.parse().ok()?;
    let long = rest[end..].starts_with(b"\r\n") && (WHOLE + 1..=VALUE_LIMIT).contains(&length);
    let head = buffer.len() - rest.len() + end + 2;
    // Its first bytes have come with it: they are what the attempt wins with.
    (long && buffer.len() > head).then(|| {
        buffer.advance(head);
        length
    })
}

/// What an answer means. Whatever the protocol has no word for may have run.
fn reply(frame: BytesFrame) -> Result<Reply, MalformedFrame> {
    match frame {
        // Guards against: spoilt answers that look like one. The load report is not read, and may be anything.
        BytesFrame::Array(parts) => {
            let [value, note, _report] = <[_; 3]>::try_from(parts).map_err(|_| MalformedFrame)?;
            let hit = match note {
                BytesFrame::Null => None,
                BytesFrame::BulkString(word) => match &word[..] {
                    b"hit" => Some(true),
                    b"miss" | b"pending" => Some(false),
                    _ => return Err(MalformedFrame),
                },
                _ => return Err(MalformedFrame),
            };
            match value {
                BytesFrame::BulkString(value) if value.len() <= WHOLE => {
                    Ok(Reply { outcome: Outcome::Success, value, hit })
                }
                BytesFrame::Null => Ok(Reply { hit, ..Reply::of(Outcome::CacheMiss) }),
                _ => Err(MalformedFrame),
            }
        }
        BytesFrame::Error(text) => match text.split(' ').next() {
            Some("BUSY") => Ok(Reply::of(Outcome::Rejected)),
            _ => Ok(Reply::of(Outcome::ServerError)),
        },
        _ => Err(MalformedFrame),
    }
}

/// The command up to its value: as it came, but for how long the node will wait.
fn head(command: &ClientRequest, left: Duration) -> Bytes {
    let facts = command.metadata_with_time_left(left);
    let name = if command.value.is_some() { "CACHE.SET" } else { "CACHE.GET" };
    let words = [name.as_bytes(), command.key.as_bytes(), &command.id[..], &facts[..]];
    let mut text = BytesMut::from(if command.value.is_some() { "*5\r\n" } else { "*4\r\n" });
    for word in words {
        text.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        text.extend_from_slice(word);
        text.extend_from_slice(b"\r\n");
    }
    if let Some(value) = &command.value {
        text.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    }
    text.freeze()
}
