//! Discovery becomes slow: each call waits 2.5 s for its turn and is answered. The node gives such calls up before, so it
//! learns of no change any more, and sends to a cache server that drains and has gone.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{late_sends, sound_cache, Context, Verdict};
use crate::client::Load;
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;

/// How long a call waits for its turn; it fails only after 3 s at the deployment of `coop-parts-cache.toml`.
const TURN: Duration = Duration::from_millis(2_500);
/// When discovery has been slow for this long, a cache server begins to drain.
const SLOW_BEFORE: Duration = Duration::from_secs(48);
/// A change counts as told at the latest 6 s after discovery had it and could be reached; each limit
/// of time grows by 50 ms on sockets.
const TOLD_AFTER: Duration = Duration::from_millis(6_050);

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(record, Duration::from_millis(20))?;
    let mut caches = Vec::new();
    for number in 0..6 {
        caches.push(sound_cache(&format!("s-{number}"))?);
    }
    let mut listed: Vec<_> = caches.iter().map(|c| (c.id.as_str(), c.addr, "box", "SERVING")).collect();
    listed.push(("origin", origin.addr, "origin", "SERVING"));
    discovery.change(&listed);
    let settings = Settings::ASKED;
    let node = Node::start(context, 0, &settings, discovery.addr, &discovery.list())?;
    let load = Load::start(node.listen, 4, 200, Duration::from_millis(30));
    thread::sleep(Duration::from_secs(2));
    if context.trouble {
        discovery.set_delay(TURN);
    }
    thread::sleep(SLOW_BEFORE);
    let changed = discovery.change(&[("s-1", caches[1].addr, "box", "DRAINING")]);
    thread::sleep(Duration::from_secs(10));
    discovery.change(&[("s-1", caches[1].addr, "box", "DELETED")]);
    thread::sleep(Duration::from_secs(10));
    drop(load);
    record.line("the change counts as told 6 s after discovery had it, whatever else is allowed");
    let late = late_sends(record, &node.name, &caches[1], changed + TOLD_AFTER, Instant::now());
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
