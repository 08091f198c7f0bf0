//! How a session writes replies.

use std::io;

use bytes::BytesMut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_net::Socket;
use tokio::time::{Instant, timeout};

use super::{CloseReason, Session};
use crate::clients::disconnect::while_connected;
use crate::clients::pending_replies::{FrameReply, ReplyDeadline, ReplyMemory, WritableReply};
use crate::relay::PROGRESS_TIMEOUT;

/// The number of bytes after which no more replies are added to a batch, so that other tasks can run.
const MAX_BATCH_BYTES: usize = 16 << 10;

/// Replies that are written together.
struct ReplyBatch {
    text: BytesMut,
    /// The deadlines of the replies that have one.
    deadlines: Vec<ReplyDeadline>,
    /// The memory of the replies, accounted until they have been written.
    memory: Vec<ReplyMemory>,
}

impl ReplyBatch {
    fn add(&mut self, reply: FrameReply) {
        encode(&mut self.text, &reply.frame);
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
                let write = async { timeout(PROGRESS_TIMEOUT, socket.write_all(&batch.text)).await? };
                while_connected(socket, &mut self.unread, write).await?;
                for deadline in &batch.deadlines {
                    deadline.check(&self.context.metrics.violations);
                }
            }
            // The transfer of a large value may take as long as its client and its server need. The request stays open
            // until it ends.
            WritableReply::Value(stream, _request) => {
                while_connected(socket, &mut self.unread, stream.write_to(&mut { socket })).await?;
            }
        }
        self.timeout_started_at = Instant::now();
        Ok(())
    }

    /// Adds the replies after the first one that are ready, up to [`MAX_BATCH_BYTES`].
    fn collect_batch(&mut self, first: FrameReply) -> ReplyBatch {
        let mut batch = ReplyBatch { text: BytesMut::new(), deadlines: Vec::new(), memory: Vec::new() };
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
    let mut text = BytesMut::new();
    encode(&mut text, &BytesFrame::Error("ERR no whole command".into()));
    timeout(PROGRESS_TIMEOUT, socket.write_all(&text)).await??;
    socket.shutdown_write()?;
    Ok(CloseReason::TimedOut)
}

fn encode(text: &mut BytesMut, frame: &BytesFrame) {
    // Fails only for frames that RESP2 does not have. The node never creates one.
    let _ = extend_encode(text, frame, false);
}
