//! The cases.

mod broken_value;
mod late_copy;
mod memory;
mod outage;
mod same_hash;
mod slow_discovery;
mod slow_reader;
mod stale_start;

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::cache::{value_of, write_hit, Cache};
use crate::record::Record;
use crate::{Context, Verdict};

/// How late a send to a cache server may be that drains or has gone, after the change counts as told: 500 ms by the
/// settings, and the 50 ms by which each limit of time grows on sockets.
const DRAIN_LIMIT: Duration = Duration::from_millis(550);

pub fn run(case: &str, context: &Context) -> Verdict {
    let result = match case {
        "broken-value" => broken_value::run(context),
        "same-hash" => same_hash::run(context),
        "stale-start" => stale_start::run(context),
        "late-copy" => late_copy::run(context),
        "slow-discovery" => slow_discovery::run(context),
        "memory" => memory::run(context),
        "slow-reader" => slow_reader::run(context),
        "outage" => outage::run(context),
        _ => Ok(Verdict::Void(format!("there is no case {case}"))),
    };
    result.unwrap_or_else(|error| Verdict::Void(error.to_string()))
}

/// A cache server that holds every key and answers in 3 ms.
fn sound_cache(id: &str) -> io::Result<Cache> {
    Cache::start(id, |call, to| {
        thread::sleep(Duration::from_millis(3));
        write_hit(to, value_of(&call.key, &call.id).as_bytes())
    })
}

/// Records the commands that began to reach a cache server later than it may be sent any, and returns their number.
/// `told` is when the change counts as told.
fn late_sends(record: &Record, node: &str, cache: &Cache, told: Instant, until: Instant) -> usize {
    let calls = cache.calls();
    let late = calls.iter().filter(|call| call.first_byte > told + DRAIN_LIMIT && call.first_byte < until);
    let mut count = 0;
    for call in late {
        count += 1;
        if count <= 20 {
            let after = call.first_byte - told;
            record.line_at(
                call.first_byte,
                format!(
                    "{} is sent {} {} {} {} by {node}, {} ms after it counts as told (limit {} ms)",
                    cache.id,
                    call.name,
                    call.key,
                    call.id,
                    call.facts,
                    after.as_millis(),
                    DRAIN_LIMIT.as_millis()
                ),
            );
        }
    }
    let total = calls.iter().filter(|call| call.first_byte < until).count();
    record.line(format!("{}: {total} commands from {node}, {count} of them too late", cache.id));
    count
}
