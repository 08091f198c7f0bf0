//! Where operators call: one line in, one answer out, whatever the load.
//!
//! It runs on a thread of its own, so that no answer waits for its turn behind requests. Of the node it
//! holds only what can be read or told without waiting for long; see [`CallHandler`].

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::{io, str, thread};

use stonefold_net::{Listener, Socket};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{Instrument, info, info_span, warn};

/// Callers at a time. Beyond that a newcomer takes the place of the one who came first.
pub const CALLERS: usize = 8;
/// The longest call.
const LINE: u64 = 256;
/// After the answer so much more is read and thrown away.
const READ_AWAY: u64 = 64 << 10;
/// Who has not said a whole line after so long is dropped, and so is who doesn't read the answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// After a bind or an accept that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// What an operator asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    /// The figures.
    Stats,
    /// The members of the fleet, as this node knows them.
    Members,
    /// Nothing more to this server.
    Disable(String),
    /// Back in use.
    Enable(String),
}

/// Why a line is no call.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CallError {
    #[error("empty call")]
    Empty,
    #[error("call without an end of line")]
    Unfinished,
    #[error("call too long")]
    TooLong,
    #[error("call is not text")]
    NotText,
    #[error("unknown call")]
    Unknown,
    #[error("wrong arguments")]
    Arguments,
}

impl Call {
    /// Reads a call, its end of line included.
    fn parse(line: &[u8]) -> Result<Call, CallError> {
        let Some(text) = line.strip_suffix(b"\n") else {
            let full = line.len() as u64 >= LINE;
            return Err(if full { CallError::TooLong } else { CallError::Unfinished });
        };
        let text = str::from_utf8(text).map_err(|_| CallError::NotText)?;
        let words: Vec<&str> = text.split_ascii_whitespace().collect();
        match words[..] {
            [] => Err(CallError::Empty),
            ["READY"] => Ok(Call::Ready),
            ["STATS"] => Ok(Call::Stats),
            ["MEMBERS"] => Ok(Call::Members),
            ["DISABLE", id] => Ok(Call::Disable(id.into())),
            ["ENABLE", id] => Ok(Call::Enable(id.into())),
            ["READY" | "STATS" | "MEMBERS" | "DISABLE" | "ENABLE", ..] => Err(CallError::Arguments),
            _ => Err(CallError::Unknown),
        }
    }
}

/// Who answers the calls.
pub trait CallHandler: Send + Sync + 'static {
    /// The whole answer, without the last end of line.
    fn answer(&self, call: Call) -> impl Future<Output = String> + Send;
}

/// Starts the thread that serves operators until the process ends.
pub fn start(at: SocketAddr, handler: impl CallHandler) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serve = move || runtime.block_on(serve(at, Arc::new(handler)));
    thread::Builder::new().name("operator".into()).stack_size(256 << 10).spawn(serve).map(drop)
}

async fn serve(at: SocketAddr, handler: Arc<impl CallHandler>) {
    let mut complained = false;
    // Guards against: an end, or a node that nobody can call, while a predecessor still has the address.
    let listener = loop {
        match TcpListener::bind(at).await {
            Ok(listener) => break listener,
            Err(error) if !complained => {
                warn!(event = "operator_waits", %at, %error, "cannot listen for operators yet");
                complained = true;
            }
            Err(_) => {}
        }
        sleep(PAUSE).await;
    };
    if let Ok(at) = listener.local_addr() {
        info!(event = "operator_listening", %at, "operators are served");
    }
    accept_calls(Listener::new(listener), handler).await;
}

async fn accept_calls(listener: Listener, handler: Arc<impl CallHandler>) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                warn!(event = "accept_failed", front = "operator", %error, "a call is not taken");
                sleep(PAUSE).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.is_finished());
        // Guards against: callers who say nothing and stay, until nobody gets through.
        while callers.len() >= CALLERS {
            callers.pop_front().inspect(AbortHandle::abort);
        }
        let handler = handler.clone();
        // A caller who breaks off is nobody's trouble.
        let caller = tokio::spawn(async move { timeout(PATIENCE, answer_call(stream, &*handler)).await });
        callers.push_back(caller.abort_handle());
    }
}

/// One call and its answer.
async fn answer_call(stream: Socket, handler: &impl CallHandler) -> io::Result<()> {
    let mut stream = BufReader::with_capacity(LINE as usize, stream);
    let mut line = Vec::new();
    (&mut stream).take(LINE).read_until(b'\n', &mut line).await?;
    let mut answer = match Call::parse(&line) {
        Ok(call) => {
            let span = info_span!("call", ?call);
            handler.answer(call).instrument(span).await
        }
        Err(error) => format!("fail {error}"),
    };
    answer.push('\n');
    stream.get_mut().write_all(answer.as_bytes()).await?;
    stream.get_mut().shutdown().await?;
    // Guards against: an answer lost to the reset that unread bytes bring.
    tokio::io::copy(&mut stream.take(READ_AWAY), &mut tokio::io::sink()).await.map(drop)
}
