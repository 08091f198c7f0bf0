//! The origin as a stand-in: HTTP/1.1, one request at a time on each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cache::value_of;
use crate::record::Record;

/// A request that the origin has run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
}

/// A running origin.
#[derive(Clone)]
pub struct Origin {
    pub addr: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Origin {
    /// Starts an origin that answers each request after this time.
    pub fn start(record: &Record, work: Duration) -> io::Result<Origin> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let origin = Origin { addr: listener.local_addr()?, runs: Arc::default() };
        let runs = origin.runs.clone();
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, record) = (runs.clone(), record.clone());
                thread::spawn(move || serve(stream, work, &runs, &record));
            }
        });
        Ok(origin)
    }

    /// What has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

/// Reads the head of an HTTP request: its first line and its headers, with their names in lower case.
pub fn read_head(from: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let first = crate::resp::read_line(from)?;
    let mut headers = Vec::new();
    loop {
        let line = crate::resp::read_line(from)?;
        if line.is_empty() {
            return Ok((first, headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn serve(mut stream: TcpStream, work: Duration, runs: &Mutex<Vec<Run>>, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok((first, headers)) = read_head(&mut reader) {
        let header =
            |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone()).unwrap_or_default();
        let mut body = vec![0; header("content-length").parse().unwrap_or(0)];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let mut words = first.split(' ');
        let key = words.nth(1).unwrap_or_default().trim_start_matches('/').to_owned();
        let id = header("x-correlation-id");
        runs.lock().unwrap().push(Run { at: Instant::now(), id: id.clone() });
        thread::sleep(work);
        let value = value_of(&key, &id);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}", value.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        record.line(format!("the origin has answered {first} {id}"));
    }
}
