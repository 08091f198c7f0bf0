//! A connection to the origin: HTTP/1.1, one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::{AsciiSet, CONTROLS, percent_encode};
use stonefold_balancer::Outcome;
use stonefold_net::Socket;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use super::last_write::{LastWrite, NotedStream};
use super::reply::Reply;
use super::send_permit::SendPermit;
use crate::metrics::Metrics;
use crate::relay::{self, CHUNK, Left, Pass, STUCK, VALUE_LIMIT, WHOLE, way};
use crate::request::ClientRequest;

/// What a key may not show in a path.
const ESCAPED: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'`')
    .add(b'{')
    .add(b'}');

/// A connection between requests.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    last_write: LastWrite,
}

impl Drop for Connection {
    /// Closes the socket at once, also while a request is out.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub async fn new(stream: Socket) -> io::Result<Self> {
        let last_write = LastWrite::default();
        let stream = NotedStream::new(stream, last_write.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(CHUNK)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await; // a break shows in the request that is out
        });
        Ok(Connection { sender, task, last_write })
    }

    pub fn is_live(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends one request, which states the time left until its deadline, and waits for its answer.
    pub async fn ask(
        mut self,
        command: &ClientRequest,
        deadline: Instant,
        addr: SocketAddr,
        permit: SendPermit,
        metrics: &Metrics,
        pass: Pass,
    ) -> (Reply, Option<Self>) {
        if self.sender.ready().await.is_err() {
            return (Reply::of(Outcome::ConnectFailed), None);
        }
        permit.stall_over().await;
        let Some(stated) = permit.start(deadline) else {
            return (Reply::of(Outcome::NotSent), None);
        };
        let Some(request) = request(command, stated.left(), addr) else {
            return (Reply::of(Outcome::NotSent), Some(self));
        };
        // The whole request is at hand, and the connection writes it as soon as it has its turn.
        metrics.attempts_written.increment();
        let answer = self.sender.try_send_request(request).await;
        match answer {
            // A request that is handed back was never begun.
            Err(mut error) => match error.take_message() {
                Some(_) => (Reply::of(Outcome::ConnectFailed), None),
                None => (Reply::of(Outcome::ConnectionReset), None),
            },
            Ok(answer) => {
                if let Some(last_byte) = self.last_write.at() {
                    metrics.deadline_excess.record(stated.excess(last_byte));
                }
                match read(answer, pass).await {
                    Ok(reply) => (reply, Some(self)),
                    // Guards against: the rest of such an answer, read as the next one's.
                    Err(outcome) => (Reply::of(outcome), None),
                }
            }
        }
    }
}

/// A body whose length was not told.
enum Collected {
    Short(Bytes),
    /// Passed on, once it was known how long it is.
    Long,
}

/// Reads a body to its end. RESP2 wants a value's length first: one that is long, and doesn't tell it, is held
/// whole, for which room is reserved once.
async fn collect(mut body: Incoming, is_value: bool, pass: Pass) -> Result<Collected, Outcome> {
    let (mut whole, mut room) = (BytesMut::new(), None);
    while let Some(frame) = timeout(STUCK, body.frame()).await.map_err(|_| Outcome::ConnectionReset)? {
        let Ok(bytes) = frame.map_err(|_| Outcome::ConnectionReset)?.into_data() else { continue };
        let length = whole.len() + bytes.len();
        if length > VALUE_LIMIT || length > WHOLE && !is_value {
            return Err(Outcome::ServerError);
        }
        if length > WHOLE && room.is_none() {
            room = Some(pass.budget.room(VALUE_LIMIT).await.map_err(|_| Outcome::ConnectionReset)?);
            whole.reserve(VALUE_LIMIT - whole.len());
        }
        whole.extend_from_slice(&bytes);
    }
    Ok(match room {
        Some(room) => {
            (pass.begin)(relay::whole(whole.freeze(), room));
            Collected::Long
        }
        None => Collected::Short(whole.freeze()),
    })
}

/// Passes a long value on as it comes.
async fn stream(mut body: Incoming, length: usize, pass: Pass) -> Result<Reply, Outcome> {
    let Pass { budget, begin } = pass;
    let (sink, stream) = way(length);
    let (mut begin, mut left) = (Some((begin, stream)), length);
    while left > 0 {
        let frame = tokio::select! {
            frame = timeout(STUCK, body.frame()) => frame,
            () = sink.left() => return Err(Outcome::Canceled),
        };
        let frame = frame.ok().flatten().and_then(Result::ok).ok_or(Outcome::ConnectionReset)?;
        let Ok(mut bytes) = frame.into_data() else { continue };
        left = left.checked_sub(bytes.len()).ok_or(Outcome::ServerError)?;
        while !bytes.is_empty() {
            let chunk = budget
                .hold(bytes.split_to(bytes.len().min(CHUNK)))
                .await
                .map_err(|_| Outcome::ConnectionReset)?;
            if let Some((begin, stream)) = begin.take() {
                begin(stream);
            }
            sink.give(chunk).await.map_err(|Left| Outcome::Canceled)?;
        }
    }
    Ok(Reply::of(Outcome::Success))
}

fn request(command: &ClientRequest, left: Duration, addr: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let method = if command.value.is_some() { Method::PUT } else { Method::GET };
    Request::builder()
        .method(method)
        .uri(format!("/{}", percent_encode(command.key.as_bytes(), ESCAPED)))
        .header(HOST, addr.to_string())
        .header("X-Correlation-Id", &command.id[..])
        .header("X-Facts", command.metadata_with_time_left(left))
        .body(Full::new(command.value.clone().unwrap_or_default()))
        .ok()
}

/// What an answer means; an error if its connection is of no further use.
async fn read(answer: Response<Incoming>, pass: Pass) -> Result<Reply, Outcome> {
    let (status, headers) = (answer.status(), answer.headers());
    let never_ran = headers.get("X-Unprocessed").is_some_and(|v| v == "1");
    if status == StatusCode::OK
        && let Some(length) = answer.body().size_hint().exact().and_then(|n| usize::try_from(n).ok())
        && (WHOLE + 1..=VALUE_LIMIT).contains(&length)
    {
        return stream(answer.into_body(), length, pass).await;
    }
    let body = match collect(answer.into_body(), status == StatusCode::OK, pass).await? {
        Collected::Short(body) => body,
        Collected::Long => return Ok(Reply::of(Outcome::Success)),
    };
    Ok(match status {
        StatusCode::OK => Reply { value: body, ..Reply::of(Outcome::Success) },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            Reply::of(Outcome::Rejected)
        }
        _ => Reply::of(Outcome::ServerError),
    })
}
