//! Cache servers in another data centre send a second copy straight after some answers. Without `TCP_NODELAY` their
//! system holds it back until the answer is acknowledged, one round trip later. By then the node has written the next
//! request, and serves its client with the copy.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{value_of, write_hit, Cache, Context, Verdict};
use crate::client::{get, new_id, Client};
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;
use crate::record::Record;
use crate::resp::Reply;

/// The time between the data centres, one way: 10 to 20 ms at the site.
const ONE_WAY: Duration = Duration::from_millis(15);
const WORK: Duration = Duration::from_millis(3);
/// One answer in this many is followed by a second copy.
const COPY_EVERY: u64 = 5;
/// Clients with one request open at a time, 200 to 300 requests a second together.
const CLIENTS: usize = 20;
const REQUESTS_PER_CLIENT: usize = 250;
/// The pause of a client after an answer.
const PAUSE: Duration = Duration::from_millis(40);

/// A cache server together with the way to it.
fn far_cache(id: &str, trouble: bool, answers: &Arc<AtomicU64>, record: &Record) -> io::Result<Cache> {
    let (answers, record, name) = (answers.clone(), record.clone(), id.to_owned());
    Cache::start(id, move |call, to| {
        thread::sleep(ONE_WAY + WORK + ONE_WAY);
        let value = value_of(&call.key, &call.id);
        write_hit(to, value.as_bytes())?;
        if trouble && answers.fetch_add(1, Ordering::Relaxed) % COPY_EVERY == 0 {
            let mut to = to.try_clone()?;
            let (record, name, call) = (record.clone(), name.clone(), call.clone());
            // Written straight after the answer; it leaves when the answer's acknowledgement has come back.
            thread::spawn(move || {
                thread::sleep(2 * ONE_WAY);
                if write_hit(&mut to, value.as_bytes()).is_ok() {
                    record.line(format!(
                        "{name}: the second copy of {} has come, connection {}",
                        call.id, call.connection
                    ));
                }
            });
        }
        Ok(())
    })
}

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(Duration::from_millis(20))?;
    let answers = Arc::default();
    let mut caches = Vec::new();
    for number in 0..4 {
        caches.push(far_cache(&format!("far-{number}"), context.trouble, &answers, record)?);
    }
    let mut listed: Vec<_> = caches.iter().map(|c| (c.id.as_str(), c.addr, "box", "SERVING")).collect();
    listed.push(("origin", origin.addr, "origin", "SERVING"));
    discovery.change(&listed);
    let settings = Settings::ASKED;
    let node = Node::start(context, 0, &settings, discovery.addr, &discovery.list())?;

    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<[usize; 3]>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (foreign, counts, record, listen) =
            (foreign.clone(), counts.clone(), record.clone(), node.listen);
        clients.push(thread::spawn(move || -> io::Result<()> {
            let mut client = Client::connect(listen)?;
            for turn in 0..REQUESTS_PER_CLIENT {
                let key = format!("key-{}", (turn * CLIENTS + number) % 300);
                let id = new_id();
                client.send(&get(&key, &id, 1_200))?;
                let reply = client.reply()?;
                match reply {
                    Reply::Bulk(value) if value == value_of(&key, &id).as_bytes() => {
                        counts.lock().unwrap()[0] += 1
                    }
                    Reply::Bulk(value) => {
                        counts.lock().unwrap()[1] += 1;
                        let text = format!(
                            "FOREIGN: CACHE.GET {key} {id} is answered: {}",
                            String::from_utf8_lossy(&value)
                        );
                        record.line(&text);
                        foreign.lock().unwrap().push(text);
                    }
                    Reply::Line(_) => counts.lock().unwrap()[2] += 1,
                }
                thread::sleep(PAUSE);
            }
            Ok(())
        }));
    }
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client has failed"))??;
    }
    let [own, foreign_count, refused] = *counts.lock().unwrap();
    record.line(format!("{own} requests served with their own value, {foreign_count} with a foreign one, {refused} refused or failed"));
    for cache in &caches {
        record.line(format!("{} has had {} commands", cache.id, cache.calls().len()));
    }
    if own == 0 {
        return Ok(Verdict::Void("nothing was served".into()));
    }
    Ok(if foreign.lock().unwrap().is_empty() { Verdict::Held } else { Verdict::Broken })
}
