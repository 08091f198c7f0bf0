//! Clients as stand-ins.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::resp::{self, Reply};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a request.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed) * 0x9e37_79b9_7f4a_7c15)
}

/// The command of a read.
pub fn get(key: &str, id: &str, wait_ms: u64) -> Vec<u8> {
    let facts = format!("c=look,t=acme,d={wait_ms}");
    resp::command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()])
}

/// The command of a keyed write.
pub fn set(key: &str, id: &str, wait_ms: u64) -> Vec<u8> {
    let facts = format!("c=book,t=acme,d={wait_ms},k={id}");
    resp::command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), b"one copy, please"])
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        Ok(Client { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn reply(&mut self) -> io::Result<Reply> {
        resp::read_reply(&mut self.reader)
    }

    pub fn ping(&mut self) -> io::Result<()> {
        self.send(&resp::command(&[b"PING"]))?;
        match self.reply()? {
            Reply::Line(line) if line == "+PONG" => Ok(()),
            other => Err(io::Error::other(format!("PING was answered {other:?}"))),
        }
    }
}

/// Clients that read keys in turn, each with one request open at a time, until this is dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    pub served: Arc<AtomicU64>,
    pub other: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `clients` clients at a node that each send a read, wait for its answer and then for `pause`.
    pub fn start(to: SocketAddr, clients: usize, keys: usize, pause: Duration) -> Load {
        let mut load =
            Load { stop: Arc::default(), served: Arc::default(), other: Arc::default(), clients: Vec::new() };
        for number in 0..clients {
            let (stop, served, other) = (load.stop.clone(), load.served.clone(), load.other.clone());
            load.clients.push(thread::spawn(move || {
                let mut turn = number * 31;
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::connect(to) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    while !stop.load(Ordering::Relaxed) {
                        turn += 1;
                        let sent = client.send(&get(&format!("key-{}", turn % keys), &new_id(), 1_200));
                        match sent.and_then(|()| client.reply()) {
                            Ok(Reply::Bulk(_)) => _ = served.fetch_add(1, Ordering::Relaxed),
                            Ok(Reply::Line(_)) => _ = other.fetch_add(1, Ordering::Relaxed),
                            Err(_) => break,
                        }
                        thread::sleep(pause);
                    }
                }
            }));
        }
        load
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}
