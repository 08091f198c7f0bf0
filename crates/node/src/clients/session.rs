//! One client's connection: reads its commands, writes the answers.

mod commands;

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use redis_protocol::resp2::types::BytesFrame;
use stonefold_net::{Socket, SocketErrorKind};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{debug, trace};

use super::Clients;
use super::absent::{UnreadSince, gone, linger, unless_gone};
use super::command::announced;
use super::idle::{IdleSlot, IdleState};
use super::owed::{Due, Outgoing, Owed, encode, next, outgoing};
use crate::invariants::Invariant;
use crate::message::Message;
use crate::presence::Presence;
use crate::relay::{CHUNK, Room, STUCK, WHOLE};

/// Room for a command that does not tell how long it is.
const UNTOLD: usize = 2 * WHOLE;
/// Requests that one connection may have open; those beyond are refused.
const PIPELINED: usize = 64;
/// Answers owed on one connection, errors among them; beyond that it is not read.
const OWED: usize = 1024;
/// Commands begun, and bytes of answers written, before others have their turn.
const TURN: usize = 32;
const WRITTEN: usize = 16 << 10;
/// A buffer of up to this size is any connection's; larger ones are for a few at a time.
const SMALL: usize = 8 << 10;
/// What an open request is reckoned to hold in memory beside its command.
const PER_REQUEST: usize = 4 << 10;
/// A connection that has had nothing good to say for so long is closed: silent, or in the midst of a command.
const PATIENCE: Duration = Duration::from_millis(2500);
/// After what can't be read, answers that are owed are waited for so long.
const PARTING: Duration = Duration::from_millis(1500);
/// A client that can't be understood is owed an error or a close within 3 s.
const _: () = assert!(PATIENCE.as_millis() < 3_000 && PARTING.as_millis() < 3_000);

/// Why a client's connection ended, where that was no error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The client closed it, or its sending side.
    ClosedByClient,
    /// The node is to stop, and nothing is owed.
    Stopping,
    /// After a malformed frame.
    Malformed,
    /// Nothing good came for too long.
    Silent,
    /// Its place was needed for another.
    Evicted,
}

pub struct Session {
    shared: Clients,
    presence: Presence,
    buffer: BytesMut,
    /// The room of a buffer that is not small.
    large: Option<Room>,
    /// How much of it had come when the client's patience was last reckoned from.
    come: usize,
    /// When the bytes that were read last came, at the earliest.
    came_at: Instant,
    /// When they were read.
    read_at: Instant,
    unread: UnreadSince,
    owed: VecDeque<Owed>,
    /// How many of those owed are requests.
    open: usize,
    /// Whether it has ever sent a command that is good.
    heard: bool,
    /// Whether it has ever had a request. Guards against: crowds that ask whether the node is there, and stay.
    asked: bool,
    /// Since when nothing good has come: its start, its last answer, or a command's first byte.
    since: Instant,
    /// Whether the buffer may hold another whole command.
    more: bool,
    /// When a malformed frame came: nothing more is read.
    broken: Option<Instant>,
}

impl Session {
    pub fn new(shared: Clients) -> Self {
        let now = Instant::now();
        Session {
            presence: Presence::default(),
            buffer: BytesMut::new(),
            large: None,
            come: 0,
            came_at: now,
            read_at: now,
            unread: UnreadSince::new(shared.stalls.clone()),
            owed: VecDeque::new(),
            open: 0,
            heard: false,
            asked: false,
            since: now,
            more: false,
            broken: None,
            shared,
        }
    }

    pub async fn run(mut self, stream: Socket) {
        // Whether it ended by a break or between requests is all one here.
        let ended = self.serve(&stream).await;
        self.presence.end();
        let left = self.owed.is_empty() && ended.is_ok();
        self.note_ending(&ended);
        for owed in self.owed.drain(..) {
            if let Owed::Waiting(pending) = owed {
                let _ = self.shared.to.send(Message::ClientDisconnected(pending.id));
            }
        }
        if left {
            linger(&stream, &mut self.unread).await;
        }
        drop(stream);
        self.shared.left.notify_waiters();
    }

