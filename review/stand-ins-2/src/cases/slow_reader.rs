//! Clients read a long value slowly and steadily. The node cuts it off before its end.

use std::io::{self, Read};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{write_hit, Cache, Context, Verdict};
use crate::client::{get, new_id, Client};
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;

const VALUE_BYTES: usize = 4 << 20;
const READERS: usize = 4;
/// A slow client takes this much at a time, and then waits: 120 KB a second.
const PIECE_BYTES: usize = 12 << 10;
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(record, Duration::from_millis(20))?;
    let mut caches = Vec::new();
    for number in 0..5 {
        let (name, record) = (format!("s-{number}"), record.clone());
        let id = name.clone();
        caches.push(Cache::start(&id, move |call, to| {
            if !call.key.starts_with("long") {
                return write_hit(to, b"short");
            }
            record.line(format!(
                "{name} gives {VALUE_BYTES} bytes for {}, as fast as the node takes them",
                call.id
            ));
            let result = write_hit(to, &vec![b'v'; VALUE_BYTES]);
            record.line(match &result {
                Ok(()) => format!("{name}: the node's machine has taken the whole answer to {}", call.id),
                Err(error) => format!("{name}: the node has ended the connection of {}: {error}", call.id),
            });
            result
        })?);
    }
    let mut listed: Vec<_> = caches.iter().map(|c| (c.id.as_str(), c.addr, "box", "SERVING")).collect();
    listed.push(("origin", origin.addr, "origin", "SERVING"));
    discovery.change(&listed);
    let node = Node::start(context, 0, &Settings::ASKED, discovery.addr, &discovery.list())?;
    Client::connect(node.listen)?.ping()?;

    let results: Arc<Mutex<Vec<bool>>> = Arc::default();
    let mut readers = Vec::new();
    for number in 0..READERS {
        let (results, record, listen, slow) = (results.clone(), record.clone(), node.listen, context.trouble);
        readers.push(thread::spawn(move || -> io::Result<()> {
            let mut stream = TcpStream::connect(listen)?;
            let id = new_id();
            io::Write::write_all(&mut stream, &get(&format!("long-{number}"), &id, 1_200))?;
            let sent = Instant::now();
            let header = format!("${VALUE_BYTES}\r\n").len();
            let whole = header + VALUE_BYTES + 2;
            let (mut read, mut first) = (0, None);
            let mut piece = vec![0; PIECE_BYTES];
            let end = loop {
                match stream.read(&mut piece) {
                    Ok(0) => break "the node's end of the connection".to_owned(),
                    Ok(bytes) => {
                        first.get_or_insert_with(|| sent.elapsed());
                        read += bytes;
                        if read >= whole {
                            break "the end of the value".to_owned();
                        }
                    }
                    Err(error) => break format!("{error}"),
                }
                if slow {
                    thread::sleep(PAUSE);
                }
            };
            let first_ms = first.map_or(0, |first: Duration| first.as_millis());
            record.line(format!(
                "{id}: first bytes after {first_ms} ms, {read} of {whole} bytes in {:.1} s, then {end}",
                sent.elapsed().as_secs_f64()
            ));
            if read < whole {
                record.line(format!("LOST: the value of {id} was cut off while its client was reading"));
            }
            results.lock().unwrap().push(read >= whole && first.is_some());
            Ok(())
        }));
    }
    for reader in readers {
        reader.join().map_err(|_| io::Error::other("a reader has failed"))??;
    }
    let results = results.lock().unwrap();
    Ok(if results.iter().all(|whole| *whole) { Verdict::Held } else { Verdict::Broken })
}
