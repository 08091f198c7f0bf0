//! The operators' interface: one command and one answer per connection, at any load.
//!
//! It runs on a thread of its own, so that no answer queues behind clients' requests. Commands use only the state of
//! the node that can be read or requested without a long wait; see [`CommandHandler`].

mod command;
mod handler;

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

use stonefold_net::{Listener, Socket};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{Instrument, info, info_span, warn};

use crate::bind::bind_with_retry;
use crate::write_progress::ProgressWriter;
pub(crate) use command::OperatorCommand;
pub(crate) use handler::NodeHandler;

/// The number of connections at a time. A new connection beyond it replaces the oldest.
pub(crate) const MAX_CONNECTIONS: usize = 8;
/// The maximum length of a command with its end of line, in bytes.
const MAX_COMMAND_LEN: u64 = 256;
/// The maximum number of bytes that are read and discarded after the answer.
const MAX_DISCARDED_LEN: u64 = 64 << 10;
/// The time after which a connection is closed if its command is incomplete.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection stays open after its answer was written, for an operator who does not close it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The stack size of the operators' thread, in bytes.
const STACK_SIZE: usize = 256 << 10;

/// Answers operators' commands.
pub(crate) trait CommandHandler: Send + Sync + 'static {
    /// Returns the complete answer, without the last end of line.
    fn answer(&self, command: OperatorCommand) -> impl Future<Output = String> + Send;
}

/// Starts the thread that serves operators until the process ends.
///
/// # Errors
/// If the thread or its runtime can't be created.
pub(crate) fn start(address: SocketAddr, handler: impl CommandHandler) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let serve = move || runtime.block_on(serve(address, Arc::new(handler)));
    thread::Builder::new().name("operator".into()).stack_size(STACK_SIZE).spawn(serve).map(drop)
}

async fn serve(at: SocketAddr, handler: Arc<impl CommandHandler>) {
    let log_failure = |error| {
        warn!(event = "operator_bind_failed", %at, %error, "cannot listen for operators yet");
    };
    // The previous process may still use the address.
    let listener = bind_with_retry(|| TcpListener::bind(at), log_failure).await;
    if let Ok(at) = listener.local_addr() {
        info!(event = "operator_listening", %at, "operators are served");
    }
    accept_connections(Listener::new(listener), handler).await;
}

async fn accept_connections(listener: Listener, handler: Arc<impl CommandHandler>) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                warn!(event = "accept_failed", front = "operator", %error, "cannot accept an operator's connection");
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        connections.retain(|connection| !connection.is_finished());
        // Idle connections must not prevent operators from connecting.
        while connections.len() >= MAX_CONNECTIONS {
            connections.pop_front().inspect(AbortHandle::abort);
        }
        let handler = handler.clone();
        // An error on a connection concerns only its own operator.
        let task = async move { handle(&stream, &*handler).await };
        connections.push_back(tokio::spawn(task).abort_handle());
    }
}

/// Reads one command and writes its answer, as slowly as the operator takes it.
async fn handle(socket: &Socket, handler: &impl CommandHandler) -> io::Result<()> {
    let mut reader = BufReader::with_capacity(MAX_COMMAND_LEN as usize, socket);
    let mut line = Vec::new();
    timeout(COMMAND_TIMEOUT, (&mut reader).take(MAX_COMMAND_LEN).read_until(b'\n', &mut line)).await??;
    let mut answer = match OperatorCommand::parse(&line) {
        Ok(command) => {
            let span = info_span!("operator_command", ?command);
            handler.answer(command).instrument(span).await
        }
        Err(error) => format!("fail {error}"),
    };
    answer.push('\n');
    ProgressWriter::new(socket).write_all(answer.as_bytes()).await?;
    socket.shutdown_write()?;
    // Closing with unread bytes would reset the connection, and the answer could be lost.
    timeout(CLOSE_TIMEOUT, tokio::io::copy(&mut reader.take(MAX_DISCARDED_LEN), &mut tokio::io::sink()))
        .await?
        .map(drop)
}
