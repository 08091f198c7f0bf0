//! A cache server as a stand-in: it speaks RESP2, and a function of the case answers each command.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::resp;

/// A command that has arrived whole.
#[derive(Clone)]
pub struct Call {
    /// When its first byte was read.
    pub first_byte: Instant,
    pub name: String,
    pub key: String,
    pub id: String,
    pub facts: String,
}

type Answer = dyn Fn(&Call, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A running cache server.
#[derive(Clone)]
pub struct Cache {
    pub id: String,
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    answer: Box<Answer>,
    calls: Mutex<Vec<Call>>,
    connections: Mutex<Vec<TcpStream>>,
    dead: AtomicBool,
}

impl Cache {
    /// Starts a cache server on a free port of 127.0.0.1.
    pub fn start(
        id: &str,
        answer: impl Fn(&Call, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Cache> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            answer: Box::new(answer),
            calls: Mutex::default(),
            connections: Mutex::default(),
            dead: AtomicBool::new(false),
        });
        let serving = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if serving.dead.load(Ordering::SeqCst) {
                    return; // drops the listener: new connections meet a refusal
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(copy);
                }
                let serving = serving.clone();
                thread::spawn(move || serve(stream, &serving));
            }
        });
        Ok(Cache { id: id.to_owned(), addr, shared })
    }

    /// All commands so far.
    pub fn calls(&self) -> Vec<Call> {
        self.shared.calls.lock().unwrap().clone()
    }

    /// Ends like a process that dies: its connections end, and new ones are refused.
    pub fn die(&self) {
        self.shared.dead.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr); // wakes the accepting thread, which drops the listener
        for connection in self.shared.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    loop {
        match reader.fill_buf() {
            Ok(bytes) if !bytes.is_empty() => {}
            _ => return,
        }
        let first_byte = Instant::now();
        let Ok(words) = resp::read_command(&mut reader) else { return };
        let text = |index: usize| {
            words.get(index).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default()
        };
        let call = Call { first_byte, name: text(0), key: text(1), id: text(2), facts: text(3) };
        shared.calls.lock().unwrap().push(call.clone());
        if (shared.answer)(&call, &mut stream).is_err() {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// The value that belongs to a request: it names the key and the request, so that a client can tell a foreign one.
pub fn value_of(key: &str, id: &str) -> String {
    format!("value of {key} for {id}")
}

/// Writes an answer with a value.
pub fn write_hit(to: &mut TcpStream, value: &[u8]) -> io::Result<()> {
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
    to.write_all(&bytes)
}