    /// Logs the connection's end, and counts it if answers are owed.
    fn note_ending(&self, ended: &io::Result<Ending>) {
        if self.owed.is_empty() {
            trace!(
                event = "client_left",
                unread = self.buffer.len(),
                ?ended,
                "a client's connection is closed"
            );
            return;
        }
        let figures = &self.shared.metrics.unanswered_closes;
        match ended {
            Ok(_) => figures.by_client.increment(),
            Err(error)
                if matches!(
                    SocketErrorKind::of(error),
                    SocketErrorKind::PeerClosed | SocketErrorKind::Unreachable
                ) =>
            {
                figures.by_client.increment();
            }
            Err(_) => {
                figures.by_node.increment();
                self.shared.metrics.violations.record(Invariant::NoUnansweredClose, &[]);
            }
        }
        debug!(
            event = "client_left_owed",
            owed = self.owed.len(),
            unread = self.buffer.len(),
            ?ended,
            stopping = self.shared.closing.used.is_cancelled(),
            "a client's connection is closed with answers owed"
        );
    }

    async fn serve(&mut self, client: &Socket) -> io::Result<Ending> {
        let (closing, budget) = (self.shared.closing.clone(), self.shared.budget.clone());
        let mut slot = None;
        loop {
            let unowed = self.owed.is_empty();
            let stopping = closing.used.is_cancelled();
            let parting = stopping && self.asked || closing.silent.is_cancelled();
            if unowed && (self.broken.is_some() || parting && self.buffer.is_empty()) {
                client.shutdown_write()?;
                return Ok(if self.broken.is_some() { Ending::Malformed } else { Ending::Stopping });
            }
            let idle = unowed.then(|| self.idle_state());
            if idle != slot.as_ref().map(IdleSlot::state) {
                slot = idle.map(|state| self.shared.idle.enter(state, self.since));
            }
            // Guards against: a client that always has a command under way and so keeps a node that is to
            // stop until it is killed with something unanswered. What is not read, the client sends again.
            let reading = self.may_begin() && !self.more && (!stopping || unowed);
            let roomy = self.buffer.len() < SMALL || self.large.is_some();
            let wanted = if roomy { 0 } else { announced(&self.buffer).unwrap_or(UNTOLD) };
            let looks = !(self.more || reading && roomy);
            let (may_give_up, give_up_at) = (self.may_give_up(), self.give_up_at());
            tokio::select! {
                biased;
                read = client.read_buf(&mut self.buffer), if reading && roomy => {
                    let read = read?;
                    if read == 0 {
                        return Ok(Ending::ClosedByClient);
                    }
                    self.note_read(client, read);
                }
                // Guards against: a client that leaves while it is not read, and whose requests go on.
                () = gone(client, &mut self.unread), if looks => return Ok(Ending::ClosedByClient),
                // Guards against: long commands on all connections at once, which outgrow the memory.
                Ok(room) = budget.room(wanted), if reading && !roomy => {
                    self.buffer.reserve(wanted.saturating_sub(self.buffer.len()));
                    (self.large, self.come) = (Some(room), self.buffer.len());
                    self.since = Instant::now(); // it was we who let the client wait
                }
                outgoing = next(&mut self.owed), if !unowed => self.write_out(client, outgoing).await?,
                () = yield_now(), if self.more => {}
                () = closing.used.cancelled(), if !stopping => {}
                () = closing.silent.cancelled(), if !closing.silent.is_cancelled() => {}
                () = sleep_until(give_up_at), if may_give_up => return give_up(client).await,
                () = IdleSlot::evicted(&mut slot) => {
                    client.shutdown_write()?;
                    return Ok(Ending::Evicted);
                }
            }
            self.begin();
        }
    }

