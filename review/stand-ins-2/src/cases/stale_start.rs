//! Pushed lists: a node is restarted while discovery answers late. A cache server drains since long before.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{late_sends, sound_cache, Context, Verdict};
use crate::client::Load;
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;

/// How late discovery answers: "seconds late" by the brief.
const DELAY: Duration = Duration::from_millis(1_500);

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(record, Duration::from_millis(20))?;
    let caches = [sound_cache("s-0")?, sound_cache("s-1")?, sound_cache("s-2")?, sound_cache("s-3")?];
    let mut listed: Vec<_> = caches.iter().map(|c| (c.id.as_str(), c.addr, "box", "SERVING")).collect();
    listed.push(("origin", origin.addr, "origin", "SERVING"));
    discovery.change(&listed);
    let known = discovery.list();
    discovery.change(&[("s-1", caches[1].addr, "box", "DRAINING")]);
    thread::sleep(Duration::from_secs(5));
    if context.trouble {
        discovery.set_delay(DELAY);
    }
    let settings = Settings { registry_mode: "automatic", ..Settings::ASKED };
    record.line("the node comes back with the list that it last had, in which s-1 is SERVING");
    let node = Node::start(context, 0, &settings, discovery.addr, &known)?;
    let load = Load::start(node.listen, 8, 200, Duration::from_millis(20));
    thread::sleep(Duration::from_secs(5));
    drop(load);
    record.line("counted as told from when the node answered PING, which is later than its first moment");
    let late = late_sends(record, &node.name, &caches[1], node.ready, Instant::now());
    record.line(format!(
        "the process was started {} ms before it answered PING",
        (node.ready - node.started).as_millis()
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
