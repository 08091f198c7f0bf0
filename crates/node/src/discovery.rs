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

use crate::message::{Following, Message, Terms};

/// How long a watch waits for news where lists are pushed, in a small fleet. Guards against: a discovery that has
/// fallen silent and is believed to have no news for long.
const WAIT: Duration = Duration::from_secs(2);
/// The more nodes, the longer: all share one discovery, which answers so many of them for each wait ...
const NODES_A_WAIT: u32 = 8;
/// ... and what it has to tell counts as told only once the wait is over.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// How long the whole list may take, since callers wait in turn, and how much longer a watch than it waits.
const ANSWER: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(1);
/// Where a watch has fallen silent, its news count as told 6 s after that, or 2 s after its wait is over: by then
/// it is opened anew, with a second to spare.
const _: () =
    assert!(WAIT.as_millis() + LATE.as_millis() + 1_000 <= 6_000 && LATE.as_millis() + 1_000 <= 2_000);
/// A connection to discovery that is not up after so long will not come up.
const CONNECT: Duration = Duration::from_secs(1);
/// Where nobody says when to call again: the first and the longest pause after failed calls, with full jitter.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Larger lists are not believed.
const LARGEST: usize = 4 << 20;

/// Follows the list.
pub struct Watch {
    /// Where the list must be subscribed to: told when the module asks for it, at first and after a failure.
    asked: Arc<Notify>,
    terms: watch::Receiver<Terms>,
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
    /// Whether a watch has fallen silent, and what it missed is not yet known.
    missed: bool,
    /// Calls that failed in a row.
    failed: u32,
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
    /// A watch that follows on a version of the list, if one is known.
    pub fn new(
        asked: Arc<Notify>,
        after: Option<u64>,
        terms: watch::Receiver<Terms>,
        seed: u64,
        to: UnboundedSender<Message>,
    ) -> Self {
        let (whole, after, held) = (after.is_none(), after.unwrap_or(0), terms.borrow().following.subscribe);
        let rng = fastrand::Rng::with_seed(seed);
        // Where it is asked, a watch alone is opened on a list that is known: it tells at once what is new.
        let (first, missed, complained) = (whole || !held, false, false);
        Watch {
            asked,
            terms,
            after,
            to,
            connection: None,
            first,
            whole,
            held,
            missed,
            failed: 0,
            rng,
            complained,
        }
    }

