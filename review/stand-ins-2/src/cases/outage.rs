//! Pushed lists: discovery is down for some seconds. A cache server begins to drain meanwhile, which discovery has when
//! it returns.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{late_sends, sound_cache, Context, Verdict};
use crate::client::Load;
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;

/// How long discovery is down: 8 s on the days at full size.
const OUTAGE: Duration = Duration::from_secs(8);
/// The number of nodes.
const NODES: usize = 4;

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
    let settings = Settings { registry_mode: "automatic", siblings: NODES, ..Settings::ASKED };
    let mut nodes = Vec::new();
    for index in 0..NODES {
        nodes.push(Node::start(context, index, &settings, discovery.addr, &discovery.list())?);
    }
    let loads: Vec<Load> =
        nodes.iter().map(|node| Load::start(node.listen, 4, 200, Duration::from_millis(20))).collect();
    thread::sleep(Duration::from_secs(5));
    if context.trouble {
        discovery.go_down();
    }
    thread::sleep(OUTAGE);
    let told = if context.trouble {
        discovery.change(&[("s-1", caches[1].addr, "box", "DRAINING")]);
        discovery.come_back()?
    } else {
        discovery.change(&[("s-1", caches[1].addr, "box", "DRAINING")])
    };
    thread::sleep(Duration::from_secs(6));
    drop(loads);
    record.line("the change counts as told when discovery is up again");
    let late = late_sends(record, "the four nodes", &caches[1], told, Instant::now());
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
