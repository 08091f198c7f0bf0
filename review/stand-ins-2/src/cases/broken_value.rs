//! Requests of one connection: the value of the first breaks off, since its cache server dies. The others were read and
//! sent on, and are owed their answers.

use std::collections::HashMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{value_of, write_hit, Cache, Context, Verdict};
use crate::client::{get, new_id, set, Client};
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;
use crate::resp::Reply;

/// The number of cache servers, of which one dies.
const CACHES: usize = 12;
/// The length of the value that breaks off, and what is sent of it before.
const VALUE_BYTES: usize = 200_000;
const SENT_BYTES: usize = 100_000;
/// How long the dying cache server pauses in the value.
const PAUSE: Duration = Duration::from_millis(300);
/// How long the others take, so that their answers are there before the value breaks off.
const WORK: Duration = Duration::from_millis(20);

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(record, WORK)?;
    let long_key: Arc<Mutex<Option<String>>> = Arc::default();
    let dying: Arc<Mutex<Option<Cache>>> = Arc::default();
    let mut caches = Vec::new();
    for number in 0..CACHES {
        let (long_key, dying, trouble) = (long_key.clone(), dying.clone(), context.trouble);
        let record = record.clone();
        caches.push(Cache::start(&format!("s-{number}"), move |call, to| {
            thread::sleep(WORK);
            if long_key.lock().unwrap().as_ref() != Some(&call.key) {
                write_hit(to, value_of(&call.key, &call.id).as_bytes())?;
                if !call.key.starts_with("key-") || long_key.lock().unwrap().is_some() {
                    record.line(format!("s-{number} has answered {} {}", call.key, call.id));
                }
                return Ok(());
            }
            use std::io::Write;
            to.write_all(format!("*3\r\n${VALUE_BYTES}\r\n").as_bytes())?;
            to.write_all(&[b'x'; SENT_BYTES])?;
            record.line(format!("s-{number} has sent {SENT_BYTES} of {VALUE_BYTES} bytes of {}", call.key));
            thread::sleep(PAUSE);
            if trouble {
                record.line(format!("s-{number} dies"));
                dying.lock().unwrap().iter().for_each(Cache::die);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            to.write_all(&[b'x'; VALUE_BYTES - SENT_BYTES])?;
            to.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n")
        })?);
    }
    let mut listed: Vec<_> = caches.iter().map(|c| (c.id.as_str(), c.addr, "box", "SERVING")).collect();
    listed.push(("origin", origin.addr, "origin", "SERVING"));
    discovery.change(&listed);
    let settings = Settings::ASKED;
    let node = Node::start(context, 0, &settings, discovery.addr, &discovery.list())?;

    // Which cache server has which key.
    let mut client = Client::connect(node.listen)?;
    let mut keys = Vec::new();
    for number in 0..40 {
        let key = format!("key-{number}");
        client.send(&get(&key, &new_id(), 1_200))?;
        if !matches!(client.reply()?, Reply::Bulk(_)) {
            return Ok(Verdict::Void(format!("{key} was not served in calm times")));
        }
        keys.push(key);
    }
    let home: HashMap<String, String> = caches
        .iter()
        .flat_map(|cache| cache.calls().into_iter().map(|call| (call.key, cache.id.clone())))
        .collect();
    let first = keys[0].clone();
    let others: Vec<&String> = keys.iter().filter(|key| home.get(*key) != home.get(&first)).take(3).collect();
    let victim = caches.iter().find(|cache| home.get(&first) == Some(&cache.id));
    let (Some(victim), 3) = (victim, others.len()) else {
        return Ok(Verdict::Void("all keys are at one cache server".into()));
    };
    *dying.lock().unwrap() = Some(victim.clone());
    *long_key.lock().unwrap() = Some(first.clone());
    thread::sleep(Duration::from_millis(100));

    // Many commands at once: a read of the long value, three reads at other cache servers, and a keyed write.
    let mut client = Client::connect(node.listen)?;
    let long_id = new_id();
    let mut bytes = get(&first, &long_id, 1_200);
    let mut owed = Vec::new();
    for key in others {
        let id = new_id();
        bytes.extend(get(key, &id, 1_200));
        owed.push(("CACHE.GET", key.clone(), id));
    }
    let id = new_id();
    bytes.extend(set("key-to-book", &id, 5_000));
    owed.push(("CACHE.SET", "key-to-book".to_owned(), id));
    record.line(format!("the client sends CACHE.GET {first} {long_id}, and behind it in the same write:"));
    owed.iter().for_each(|(name, key, id)| record.line(format!("  {name} {key} {id}")));
    let sent = Instant::now();
    client.send(&bytes)?;

    let mut foreign = false;
    let mut ended = None;
    match client.reply() {
        Ok(Reply::Bulk(value)) => {
            record.line(format!("{long_id} is answered with a value of {} bytes", value.len()))
        }
        Ok(other) => record.line(format!("{long_id} is answered {other:?}")),
        Err(error) => {
            record.line(format!(
                "the value of {long_id} breaks off ({error}): it has failed, which is allowed"
            ));
            ended = Some(error);
        }
    }
    let mut lost = Vec::new();
    for (name, key, id) in &owed {
        let reply =
            if ended.is_some() { None } else { client.reply().map_err(|error| ended = Some(error)).ok() };
        match reply {
            Some(reply) => {
                foreign |= matches!(&reply, Reply::Bulk(value) if value != value_of(key, id).as_bytes());
                let text = match &reply {
                    Reply::Bulk(value) => String::from_utf8_lossy(value).into_owned(),
                    Reply::Line(line) => line.clone(),
                };
                record.line(format!("{name} {id} is answered: {text}"));
            }
            None => lost.push((name, key, id)),
        }
    }
    // What of the unanswered ones the node had read and sent on.
    thread::sleep(Duration::from_millis(200));
    let mut broken = foreign;
    for (name, key, id) in lost {
        let at_cache = caches.iter().find_map(|cache| {
            let call = cache.calls().into_iter().find(|call| call.id == *id)?;
            Some((cache.id.clone(), call.first_byte))
        });
        let at_origin = || {
            origin.runs().into_iter().find(|run| run.id == *id).map(|run| ("the origin".to_owned(), run.at))
        };
        match at_cache.or_else(at_origin) {
            Some((server, at)) => {
                record.line_at(
                    at,
                    format!(
                        "{name} {key} {id} ran at {server}, {} ms after it was sent",
                        (at - sent).as_millis()
                    ),
                );
                record.line(format!(
                    "LOST: {id} was read, sent on and run, and the node ended its connection with no answer"
                ));
                broken = true;
            }
            None => record.line(format!("{id} has no answer and was never sent on: not counted")),
        }
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