    /// How long the next watch waits for news.
    ///
    /// Guards against: a discovery that is asked again and again for nothing, so that its callers queue and what is
    /// new reaches them late. Where it is asked, it has to bear that each node asks as often as the settings state:
    /// a watch waits for longer than that. It waits for a random time, so that nodes whose watches fall silent
    /// together don't all come back at once.
    fn wait(&mut self) -> Duration {
        let Following { subscribe, ask_in, nodes } = self.terms.borrow().following;
        if subscribe {
            let least = ask_in.clamp(WAIT / 2, LONGEST_WAIT / 2);
            return least + least.mul_f64(self.rng.f64());
        }
        let shares = u32::try_from(nodes).unwrap_or(u32::MAX).div_ceil(NODES_A_WAIT).max(1);
        WAIT.saturating_mul(shares).min(LONGEST_WAIT)
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
            if told.is_some_and(|told| self.to.send(told).is_err()) {
                return;
            }
        }
    }

    /// Waits until the next call is due. Cancelled, it is due all the same.
    async fn due(&mut self) {
        if !std::mem::take(&mut self.held) {
            return;
        }
        // Guards against: what a silent watch has missed and counts as told, while the module lets the node wait.
        let subscribe = |terms: &Terms| terms.following.subscribe;
        if subscribe(&self.terms.borrow()) && !self.missed {
            tokio::select! {
                () = self.asked.notified() => {}
                // Lists are pushed from now on, and nobody says any more when to call.
                Ok(_) = self.terms.wait_for(|terms| !subscribe(terms)) => {}
            }
        } else {
            let pause = self.pause();
            sleep(pause).await;
        }
    }

    /// The next call, when it is due; tells what came of it. Cancelled, it leaves nothing open.
    async fn call(&mut self, at: SocketAddr) -> Option<Message> {
        self.due().await;
        let wait = if self.first { Duration::ZERO } else { self.wait() };
        let path = match self.whole {
            true => "/discovery/hosts".to_owned(),
            false => format!("/discovery/hosts?after={}&wait_ms={}", self.after, wait.as_millis()),
        };
        let limit = if self.first || self.whole { ANSWER } else { wait + LATE };
        let told = timeout(limit, self.fetch(at, &path)).await;
        // A watch that has fallen silent is opened anew at once.
        let silent = told.is_err() && !self.missed;
        let told = told.unwrap_or_else(|late| Err(late.into()));
        self.missed = told.is_err() && (silent || self.missed);
        self.held = told.is_err() && !silent;
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
                Some(Message::List(list))
            }
            Err(error) => {
                warn!(event = "discovery_failed", at = %at, %error, failed = self.failed, "the list stays as it was");
                (!self.missed).then_some(Message::ListFailed)
            }
        }
    }

    async fn fetch(&mut self, at: SocketAddr, path: &str) -> Result<List, Error> {
        let mut client = match self.connection.take().filter(|client| !client.sender.is_closed()) {
            Some(client) => client,
            None => timeout(CONNECT, connect(at)).await??,
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
    use std::collections::HashSet;

    use socket2::{Domain, Socket, Type};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
    use tokio::time::Instant;

    use super::*;

    fn watch(nodes: usize, seed: u64) -> Watch {
        following(Following { subscribe: false, ask_in: Duration::from_secs(10), nodes }, seed)
    }

    fn following(following: Following, seed: u64) -> Watch {
        let terms = Terms { classes: HashSet::new(), longest: Duration::ZERO, following };
        Watch::new(Arc::default(), None, watch::channel(terms).1, seed, unbounded_channel().0)
    }

    #[test]
    fn where_lists_are_pushed_a_watch_waits_the_longer_the_more_nodes_there_are_up_to_a_bound() {
        let waits = [1, 8, 9, 48, 10_000].map(|nodes| watch(nodes, 1).wait().as_secs());
        assert_eq!(waits, [2, 2, 4, 12, 20]);
    }

    #[test]
    fn where_lists_are_asked_for_a_watch_waits_for_longer_than_the_time_for_asking_and_each_for_its_own() {
        for (ask_in, least) in [(0, 1_000), (3_000, 3_000), (10_000, 10_000), (60_000, 10_000)] {
            let asking = Following { subscribe: true, ask_in: Duration::from_millis(ask_in), nodes: 6 };
            let waits = (0..100).map(|seed| following(asking, seed).wait().as_millis());
            let mut waits: Vec<u128> = waits.collect();
            waits.sort();
            assert!(waits[0] >= least && waits[99] <= 2 * least, "{ask_in}: {waits:?}");
            assert!(waits[90] - waits[10] > least / 2, "spread: {waits:?}");
        }
    }

    /// A watch at work, and the ends by which a test plays discovery, the module and the configuration.
    struct Stage {
        listener: TcpListener,
        asked: Arc<Notify>,
        terms: watch::Sender<Terms>,
        heard: UnboundedReceiver<Message>,
        _address: watch::Sender<SocketAddr>,
        _watch: AbortOnDropHandle<()>,
    }

    const BOUND: Duration = Duration::from_secs(300);

    impl Stage {
        async fn new(subscribe: bool) -> Stage {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            Stage::at(subscribe, listener.local_addr().unwrap(), listener)
        }

        fn at(subscribe: bool, at: SocketAddr, listener: TcpListener) -> Stage {
            let following = Following { subscribe, ask_in: Duration::from_secs(10), nodes: 4 };
            let (terms, told) =
                watch::channel(Terms { classes: HashSet::new(), longest: Duration::ZERO, following });
            let (asked, (to, heard)) = (Arc::<Notify>::default(), unbounded_channel());
            let (_address, address) = watch::channel(at);
            asked.notify_one();
            let watching = Watch::new(asked.clone(), Some(41), told, 7, to).run(address);
            let _watch = AbortOnDropHandle::new(tokio::spawn(watching));
            Stage { listener, asked, terms, heard, _address, _watch }
        }

        /// The next call: its connection, and for how long it waits.
        async fn call(&self) -> (TcpStream, Duration) {
            let mut stream = timeout(BOUND, self.listener.accept()).await.expect("a connection").unwrap().0;
            let wait = read_call(&mut stream).await;
            (stream, wait)
        }
    }

    /// Reads a call; tells for how long it waits.
    async fn read_call(stream: &mut TcpStream) -> Duration {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            assert!(timeout(BOUND, stream.read_buf(&mut text)).await.expect("a call").unwrap() > 0);
        }
        let text = String::from_utf8(text).unwrap();
        let wait = text.split_once("wait_ms=").map_or("0", |(_, rest)| rest.split(' ').next().unwrap());
        Duration::from_millis(wait.parse().unwrap())
    }

    const NEWS: &str =
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":42,\"full\":false,\"servers\":[]}";
    const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

    #[tokio::test(start_paused = true)]
    async fn a_watch_that_falls_silent_anywhere_is_opened_anew_before_what_it_misses_counts_as_told() {
        for (subscribe, told) in [(true, 0), (true, 30), (true, NEWS.len() - 5), (false, 0), (false, 30)] {
            let stage = Stage::new(subscribe).await;
            let (mut stream, mut wait) = stage.call().await;
            if wait.is_zero() {
                stream.write_all(NEWS.as_bytes()).await.unwrap();
                wait = read_call(&mut stream).await;
            }
            let since = Instant::now();
            stream.write_all(&NEWS.as_bytes()[..told]).await.unwrap(); // and then nothing more
            // Turned away at first: the module, which nobody plays here, is not waited for.
            let (mut second, _) = stage.call().await;
            second.write_all(BUSY.as_bytes()).await.unwrap();
            stage.call().await;
            let counts = Duration::from_secs(6).max(wait + Duration::from_secs(2));
            assert!(since.elapsed() < counts, "{:?} after {wait:?}, {subscribe} {told}", since.elapsed());
        }
    }

    #[tokio::test(start_paused = true)]
    async fn an_answer_that_trickles_is_given_up_like_one_that_has_fallen_silent() {
        let stage = Stage::new(true).await;
        let (mut stream, wait) = stage.call().await;
        let since = Instant::now();
        let trickle = async {
            for byte in NEWS.bytes().cycle() {
                sleep(Duration::from_millis(700)).await;
                if stream.write_all(&[byte]).await.is_err() {
                    break;
                }
            }
        };
        tokio::select! {
            () = trickle => panic!("given up, and not called again"),
            _ = stage.call() => {}
        }
        assert!(since.elapsed() < wait + Duration::from_secs(2), "{:?}", since.elapsed());
    }

    #[tokio::test(start_paused = true)]
    async fn a_connection_to_discovery_that_does_not_come_up_is_a_failed_call() {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let at = listener.local_addr().unwrap();
        let _before = TcpStream::connect(at).await.unwrap(); // fills the backlog
        let mut stage = Stage::at(true, at, listener);
        let start = Instant::now();
        let heard = timeout(BOUND, stage.heard.recv()).await.expect("a failed call");
        assert!(matches!(heard, Some(Message::ListFailed)));
        assert!(start.elapsed() <= CONNECT + LATE, "{:?}", start.elapsed());
    }

    #[tokio::test(start_paused = true)]
    async fn a_node_that_waits_for_the_module_calls_when_lists_are_pushed_from_now_on() {
        let mut stage = Stage::new(true).await;
        let (mut stream, _) = stage.call().await;
        stream.write_all(BUSY.as_bytes()).await.unwrap();
        assert!(matches!(stage.heard.recv().await, Some(Message::ListFailed)));
        stage.terms.send_modify(|terms| terms.following.subscribe = false);
        stage.call().await;
        drop(stage.asked); // never told
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
