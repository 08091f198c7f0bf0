//! Discovery: what has changed since the list that is known, at once, then a watch; see `Watch::run`. When it is called,
//! and for how long, is planned by `pace`.

mod pace;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::AbortOnDropHandle;
use tracing::warn;

use stonefold_net::Socket;
use stonefold_proto::endpoints::EndpointList;

use crate::message::{Message, SharedSettings};

use pace::{End, Pace};

/// Larger lists are not believed.
const LARGEST: usize = 4 << 20;

/// Follows the list.
pub struct Watch {
    /// Where lists are asked for: told when the module asks for the first time.
    asked: Arc<Notify>,
    terms: watch::Receiver<SharedSettings>,
    after: u64,
    to: UnboundedSender<Message>,
    connection: Option<Client>,
    /// Whether the whole list is wanted: none is known, or discovery has begun anew.
    ///
    /// Guards against: hundreds of nodes that start together and each ask for hundreds of lines, so that most are
    /// turned away and learn of drains too late. What changed since the list they know is a few lines.
    whole: bool,
    /// Whether the first call must wait until the module asks for it.
    held: bool,
    pace: Pace,
    rng: fastrand::Rng,
    /// Whether entries that can't be read have been spoken of.
    complained: bool,
}

/// A connection to discovery, closed when it is dropped.
struct Client {
    sender: SendRequest<Empty<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

type Cause = Box<dyn std::error::Error + Send + Sync>;

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
enum Failure {
    /// Nothing came in time, at first or in the middle.
    #[error("silent for too long {0}")]
    Silent(&'static str),
    #[error("answered {0}")]
    Refused(StatusCode),
    #[error("no entry of the list can be read")]
    Unreadable,
    #[error(transparent)]
    Broken(#[from] Cause),
}

impl Failure {
    fn broken(cause: impl Into<Cause>) -> Failure {
        Failure::Broken(cause.into())
    }

    /// What the pace has to know of it.
    fn end(&self) -> End {
        match self {
            Failure::Silent(_) => End::Silent,
            Failure::Refused(_) => End::Refused,
            Failure::Unreadable | Failure::Broken(_) => End::Broken,
        }
    }
}

impl Watch {
    /// A watch that follows on a version of the list, if one is known.
    pub fn new(
        asked: Arc<Notify>,
        after: Option<u64>,
        terms: watch::Receiver<SharedSettings>,
        seed: u64,
        to: UnboundedSender<Message>,
    ) -> Self {
        let (whole, after, held) = (after.is_none(), after.unwrap_or(0), terms.borrow().discovery.watch);
        // Where it is asked, a watch alone is opened on a list that is known: it tells at once what is new.
        let pace = Pace::new(whole || !held);
        let (rng, complained) = (fastrand::Rng::with_seed(seed), false);
        Watch { asked, terms, after, to, connection: None, whole, held, pace, rng, complained }
    }

    /// Fetches what is new, then watches; goes on until the node ends. A failed call keeps the list. A new
    /// address breaks off what is out at the old one, and is asked for what is new at once.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let at = *address.borrow_and_update();
            let told = tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    (self.connection, self.held) = (None, false);
                    self.pace.moved();
                    continue;
                }
                told = self.call(at) => told,
            };
            if self.to.send(told).is_err() {
                return;
            }
        }
    }

    /// Waits until the module has asked for lists. Cancelled, it waits no more.
    async fn asked(&mut self) {
        if !std::mem::take(&mut self.held) {
            return;
        }
        tokio::select! {
            () = self.asked.notified() => {}
            // Lists are pushed from now on, and nobody asks any more.
            Ok(_) = self.terms.wait_for(|terms| !terms.discovery.watch) => {}
        }
    }

    /// The next call, when it is due; tells what came of it. Cancelled, it leaves nothing open.
    async fn call(&mut self, at: SocketAddr) -> Message {
        self.asked().await;
        if self.whole {
            self.pace.ask_at_once();
        }
        let following = self.terms.borrow().discovery;
        let call = self.pace.next(following, &mut self.rng);
        if !call.pause.is_zero() {
            sleep(call.pause).await; // even a sleep of nothing takes a turn of the clock
        }
        let path = match self.whole {
            true => "/discovery/hosts".to_owned(),
            false => format!("/discovery/hosts?after={}&wait_ms={}", self.after, call.wait.as_millis()),
        };
        let began = Instant::now();
        let told = timeout(call.limit, self.fetch(at, &path)).await;
        let told = told.unwrap_or(Err(Failure::Silent("before an answer")));
        let end = told.as_ref().map_or_else(Failure::end, |_| End::Answered);
        self.pace.ended(call, end, began.elapsed());
        match told {
            Ok(list) => {
                // It has begun anew, and what it changed before is not known.
                self.whole = !list.full && list.version < self.after;
                self.after = list.version;
                if list.skipped > 0 && !self.complained {
                    warn!(
                        event = "entries_skipped",
                        entries = list.skipped,
                        "entries of the list can't be read"
                    );
                    self.complained = true;
                }
                Message::EndpointList(list)
            }
            Err(error) => {
                let failed = self.pace.failed();
                warn!(event = "discovery_failed", at = %at, %error, failed, "the list stays as it was");
                Message::EndpointListFailed
            }
        }
    }

    async fn fetch(&mut self, at: SocketAddr, path: &str) -> Result<EndpointList, Failure> {
        let mut client = match self.connection.take().filter(|client| !client.sender.is_closed()) {
            Some(client) => client,
            None => {
                let connected = timeout(pace::CONNECT, connect(at)).await;
                connected.map_err(|_| Failure::Silent("while connecting"))?.map_err(Failure::broken)?
            }
        };
        client.sender.ready().await.map_err(Failure::broken)?;
        let request = Request::get(path).header(HOST, at.to_string()).body(Empty::<Bytes>::new());
        let sent = client.sender.send_request(request.map_err(Failure::broken)?);
        let answer = sent.await.map_err(Failure::broken)?;
        let status = answer.status();
        let body = timeout(pace::BODY, Limited::new(answer.into_body(), LARGEST).collect()).await;
        let body = body.map_err(|_| Failure::Silent("within an answer"))??.to_bytes();
        if status != StatusCode::OK {
            return Err(Failure::Refused(status));
        }
        let list: EndpointList = serde_json::from_slice(&body).map_err(Failure::broken)?;
        if list.full && list.servers.is_empty() && list.skipped > 0 {
            return Err(Failure::Unreadable);
        }
        self.connection = Some(client);
        Ok(list)
    }
}

async fn connect(at: SocketAddr) -> Result<Client, Cause> {
    let stream = Socket::connect(at).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        let _ = connection.await; // a break shows in the call that is out
    });
    Ok(Client { sender, _task: AbortOnDropHandle::new(task) })
}
