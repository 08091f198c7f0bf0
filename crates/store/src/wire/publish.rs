//! A publisher's side of a subscriber's connection.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout};

use super::link::{HANDSHAKE, Link, Receiving, Sending, WireError, locked};
use crate::feed::frame::{Downlink, FRAME, Refusal, Uplink, read, write};
use crate::feed::publisher::{Limits, Session};
use crate::feed::table::Table;
use crate::freshness::Millis;
use crate::replica::{Replica, Transport};

/// A last word is not waited for longer.
const LAST_WORD: Duration = Duration::from_millis(200);

/// What is published.
pub trait Source: Clone + Send + Sync + 'static {
    /// Whether it is a member's, whose word is the last.
    const MEMBER: bool;
    /// The cluster it is of.
    fn cluster(&self) -> u128;
    /// What is held now. All that was committed so many ms ago is; nothing if that is not known.
    fn with<R>(&self, work: impl FnOnce(&mut Table, Option<Millis>) -> R) -> R;
    /// Tells when it has changed.
    fn changed(&self) -> watch::Receiver<u64>;
}

/// A member's: nothing of it is held until somebody follows.
pub(super) struct Applying<T> {
    replica: Replica<T>,
    table: Arc<Mutex<Table>>,
}

impl<T> Applying<T> {
    pub fn new(replica: Replica<T>) -> Applying<T> {
        Applying { replica, table: Arc::default() }
    }
}

impl<T: Clone> Clone for Applying<T> {
    fn clone(&self) -> Applying<T> {
        Applying { replica: self.replica.clone(), table: self.table.clone() }
    }
}

impl<T: Transport> Source for Applying<T> {
    const MEMBER: bool = true;

    fn cluster(&self) -> u128 {
        self.replica.identity().cluster
    }

    fn with<R>(&self, work: impl FnOnce(&mut Table, Option<Millis>) -> R) -> R {
        // First how fresh the replica is, then what it has applied: the other way round it would be said too well.
        let stale = self
            .replica
            .freshness(|freshness, now| freshness.is_confirmed().then(|| freshness.stale_for(now)));
        let mut table = locked(&self.table);
        table.follow(&self.replica.shared().read());
        work(&mut table, stale)
    }

    fn changed(&self) -> watch::Receiver<u64> {
        self.replica.applied()
    }
}

/// Serves one subscriber for as long as it follows.
pub(super) async fn publish<S: Source>(link: Link, source: &S, limits: Limits) -> Result<(), WireError> {
    let (mut sending, mut receiving) = link.split();
    let start = Instant::now();
    let now = move || start.elapsed().as_millis() as Millis;
    let hello = timeout(HANDSHAKE, receiving.bytes(FRAME)).await.unwrap_or(Err(WireError::Late))?;
    let opened = match read(&hello) {
        Ok(Uplink::Hello(hello)) => {
            source.with(|table, _| Session::open(&hello, table, S::MEMBER, limits, now()))
        }
        Ok(Uplink::Ack(_)) => Err(Refusal::Malformed("an acknowledgement before a hello".into())),
        Err(error) => Err(Refusal::Malformed(error.to_string())),
    };
    let session = match opened {
        Ok(session) => Mutex::new(session),
        Err(why) => return refuse(&mut sending, why).await,
    };
    let heard = Notify::new();
    let ended = tokio::select! {
        ended = hear(&mut receiving, &session, &heard, now) => ended,
        ended = send(&mut sending, source, &session, &heard, now, limits) => ended,
    };
    match ended {
        Ok(Some(why)) => refuse(&mut sending, why).await,
        Ok(None) | Err(WireError::Io(_)) => Ok(()), // it is gone
        Err(error) => Err(error),
    }
}

async fn refuse(sending: &mut Sending, why: Refusal) -> Result<(), WireError> {
    let told = why.to_string();
    if let Ok(bytes) = write(&Downlink::Refused(why)) {
        let _ = timeout(LAST_WORD, sending.bytes(&bytes)).await; // it may be gone, or not reading: then it finds out
    }
    Err(WireError::Refused(told))
}

/// What the subscriber says, until it ends, or says what can't be.
async fn hear(
    receiving: &mut Receiving,
    session: &Mutex<Session>,
    heard: &Notify,
    now: impl Fn() -> Millis,
) -> Result<Option<Refusal>, WireError> {
    loop {
        let bytes = match receiving.bytes(FRAME).await {
            Err(WireError::Io(_)) => return Ok(None),
            bytes => bytes?,
        };
        let taken = match read(&bytes) {
            Ok(Uplink::Ack(ack)) => locked(session).heard(ack, now()),
            Ok(Uplink::Hello(_)) => Err(Refusal::Malformed("a second hello".into())),
            Err(error) => Err(Refusal::Malformed(error.to_string())),
        };
        if let Err(why) = taken {
            return Ok(Some(why));
        }
        heard.notify_one();
    }
}

/// What changes, until the subscriber is to be cut.
async fn send<S: Source>(
    sending: &mut Sending,
    source: &S,
    session: &Mutex<Session>,
    heard: &Notify,
    now: impl Fn() -> Millis,
    limits: Limits,
) -> Result<Option<Refusal>, WireError> {
    let mut changed = source.changed();
    let patience = Duration::from_millis(limits.patience);
    loop {
        changed.borrow_and_update();
        let (polled, due, at) = source.with(|table, stale| {
            let (mut session, at) = (locked(session), now());
            let polled = session.poll(at, table, stale);
            (polled, session.due(at, table), at)
        });
        match polled {
            Err(why) => return Ok(Some(why)),
            Ok(Some(bytes)) => match timeout(patience, sending.bytes(&bytes)).await {
                Ok(sent) => sent?,
                Err(_) => return Ok(Some(Refusal::Slow(limits.patience))),
            },
            Ok(None) => {
                let until = Instant::now() + Duration::from_millis(due.saturating_sub(at).max(1));
                tokio::select! {
                    () = sleep_until(until) => {}
                    () = heard.notified() => {}
                    // A source that has ended changes no more, and its heartbeats go on until its connections end.
                    Ok(()) = changed.changed() => {}
                }
            }
        }
    }
}
