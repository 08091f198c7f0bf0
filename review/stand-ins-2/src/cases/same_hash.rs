//! Two cache servers whose ids have the same 32-bit hash. The first is replaced in a rolling deploy. When the second
//! drains, and when it has gone, the node goes on sending to it.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use super::{late_sends, sound_cache, Context, Verdict};
use crate::client::Load;
use crate::discovery::Discovery;
use crate::node::{Node, Settings};
use crate::origin::Origin;

/// Ids with the same xxh3 hash in the lower 32 bits. The first in alphabetical order is the one that is replaced.
const REPLACED: &str = "s-850764fd";
const DRAINED: &str = "s-f9d125bb";

pub fn run(context: &Context) -> io::Result<Verdict> {
    let record = &context.record;
    let discovery = Discovery::start(record)?;
    let origin = Origin::start(record, Duration::from_millis(20))?;
    let replaced = sound_cache(REPLACED)?;
    let drained = sound_cache(DRAINED)?;
    let mut others = Vec::new();
    for number in 1..=5 {
        others.push(sound_cache(&format!("s-11aa000{number}"))?);
    }
    let successor = sound_cache("s-11aa0009")?;
    let mut listed = vec![
        (REPLACED, replaced.addr, "box", "SERVING"),
        (DRAINED, drained.addr, "box", "SERVING"),
        ("origin", origin.addr, "origin", "SERVING"),
    ];
    listed.extend(others.iter().map(|cache| (cache.id.as_str(), cache.addr, "box", "SERVING")));
    discovery.change(&listed);
    let settings = Settings::ASKED;
    let node = Node::start(context, 0, &settings, discovery.addr, &discovery.list())?;
    let load = Load::start(node.listen, 8, 200, Duration::from_millis(30));
    thread::sleep(Duration::from_secs(4));
    if context.trouble {
        // One step of a rolling deploy: drain, gone, and a successor under a new id.
        discovery.change(&[(REPLACED, replaced.addr, "box", "DRAINING")]);
        thread::sleep(Duration::from_secs(3));
        discovery.change(&[
            (REPLACED, replaced.addr, "box", "DELETED"),
            (&successor.id, successor.addr, "box", "SERVING"),
        ]);
    } else {
        thread::sleep(Duration::from_secs(3));
    }
    thread::sleep(Duration::from_secs(3));
    let before = drained.calls().len();
    record.line(format!("{DRAINED} has had {before} commands so far"));
    if before == 0 {
        return Ok(Verdict::Void(format!("{DRAINED} gets nothing in calm times")));
    }
    // The next step: the second one drains, and stays up.
    let told = discovery.change(&[(DRAINED, drained.addr, "box", "DRAINING")]);
    // A watch was open then or opens within a second; 2 s are more than the answer to it takes.
    thread::sleep(Duration::from_secs(6));
    discovery.change(&[(DRAINED, drained.addr, "box", "DELETED")]);
    thread::sleep(Duration::from_secs(4));
    drop(load);
    let counted_from = told + Duration::from_secs(2);
    record
        .line("counted as told 2 s after the change, though the answer to the open watch is written at once");
    let late = late_sends(record, &node.name, &drained, counted_from, Instant::now());
    let late_replaced = if context.trouble {
        late_sends(record, &node.name, &replaced, counted_from, Instant::now())
    } else {
        0
    };
    Ok(if late + late_replaced > 0 { Verdict::Broken } else { Verdict::Held })
}
