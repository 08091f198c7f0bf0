//! The part of a cache server's reply that has been read, within the memory budget.

use bytes::{Buf, Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::Outcome;
use stonefold_net::Socket;
use stonefold_proto::resp::decode_frame;

use super::cache_protocol::{ValueHeader, parse_reply};
use super::reply_identity::{ReplyIdentity, ServerReply};
use crate::memory_budget::{MAX_COVERED_VALUE_BYTES, MAX_ENVELOPE_BYTES, MAX_REPLY_BYTES, MemoryPermit};
use crate::relay::{MAX_BUFFERED_BYTES, RelayContext};

/// The first capacity of the buffer, in bytes. It holds a reply with a short value.
const INITIAL_CAPACITY: usize = 512;
/// The longest reply that is buffered without a permit, in bytes.
const MAX_COVERED_REPLY_BYTES: usize = MAX_COVERED_VALUE_BYTES + MAX_ENVELOPE_BYTES;

/// What to do with a reply of which a part has been read.
pub(crate) enum NextStep {
    /// More of it has to be read.
    Read,
    /// Its value is relayed, since it is long or there is no memory to buffer it.
    Relay {
        /// The length of the value, in bytes.
        length: usize,
        /// The first bytes of the value, fewer than all of them and at least one.
        first: Bytes,
    },
    /// It is complete.
    Complete(ServerReply),
}

/// The part of a reply that has been read.
pub(crate) struct ReplyBuffer {
    bytes: BytesMut,
    /// The permit for a buffer that [`MAX_COVERED_REPLY_BYTES`] are not enough for.
    permit: Option<MemoryPermit>,
}

impl ReplyBuffer {
    /// Creates an empty buffer.
    pub(crate) fn new() -> ReplyBuffer {
        ReplyBuffer { bytes: BytesMut::with_capacity(INITIAL_CAPACITY), permit: None }
    }

    /// Reads what has arrived, waiting for the first byte. Fails if the connection ends.
    pub(crate) async fn read(&mut self, from: &Socket) -> Result<(), Outcome> {
        match from.read_buf(&mut self.bytes).await {
            Ok(0) | Err(_) => Err(Outcome::ConnectionReset),
            Ok(_) => Ok(()),
        }
    }

    /// Determines what to do next. An error is the outcome of the attempt.
    pub(crate) fn next_step(&mut self, relay: &RelayContext) -> Result<NextStep, Outcome> {
        let header = ValueHeader::parse(&self.bytes);
        let Some(header) = header.filter(|header| header.value_length > MAX_COVERED_VALUE_BYTES) else {
            return self.take_reply(relay);
        };
        if self.permit.is_none() {
            self.reserve_for_value(header, relay);
        }
        if self.permit.is_some() {
            return self.take_reply(relay);
        }
        // The first bytes of a value decide which attempt's value is relayed, so the header alone is not enough to start.
        if self.bytes.len() == header.header_length {
            return Ok(NextStep::Read);
        }
        self.bytes.advance(header.header_length);
        Ok(NextStep::Relay { length: header.value_length, first: std::mem::take(&mut self.bytes).freeze() })
    }

    /// Reserves the memory for a reply with this value, if it is short enough to be buffered and there is memory.
    fn reserve_for_value(&mut self, header: ValueHeader, relay: &RelayContext) {
        if header.value_length > MAX_BUFFERED_BYTES {
            return;
        }
        self.permit = relay.try_reserve_reply(header.value_length + MAX_ENVELOPE_BYTES);
        if self.permit.is_some() {
            let reply = header.value_length + MAX_ENVELOPE_BYTES;
            self.bytes.reserve(reply.saturating_sub(self.bytes.len()));
        }
    }

    /// Takes a reply out of the buffer if it is complete.
    fn take_reply(&mut self, relay: &RelayContext) -> Result<NextStep, Outcome> {
        let limit = if self.permit.is_some() { MAX_REPLY_BYTES } else { MAX_COVERED_REPLY_BYTES };
        let decoded = decode_frame(&mut self.bytes, limit);
        if decoded.is_err() && self.permit.is_none() {
            // It may be a valid reply that needs more memory.
            self.permit = relay.try_reserve_reply(MAX_REPLY_BYTES);
            return if self.permit.is_some() { self.take_reply(relay) } else { Err(Outcome::ServerError) };
        }
        let Some(frame) = decoded.map_err(|_| Outcome::ServerError)? else { return Ok(NextStep::Read) };
        let identity = identity_of(&frame);
        let mut result = parse_reply(frame).map_err(|_| Outcome::ServerError)?;
        result.value.permit = self.permit.take();
        Ok(NextStep::Complete(ServerReply { result, identity, reusable: self.bytes.is_empty() }))
    }
}

/// The identity of a reply, without its load report, which changes from time to time.
fn identity_of(reply: &BytesFrame) -> ReplyIdentity {
    match reply {
        BytesFrame::Array(elements) => match elements.first() {
            Some(BytesFrame::BulkString(value)) => ReplyIdentity::buffered(value),
            _ => ReplyIdentity::Miss,
        },
        BytesFrame::Error(text) => ReplyIdentity::error(text.as_bytes()),
        _ => ReplyIdentity::error(b""),
    }
}

#[cfg(test)]
mod tests;
