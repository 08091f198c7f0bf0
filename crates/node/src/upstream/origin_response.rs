//! Reads the HTTP responses of the origin, within the memory budget.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Response, StatusCode};
use stonefold_balancer::Outcome;
use tokio::time::timeout;

use super::attempt::AttemptResult;
use super::reply_identity::{CopyDetector, ReplyIdentity, ServerReply};
use crate::memory_budget::{BufferedValue, MAX_COVERED_VALUE_BYTES, MemoryPermit};
use crate::relay::{
    Chunk, MAX_BUFFERED_BYTES, MAX_VALUE_BYTES, ReceiverDropped, RelayContext, SERVER_SILENCE_TIMEOUT,
    ValueStream, value_channel,
};

/// The response header that is `1` if the request was not executed.
const UNPROCESSED_HEADER: &str = "X-Unprocessed";

/// Reads a response. An error is the outcome of the attempt; the connection cannot be used after it.
pub(crate) async fn read_response(
    response: Response<Incoming>,
    copies: &CopyDetector<'_>,
    relay: RelayContext,
) -> Result<ServerReply, Outcome> {
    let status = response.status();
    let not_executed = response.headers().get(UNPROCESSED_HEADER).is_some_and(|value| value == "1");
    let body = response.into_body();
    if status == StatusCode::OK {
        return read_value(body, copies, relay).await;
    }
    discard_body(body).await?;
    let outcome = match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_executed => Outcome::Rejected,
        _ => Outcome::ServerError,
    };
    let identity = ReplyIdentity::error(status.as_str().as_bytes());
    Ok(copies.checked(ServerReply { result: AttemptResult::of(outcome), identity, reusable: true }))
}

/// Reads the body of a response without a value to its end.
async fn discard_body(mut body: Incoming) -> Result<(), Outcome> {
    let mut length = 0;
    while let Some(bytes) = next_bytes(&mut body).await? {
        length += bytes.len();
        if length > MAX_BUFFERED_BYTES {
            return Err(Outcome::ServerError);
        }
    }
    Ok(())
}

/// Reads a body that is a value. It is buffered if it is short and there is memory, or if its length is not known, since
/// RESP2 states the length before the value. Otherwise it is relayed.
async fn read_value(
    body: Incoming,
    copies: &CopyDetector<'_>,
    relay: RelayContext,
) -> Result<ServerReply, Outcome> {
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let permit = match length {
        Some(length) if length > MAX_VALUE_BYTES => return Err(Outcome::ServerError),
        Some(length) if length > MAX_BUFFERED_BYTES => return relay_value(body, length, copies, relay).await,
        Some(length) if length > MAX_COVERED_VALUE_BYTES => match relay.try_reserve_reply(length) {
            Some(permit) => Some(permit),
            None => return relay_value(body, length, copies, relay).await,
        },
        Some(_) | None => None,
    };
    collect_value(body, permit, copies, relay).await
}

/// Reads a value completely. `permit` covers it if its length is known and is more than [`MAX_COVERED_VALUE_BYTES`].
async fn collect_value(
    mut body: Incoming,
    mut permit: Option<MemoryPermit>,
    copies: &CopyDetector<'_>,
    relay: RelayContext,
) -> Result<ServerReply, Outcome> {
    let mut buffer = BytesMut::with_capacity(permit.as_ref().map_or(0, MemoryPermit::num_permits));
    while let Some(bytes) = next_bytes(&mut body).await? {
        let length = buffer.len() + bytes.len();
        if length > MAX_VALUE_BYTES {
            return Err(Outcome::ServerError);
        }
        let covered = permit.as_ref().map_or(MAX_COVERED_VALUE_BYTES, MemoryPermit::num_permits);
        if length > covered {
            let larger = reserve_for_unknown_length(length, &relay).await?;
            buffer.reserve(larger.num_permits() - buffer.len());
            permit = Some(larger);
        }
        buffer.extend_from_slice(&bytes);
    }
    let value = buffer.freeze();
    let identity = ReplyIdentity::buffered(&value);
    let mut result = AttemptResult::of(Outcome::Success);
    if value.len() <= MAX_BUFFERED_BYTES {
        result.value = BufferedValue { bytes: value, permit };
    } else if copies.is_copy(identity) {
        return Err(Outcome::ServerError);
    } else {
        (relay.on_start)(ValueStream::complete(Chunk::new(value, permit)));
    }
    Ok(copies.checked(ServerReply { result, identity, reusable: true }))
}

/// Reserves memory for a value of unknown length of which `length` bytes have arrived: for a short one if that is enough
/// and free, or else for the largest one.
async fn reserve_for_unknown_length(length: usize, relay: &RelayContext) -> Result<MemoryPermit, Outcome> {
    let short = if length <= MAX_BUFFERED_BYTES { relay.try_reserve_reply(MAX_BUFFERED_BYTES) } else { None };
    match short {
        Some(permit) => Ok(permit),
        None => relay.reserve_largest_value().await.map_err(|_| Outcome::ConnectionReset),
    }
}

/// Reads the next part of a body; `None` at its end.
async fn next_bytes(body: &mut Incoming) -> Result<Option<Bytes>, Outcome> {
    loop {
        let frame =
            timeout(SERVER_SILENCE_TIMEOUT, body.frame()).await.map_err(|_| Outcome::ConnectionReset)?;
        let Some(frame) = frame else { return Ok(None) };
        if let Ok(bytes) = frame.map_err(|_| Outcome::ConnectionReset)?.into_data() {
            return Ok(Some(bytes));
        }
    }
}

/// Relays a large value of known length as it arrives.
async fn relay_value(
    mut body: Incoming,
    length: usize,
    copies: &CopyDetector<'_>,
    relay: RelayContext,
) -> Result<ServerReply, Outcome> {
    if copies.is_relayed_copy(length) {
        return Err(Outcome::ServerError);
    }
    let identity = ReplyIdentity::relayed(length);
    let RelayContext { budget, on_start, .. } = relay;
    let (sink, stream) = value_channel(length);
    let mut start = Some((on_start, stream));
    let mut remaining = length;
    while remaining > 0 {
        let frame = tokio::select! {
            frame = timeout(SERVER_SILENCE_TIMEOUT, body.frame()) => frame,
            () = sink.closed() => return Err(Outcome::Canceled),
        };
        let frame = frame.ok().flatten().and_then(Result::ok).ok_or(Outcome::ConnectionReset)?;
        let Ok(mut bytes) = frame.into_data() else { continue };
        remaining = remaining.checked_sub(bytes.len()).ok_or(Outcome::ServerError)?;
        while !bytes.is_empty() {
            let slot = sink.slot().await.map_err(|ReceiverDropped| Outcome::Canceled)?;
            let chunk = budget.next_chunk(&mut bytes);
            if let Some((on_start, stream)) = start.take() {
                on_start(stream);
            }
            slot.send(chunk);
        }
    }
    Ok(ServerReply { result: AttemptResult::of(Outcome::Success), identity, reusable: true })
}