    /// Bytes have come: so many, and now.
    fn note_read(&mut self, client: &Socket, read: usize) {
        let now = Instant::now();
        self.came_at = self.unread.read(client);
        self.read_at = now;
        if self.heard && read == self.buffer.len() {
            self.since = now; // a command's first byte
        }
        // A long value may take its time as long as it comes on.
        if self.large.is_some() && self.buffer.len() >= self.come + CHUNK {
            (self.since, self.come) = (now, self.buffer.len());
        }
    }

    /// Writes an answer, and those behind it that are at hand, as long as the client is there.
    async fn write_out(&mut self, client: &Socket, outgoing: Outgoing) -> io::Result<()> {
        match outgoing {
            Outgoing::Frame(frame, due) => {
                let (text, dues) = self.answers(frame, due);
                let write = async { timeout(STUCK, client.write_all(&text)).await? };
                unless_gone(client, &mut self.unread, write).await?;
                dues.iter().for_each(|due| due.check(&self.shared.metrics.violations));
            }
            // A long value takes as long as its client and its server make it.
            Outgoing::Value(stream, _pending) => {
                unless_gone(client, &mut self.unread, stream.write_to(&mut { client })).await?;
            }
        }
        self.recount();
        self.since = Instant::now();
        Ok(())
    }

    fn idle_state(&self) -> IdleState {
        match (self.buffer.is_empty(), self.asked) {
            (false, _) => IdleState::Sending,
            (true, true) => IdleState::Resting,
            (true, false) => IdleState::Silent,
        }
    }

    /// Whether the client is waited for only for a while.
    ///
    /// Guards against: silent connections and halves of commands, which would be held for ever, and an error
    /// that waits behind an answer which is long in coming.
    fn may_give_up(&self) -> bool {
        let waits_for_us = self.buffer.len() >= SMALL && self.large.is_none();
        let silent = self.owed.is_empty() && (!self.heard || !self.buffer.is_empty());
        self.broken.is_some() || silent && !waits_for_us
    }

    fn give_up_at(&self) -> Instant {
        self.broken.map_or(self.since + PATIENCE, |at| at + PARTING)
    }

    /// The text of an answer, and of those behind it that are at hand, and when they are due.
    fn answers(&mut self, first: BytesFrame, due: Option<Due>) -> (BytesMut, Vec<Due>) {
        let mut text = BytesMut::new();
        let mut dues = Vec::from_iter(due);
        encode(&mut text, &first);
        while text.len() < WRITTEN {
            let frame = match self.owed.front_mut() {
                Some(Owed::Ready(frame)) => std::mem::replace(frame, BytesFrame::Null),
                Some(Owed::Refused(answer)) => match answer.try_recv().map(outgoing) {
                    Ok(Ok(frame)) => frame,
                    _ => break, // not yet, as below
                },
                Some(Owed::Waiting(pending)) => match pending.answer.try_recv() {
                    Ok(answer) => match outgoing(answer) {
                        Ok(frame) => {
                            dues.push(pending.due.clone());
                            frame
                        }
                        Err(stream) => {
                            if let Some(Owed::Waiting(pending)) = self.owed.pop_front() {
                                self.owed.push_front(Owed::Coming(stream, pending));
                            }
                            break;
                        }
                    },
                    Err(_) => break, // not yet; should its sender be gone, the next turn says so
                },
                Some(Owed::Coming(..)) | None => break,
            };
            self.owed.pop_front();
            encode(&mut text, &frame);
        }
        (text, dues)
    }

    fn recount(&mut self) {
        self.open = self.owed.iter().filter(|owed| owed.is_open()).count();
    }
}

/// Tells a client of which nothing good has come for too long so, and ends its connection.
async fn give_up(client: &Socket) -> io::Result<Ending> {
    let error = BytesFrame::Error("ERR no whole command".into());
    let mut text = BytesMut::new();
    encode(&mut text, &error);
    timeout(STUCK, client.write_all(&text)).await??;
    client.shutdown_write()?;
    Ok(Ending::Silent)
}
