//! A session's commands: which of them are begun, and what becomes of them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use stonefold_balancer::RequestId;
use stonefold_proto::resp::{MalformedFrame, decode_frame};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::trace;

use super::{OWED, PER_REQUEST, PIPELINED, SMALL, Session, TURN, UNTOLD};
use crate::clients::command::{CommandError, arguments, parse_command};
use crate::clients::owed::{Due, Held, OpenId, Owed, Pending};
use crate::invariants::Invariant;
use crate::message::{ExcessRequest, IncomingRequest, Message};
use crate::metrics::InFlight;
use crate::relay::LARGEST;
use crate::request::ClientRequest;

impl Session {
    /// The longest command that is read: no longer than there is room for it.
    pub(super) fn frame_limit(&self) -> usize {
        match &self.large {
            Some(room) => room.num_permits().max(UNTOLD),
            None => LARGEST,
        }
    }

    /// Whether another command may be begun.
    pub(super) fn may_begin(&self) -> bool {
        let room = || self.shared.held.load(Ordering::Relaxed) < self.shared.bounds.memory / 2;
        self.broken.is_none() && self.owed.len() < OWED && (self.owed.is_empty() || room())
    }

    /// Begins commands that have come whole, as many as have their turn.
    pub(super) fn begin(&mut self) {
        let before = self.buffer.len();
        self.more = self.begin_some();
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new(); // what has grown goes back
        }
        if self.buffer.len() < before {
            self.since = Instant::now();
            self.large = None; // it was for the command that has gone; the next one tells anew
        }
    }

    /// Tells whether there may be more.
    pub(super) fn begin_some(&mut self) -> bool {
        for _ in 0..TURN {
            if !self.may_begin() {
                return false;
            }
            let (before, limit) = (self.buffer.len(), self.frame_limit());
            let owed = match decode_frame(&mut self.buffer, limit).map(|f| f.map(arguments)) {
                Ok(None) => return false,
                Ok(Some(Ok(parts))) => self.command(&parts, before - self.buffer.len()),
                Ok(Some(Err(MalformedFrame))) | Err(MalformedFrame) => {
                    self.broken = Some(Instant::now());
                    self.buffer.clear();
                    Owed::Ready(BytesFrame::Error("ERR malformed command".into()))
                }
            };
            self.owed.push_back(owed);
        }
        true
    }

    pub(super) fn command(&mut self, parts: &[Bytes], length: usize) -> Owed {
        let owed = match parts {
            [name] if name.eq_ignore_ascii_case(b"PING") => {
                Ok(Owed::Ready(BytesFrame::SimpleString("PONG".into())))
            }
            _ => parse_command(parts).and_then(|command| self.request(command, length)),
        };
        self.heard |= owed.is_ok();
        owed.unwrap_or_else(|error| Owed::Ready(BytesFrame::Error(format!("ERR {error}").into())))
    }

    pub(super) fn request(&mut self, command: ClientRequest, length: usize) -> Result<Owed, CommandError> {
        // Guards against: requests that name a class which the settings lack, sent on to servers that turn
        // them away. One that names none is served.
        if command
            .metadata_value("c")
            .is_some_and(|class| !self.shared.terms.borrow().class_names.contains(class))
        {
            return Err(CommandError::Class);
        }
        if self.open >= PIPELINED {
            return Ok(self.refuse(&command));
        }
        // Guards against: the answer to another client's request, or one for both.
        let open_id = OpenId::take(&command.id, &self.shared.open_ids).ok_or(CommandError::InUse)?;
        let room = if length >= SMALL { self.large.take() } else { None };
        let in_flight = InFlight::new(&self.shared.metrics);
        let held = Held::new(PER_REQUEST + length, &self.shared.held);
        let id = RequestId(self.shared.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        if self.shared.stalls.earliest_arrival(self.read_at) < self.read_at {
            self.shared.metrics.read_after_stall.increment();
        }
        trace!(event = "taken", request = %String::from_utf8_lossy(&command.id), wait_us = command.timeout,
            came_us_ago = self.came_at.elapsed().as_micros() as u64, "a request is taken");
        if self.shared.closing.silent.is_cancelled() {
            self.shared.metrics.violations.record(Invariant::NoLateRequest, &command.id);
        }
        let due =
            Due { at: self.came_at + Duration::from_micros(command.timeout), request: command.id.clone() };
        let client = self.presence.clone();
        let arrival =
            IncomingRequest { id, request: command, received_at: self.came_at, response: sender, client };
        // A driver that is gone drops the sender, and the request ends as failed.
        let _ = self.shared.to.send(Message::RequestReceived(arrival));
        self.open += 1;
        self.asked = true;
        Ok(Owed::Waiting(Pending {
            id,
            due,
            answer,
            _open_id: open_id,
            _held: held,
            _room: room,
            _in_flight: in_flight,
        }))
    }

    /// Refuses a request that was never begun, so that its client may try again. How long it is to wait first is
    /// the driver's to say.
    pub(super) fn refuse(&mut self, command: &ClientRequest) -> Owed {
        let (sender, answer) = oneshot::channel();
        let class = command.metadata_value("c").map(str::to_owned);
        // A driver that is gone drops the sender, and the request ends as failed.
        let _ = self.shared.to.send(Message::ExcessRequest(ExcessRequest { class, response: sender }));
        self.asked = true;
        Owed::Refused(answer)
    }
}
