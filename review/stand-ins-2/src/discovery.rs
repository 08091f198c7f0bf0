//! Discovery as a stand-in: the whole list, and watches that answer with the changed entries.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::origin::read_head;
use crate::record::Record;

/// A running discovery.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

struct Entry {
    /// The version that changed it last.
    version: u64,
    addr: SocketAddr,
    kind: &'static str,
    state: &'static str,
}

struct State {
    version: u64,
    servers: BTreeMap<String, Entry>,
    /// How late each call is answered.
    delay: Duration,
    down: bool,
    connections: Vec<TcpStream>,
}

impl Entry {
    fn json(&self, id: &str) -> String {
        let Entry { addr, kind, state, .. } = self;
        let zone = if id.starts_with("far-") { "b" } else { "a" };
        format!(
            r#"{{"id":"{id}","addr":"{addr}","zone":"{zone}","kind":"{kind}","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    }
}

impl State {
    fn list(&self, full: bool, after: u64) -> String {
        let listed = |entry: &&Entry| if full { entry.state != "DELETED" } else { entry.version > after };
        let entries =
            self.servers.iter().filter(|(_, entry)| listed(entry)).map(|(id, entry)| entry.json(id));
        let entries: Vec<String> = entries.collect();
        format!(r#"{{"version":{},"full":{full},"servers":[{}]}}"#, self.version, entries.join(","))
    }
}

impl Discovery {
    /// Starts discovery with no server listed, on a free port of 127.0.0.1.
    pub fn start(record: &Record) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            version: 40,
            servers: BTreeMap::new(),
            delay: Duration::ZERO,
            down: false,
            connections: Vec::new(),
        };
        let shared =
            Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new(), record: record.clone() });
        let discovery = Discovery { addr: listener.local_addr()?, shared };
        discovery.accept(listener);
        Ok(discovery)
    }

    fn accept(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let mut state = shared.state.lock().unwrap();
                if state.down {
                    return; // drops the listener
                }
                let Ok(copy) = stream.try_clone() else { continue };
                state.connections.push(copy);
                drop(state);
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared));
            }
        });
    }

    /// Lists these servers, or changes their state, under one new version. Returns when the change was made.
    pub fn change(&self, servers: &[(&str, SocketAddr, &'static str, &'static str)]) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for &(id, addr, kind, server_state) in servers {
            state.servers.insert(id.to_owned(), Entry { version, addr, kind, state: server_state });
            self.shared
                .record
                .line(format!("discovery: version {version}: {id} at {addr} is {server_state}"));
        }
        self.shared.changed.notify_all();
        Instant::now()
    }

    /// The whole list as it is now.
    pub fn list(&self) -> String {
        self.shared.state.lock().unwrap().list(true, 0)
    }

    /// From now on each call is answered this late.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.state.lock().unwrap().delay = delay;
        self.shared
            .record
            .line(format!("discovery answers each call {} ms late from now on", delay.as_millis()));
    }

    /// Goes down: open connections end, new ones are refused.
    pub fn go_down(&self) {
        let mut state = self.shared.state.lock().unwrap();
        state.down = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.shared.changed.notify_all();
        let _ = TcpStream::connect(self.addr); // wakes the accepting thread, which drops the listener
        self.shared.record.line("discovery is down");
    }

    /// Is up again at the same address. Returns since when.
    pub fn come_back(&self) -> io::Result<Instant> {
        let listener = TcpListener::bind(self.addr)?;
        self.shared.state.lock().unwrap().down = false;
        self.accept(listener);
        self.shared.record.line("discovery is up again");
        Ok(Instant::now())
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok((first, _)) = read_head(&mut reader) {
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        shared.record.line(format!("discovery is asked: {path}"));
        let number = |name: &str| {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse::<u64>().ok())
        };
        let mut state = shared.state.lock().unwrap();
        let delay = state.delay;
        if !delay.is_zero() {
            drop(state);
            thread::sleep(delay);
            state = shared.state.lock().unwrap();
        }
        let body = match number("after") {
            None => state.list(true, 0),
            Some(after) => {
                let until =
                    Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
                while state.version <= after && !state.down && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = shared.changed.wait_timeout(state, left).unwrap().0;
                }
                state.list(false, after)
            }
        };
        if state.down {
            return;
        }
        let version = state.version;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        drop(state);
        shared.record.line(format!("discovery has answered {path} with version {version}"));
    }
}
