//! Discovery: what has changed since the list that is known, at once, then a watch; see `Watch::run`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;
use tracing::warn;

use stonefold_proto::list::List;

use crate::message::Message;

/// How long a watch waits for news in a small fleet. Guards against: a discovery that has fallen silent and is
/// believed to have no news for long.
const WAIT: Duration = Duration::from_secs(2);
/// The more nodes, the longer: all share one discovery, which answers so many of them for each wait ...
const NODES_A_WAIT: u32 = 8;
/// ... and what it has to tell counts as told only once the wait is over.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// How long the whole list may take, since callers wait in turn, and how much longer a watch than it waits.
const ANSWER: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(1);
/// In a small fleet a discovery that falls silent is asked anew before its news count as told, after 6 s.
const _: () = assert!(ANSWER.as_millis() + WAIT.as_millis() + LATE.as_millis() < 6_000);
/// Where nobody says when to call again: the first and the longest pause after failed calls, with full jitter.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Larger lists are not believed.
const LARGEST: usize = 4 << 20;

/// Follows the list.
pub struct Watch {
    /// Where the list must be subscribed to: told when the module asks for it, at first and after a failure.
    asked: Option<Arc<Notify>>,
    after: u64,
    to: UnboundedSender<Message>,
    connection: Option<Client>,
    /// Whether the next call is the first at its address: it waits for nothing.
    first: bool,
    /// Whether the whole list is wanted: none is known, or discovery has begun anew.
    ///
    /// Guards against: hundreds of nodes that start together and each ask for hundreds of lines, so that most are
    /// turned away and learn of drains too late. What changed since the list they know is a few lines.
    whole: bool,
    /// Whether the next call must wait until it is due.
    held: bool,
    /// Calls that failed in a row.
    failed: u32,
    wait: Duration,
    rng: fastrand::Rng,
    /// Whether entries that can't be read have been spoken of.
    complained: bool,
}

/// A connection to discovery, closed when it is dropped.
struct Client {
    sender: SendRequest<Empty<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

type Error = Box<dyn std::error::Error + Send + Sync>;

impl Watch {
    /// A watch for one of so many nodes, which follows on a version of the list; on none where that is 0.
    pub fn new(
        asked: Option<Arc<Notify>>,
        after: u64,
        nodes: usize,
        seed: u64,
        to: UnboundedSender<Message>,
    ) -> Self {
        let (held, connection) = (asked.is_some(), None);
        let shares = u32::try_from(nodes).unwrap_or(u32::MAX).div_ceil(NODES_A_WAIT).max(1);
        let wait = WAIT.saturating_mul(shares).min(LONGEST_WAIT);
        let rng = fastrand::Rng::with_seed(seed);
        let (first, whole) = (true, after == 0);
        Watch { asked, after, to, connection, first, whole, held, failed: 0, wait, rng, complained: false }
    }

    /// Full jitter over a time that doubles with each failure.
    fn pause(&mut self) -> Duration {
        let most = PAUSE.saturating_mul(1 << self.failed.min(10)).min(LONGEST_PAUSE);
        most.mul_f64(self.rng.f64())
    }

    /// Fetches what is new, then watches; goes on until the node ends. A failed call keeps the list. A new
    /// address breaks off what is out at the old one, and is asked for what is new at once.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let at = *address.borrow_and_update();
            let told = tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    (self.connection, self.first, self.held) = (None, true, false);
                    continue;
                }
                told = self.call(at) => told,
            };
            if self.to.send(told).is_err() {
                return;
            }
        }
    }

    /// The next call, when it is due. Cancelled, it leaves nothing open.
    async fn call(&mut self, at: SocketAddr) -> Message {
        match &self.asked {
            Some(asked) if self.held => asked.notified().await,
            None if self.held => {
                let pause = self.pause();
                sleep(pause).await;
            }
            _ => {}
        }
        let wait = if self.first { Duration::ZERO } else { self.wait };
        let path = match self.whole {
            true => "/discovery/hosts".to_owned(),
            false => format!("/discovery/hosts?after={}&wait_ms={}", self.after, wait.as_millis()),
        };
        let limit = if self.first || self.whole { ANSWER } else { self.wait + LATE };
        let told = timeout(limit, self.fetch(at, &path)).await.unwrap_or_else(|late| Err(late.into()));
        self.held = told.is_err();
        self.failed = if told.is_err() { self.failed.saturating_add(1) } else { 0 };
        match told {
            Ok(list) => {
                // It has begun anew, and what it changed before is not known.
                self.whole = !list.full && list.version < self.after;
                (self.first, self.after) = (false, list.version);
                if list.skipped > 0 && !self.complained {
                    warn!(
                        event = "entries_skipped",
                        entries = list.skipped,
                        "entries of the list can't be read"
                    );
                    self.complained = true;
                }
                Message::List(list)
            }
            Err(error) => {
                warn!(event = "discovery_failed", at = %at, %error, failed = self.failed, "the list stays as it was");
                Message::ListFailed
            }
        }
    }

    async fn fetch(&mut self, at: SocketAddr, path: &str) -> Result<List, Error> {
        let mut client = match self.connection.take().filter(|client| !client.sender.is_closed()) {
            Some(client) => client,
            None => connect(at).await?,
        };
        client.sender.ready().await?;
        let request = Request::get(path).header(HOST, at.to_string()).body(Empty::<Bytes>::new())?;
        let answer = client.sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LARGEST).collect().await?.to_bytes();
        if status != StatusCode::OK {
            return Err(format!("answered {status}").into());
        }
        let list: List = serde_json::from_slice(&body)?;
        if list.full && list.servers.is_empty() && list.skipped > 0 {
            return Err("no entry of the list can be read".into());
        }
        self.connection = Some(client);
        Ok(list)
    }
}

async fn connect(at: SocketAddr) -> Result<Client, Error> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        let _ = connection.await; // a break shows in the call that is out
    });
    Ok(Client { sender, _task: AbortOnDropHandle::new(task) })
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::sync::mpsc::unbounded_channel;

    fn watch(nodes: usize, seed: u64) -> Watch {
        Watch::new(None, 0, nodes, seed, unbounded_channel().0)
    }

    #[test]
    fn the_more_nodes_the_longer_a_watch_waits_up_to_a_bound() {
        let waits = [1, 8, 9, 48, 10_000].map(|nodes| watch(nodes, 1).wait.as_secs());
        assert_eq!(waits, [2, 2, 4, 12, 20]);
    }

    #[test]
    fn nodes_that_were_turned_away_together_come_back_apart_and_ever_later() {
        let pauses = |failed| {
            let of = |seed| Watch { failed, ..watch(48, seed) }.pause();
            let mut all: Vec<Duration> = (0..100).map(of).collect();
            all.sort();
            all
        };
        let (first, later) = (pauses(1), pauses(4));
        assert!(first[99] <= PAUSE * 2 && later[99] <= PAUSE * 16);
        assert!(later[50] > first[99], "later: {:?}", later[50]);
        assert!(later[10] < later[99] / 4 && later[90] > later[99] / 2, "spread over all of the time");
        assert!(pauses(u32::MAX)[99] <= LONGEST_PAUSE);
    }
}
