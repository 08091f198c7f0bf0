//! A change that discovery has, and for which it can be reached, is at the node before 6 s have passed, whatever became of
//! the call that was out: real connections, paused time, calls that wait 1.5 s for their turn.

use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use super::{BOUND, BUSY, NEWS, Stage, read_call};
use crate::message::Message;

const QUEUE: Duration = Duration::from_millis(1_500);
const TOLD: Duration = Duration::from_secs(6);
const NOTHING: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":41,\"full\":false,\"servers\":[]}";

/// Fleets, seeds and both ways of following lists.
fn cases() -> impl Iterator<Item = (bool, usize, u64)> {
    let fleets = [4, 30, 300, 900].into_iter();
    fleets.flat_map(|nodes| (0..5).flat_map(move |seed| [true, false].map(|asked| (asked, nodes, seed))))
}

async fn stage((asked, nodes, seed): (bool, usize, u64)) -> Stage {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    Stage::seeded(asked, nodes, seed, listener.local_addr().unwrap(), listener)
}

impl Stage {
    /// The watch that stands open, and for how long.
    async fn opened(&mut self) -> (TcpStream, Duration) {
        let (mut stream, mut wait) = self.call().await;
        if wait.is_zero() {
            stream.write_all(NOTHING.as_bytes()).await.unwrap();
            wait = read_call(&mut stream).await;
            assert!(matches!(self.heard.recv().await, Some(Message::EndpointList(_))));
        }
        (stream, wait)
    }

    /// Discovery answers every call with the change, after its turn; ends once the node has it.
    async fn tells(&mut self, queue: Duration) {
        let told = async {
            loop {
                match self.heard.recv().await.expect("the watch goes on") {
                    Message::EndpointList(list) if list.version == 42 => return,
                    _ => {}
                }
            }
        };
        let answers = async {
            loop {
                let mut stream = self.listener.accept().await.unwrap().0;
                tokio::spawn(async move {
                    read_call(&mut stream).await;
                    sleep(queue).await;
                    let _ = stream.write_all(NEWS.as_bytes()).await;
                    sleep(BOUND).await;
                });
            }
        };
        tokio::select! {
            told = timeout(BOUND, told) => told.expect("told"),
            () = answers => {}
        }
    }
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(stream);
}

#[tokio::test(start_paused = true)]
async fn after_a_watch_that_has_fallen_silent() {
    for case in cases() {
        let mut stage = stage(case).await;
        let (_silent, wait) = stage.opened().await;
        let since = Instant::now();
        // Where lists are asked for a watch may wait for long, and what it misses counts 2 s after its wait.
        let (queue, clock) = match case.0 {
            true => (Duration::from_millis(900), TOLD.max(wait + Duration::from_secs(2))),
            false => (QUEUE, TOLD),
        };
        stage.tells(queue).await;
        assert!(since.elapsed() < clock, "{case:?}: {:?}, a watch of {wait:?}", since.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn after_calls_that_were_turned_away() {
    for case in cases() {
        let mut stage = stage(case).await;
        let (mut stream, _) = stage.opened().await;
        for times in 0..6 {
            stream.write_all(BUSY.as_bytes()).await.unwrap();
            if times < 5 {
                stream = stage.call().await.0;
            }
        }
        let since = Instant::now();
        stage.tells(QUEUE).await;
        assert!(since.elapsed() < TOLD, "{case:?}: {:?}", since.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn after_calls_whose_connections_were_reset() {
    for case in cases() {
        let mut stage = stage(case).await;
        let mut stream = stage.opened().await.0;
        for _ in 0..5 {
            reset(stream);
            stream = stage.call().await.0;
        }
        reset(stream);
        let since = Instant::now();
        stage.tells(QUEUE).await;
        assert!(since.elapsed() < TOLD, "{case:?}: {:?}", since.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn after_connects_that_hung() {
    for case in cases() {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let at = listener.local_addr().unwrap();
        let before = TcpStream::connect(at).await.unwrap(); // fills the backlog
        let mut stage = Stage::seeded(case.0, case.1, case.2, at, listener);
        for _ in 0..4 {
            assert!(matches!(stage.heard.recv().await, Some(Message::EndpointListFailed)));
        }
        // Room for one connection at a time from now on; the connect that is out has been dropped by then.
        sleep(Duration::from_millis(10)).await;
        reset(before);
        drop(stage.listener.accept().await.unwrap());
        let since = Instant::now();
        stage.tells(QUEUE).await;
        assert!(since.elapsed() < TOLD, "{case:?}: {:?}", since.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn after_an_answer_that_was_cut_off_in_its_body() {
    for case in cases() {
        for closed in [true, false] {
            let mut stage = stage(case).await;
            let (mut stream, wait) = stage.opened().await;
            // The change itself wakes the watch, shortly after it was opened or at its end.
            sleep(if case.2 % 2 == 0 { wait / 20 } else { wait - wait / 20 }).await;
            let since = Instant::now();
            stream.write_all(&NEWS.as_bytes()[..NEWS.len() - 5]).await.unwrap();
            let _held = if closed { None } else { Some(stream) };
            stage.tells(QUEUE).await;
            assert!(since.elapsed() < TOLD, "{case:?} {closed}: {:?}", since.elapsed());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn after_discovery_was_gone_and_is_back() {
    for case in cases() {
        let mut stage = stage(case).await;
        let stream = stage.opened().await.0;
        let at = stage.listener.local_addr().unwrap();
        let elsewhere = TcpListener::bind("127.0.0.1:0").await.unwrap();
        drop(std::mem::replace(&mut stage.listener, elsewhere));
        reset(stream);
        sleep(Duration::from_secs(8)).await;
        stage.listener = TcpListener::bind(at).await.unwrap();
        let since = Instant::now();
        stage.tells(QUEUE).await;
        assert!(since.elapsed() < TOLD, "{case:?}: {:?}", since.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn after_a_new_address_whose_first_call_finds_silence() {
    for case in cases() {
        let mut stage = stage(case).await;
        let _old = stage.opened().await;
        stage.listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        stage.address.send(stage.listener.local_addr().unwrap()).unwrap();
        let since = Instant::now();
        let _silent = stage.call().await;
        assert!(since.elapsed() < Duration::from_millis(100), "called there at once: {:?}", since.elapsed());
        stage.tells(QUEUE).await;
        assert!(since.elapsed() < TOLD, "{case:?}: {:?}", since.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn at_a_new_address_that_turns_it_away_twice_within_four_seconds() {
    for case in cases() {
        let mut stage = stage(case).await;
        let _old = stage.opened().await;
        stage.listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        stage.address.send(stage.listener.local_addr().unwrap()).unwrap();
        let since = Instant::now();
        for _ in 0..2 {
            stage.call().await.0.write_all(BUSY.as_bytes()).await.unwrap();
        }
        stage.tells(QUEUE).await;
        assert!(since.elapsed() < Duration::from_secs(4), "{case:?}: {:?}", since.elapsed());
    }
}
