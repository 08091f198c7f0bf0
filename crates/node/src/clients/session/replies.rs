//! How a session writes replies.

use std::io;

use bytes::BytesMut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_net::Socket;
use stonefold_proto::resp::has_complete_frame;
use tokio::time::Instant;
use tracing::debug;

use super::held_value::HeldValue;
use super::{CloseReason, Session};
use crate::clients::disconnect::while_connected;
use crate::clients::idle::evicted_while_stalled;
use crate::clients::pending_replies::{
    FAILED_TEXT, FrameReply, ReplyDeadline, ReplyMemory, UnansweredRequest, WritableReply,
};
use crate::relay::{MAX_FRAME_BYTES, ValueStream};
use crate::write_progress::{LastProgress, ProgressWriter};

/// The number of bytes after which no more replies are added to a batch, so that other tasks can run.
const MAX_BATCH_BYTES: usize = 16 << 10;

/// Replies that are written together.
#[derive(Default)]
struct ReplyBatch {
    text: BytesMut,
    /// The deadlines of the replies that have one.
    deadlines: Vec<ReplyDeadline>,
    /// The memory of the replies, accounted until they have been written.
    memory: Vec<ReplyMemory>,
    /// The number of requests that were rejected or failed.
    unserved: usize,
}

impl ReplyBatch {
    fn add(&mut self, reply: FrameReply) {
        encode(&mut self.text, &reply.frame);
        self.unserved += usize::from(reply.deadline.is_some() && matches!(reply.frame, BytesFrame::Error(_)));
        self.deadlines.extend(reply.deadline);
        self.memory.push(reply.memory);
    }
}

impl Session {
    /// Writes a reply, and the replies after it that are ready, unless the client disconnects.
    pub(super) async fn write_reply(&mut self, socket: &Socket, reply: WritableReply) -> io::Result<()> {
        match reply {
            WritableReply::Frame(first) => {
                let batch = self.collect_batch(first);
                self.turns.charge(batch.unserved);
                let mut writer = ProgressWriter::new(socket);
                self.while_client_takes(socket, writer.last_progress(), writer.write_all(&batch.text))
                    .await?;
                for deadline in &batch.deadlines {
                    deadline.check(&self.context.metrics.violations);
                }
            }
            WritableReply::Value(stream, request) => self.write_value(socket, stream, request).await?,
        }
        self.timeout_started_at = Instant::now();
        Ok(())
    }

    /// Writes a value. While replies to other requests are due it is held back until it is complete, and its request fails
    /// if it is not complete in time. Otherwise the transfer may take as long as the client and the server need. The
    /// request stays open until it ends.
    async fn write_value(
        &mut self,
        socket: &Socket,
        stream: ValueStream,
        request: UnansweredRequest,
    ) -> io::Result<()> {
        let mut writer = ProgressWriter::new(socket);
        let progress = writer.last_progress();
        if !self.owes_other_replies() {
            return self.while_client_takes(socket, progress, stream.write_to(&mut writer)).await;
        }
        let length = stream.length;
        let budget = self.context.budget.clone();
        let held = HeldValue::new(stream, Instant::now(), request.deadline.at);
        let hold = async { Ok(held.complete(&budget).await) };
        match while_connected(socket, &mut self.unread, hold).await? {
            Some(complete) => self.while_client_takes(socket, progress, complete.write_to(&mut writer)).await,
            None => {
                self.while_client_takes(socket, progress, write_error(&mut writer, FAILED_TEXT)).await?;
                self.record_failed_hold(&request, length);
                Ok(())
            }
        }
    }

    /// Counts and logs a value that was not complete in time.
    fn record_failed_hold(&self, request: &UnansweredRequest, length: usize) {
        self.context.metrics.incomplete_held_values.increment();
        debug!(event = "held_value_failed", request = %String::from_utf8_lossy(&request.deadline.request), length,
            pending_replies = self.pending.len(),
            "a value was not complete in time for the replies behind it");
    }

    /// Runs a write until it completes, the client disconnects, or the connection is evicted because the client takes
    /// nothing and others need the room.
    async fn while_client_takes(
        &mut self,
        socket: &Socket,
        progress: LastProgress,
        write: impl Future<Output = io::Result<()>>,
    ) -> io::Result<()> {
        tokio::select! {
            biased;
            written = while_connected(socket, &mut self.unread, write) => written,
            () = evicted_while_stalled(&self.context.idle, progress) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Whether replies to other requests are due that have been read, besides the one that is being written.
    fn owes_other_replies(&self) -> bool {
        let has_unstarted = || has_complete_frame(&self.buffer, MAX_FRAME_BYTES).unwrap_or(false);
        !self.pending.is_empty() || has_unstarted()
    }

    /// Adds the replies after the first one that are ready, up to [`MAX_BATCH_BYTES`].
    fn collect_batch(&mut self, first: FrameReply) -> ReplyBatch {
        let mut batch = ReplyBatch::default();
        batch.add(first);
        while batch.text.len() < MAX_BATCH_BYTES {
            let Some(reply) = self.pending.take_ready() else { break };
            batch.add(reply);
        }
        batch
    }
}

/// Sends an error to a client that has sent no valid command for too long, and closes the sending direction.
pub(super) async fn time_out(socket: &Socket) -> io::Result<CloseReason> {
    write_error(&mut ProgressWriter::new(socket), "ERR no whole command").await?;
    socket.shutdown_write()?;
    Ok(CloseReason::TimedOut)
}

/// Writes an error.
async fn write_error(to: &mut ProgressWriter<&Socket>, error: &str) -> io::Result<()> {
    let mut text = BytesMut::new();
    encode(&mut text, &BytesFrame::Error(error.into()));
    to.write_all(&text).await
}

fn encode(text: &mut BytesMut, frame: &BytesFrame) {
    // Fails only for frames that RESP2 does not have. The node never creates one.
    let _ = extend_encode(text, frame, false);
}
