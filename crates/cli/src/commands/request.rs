//! `stonefold get` and `stonefold set`: one request to a node.

use std::io::{self, Read, Write};
use std::time::Duration;

use serde_json::{Value, json};

use crate::args::{Format, GetArgs, RequestArgs, SetArgs};
use crate::client::{self, Reply, TimedReply};
use crate::failure::Failure;

/// Reads one key and prints its value.
pub(crate) fn get(args: GetArgs) -> Result<(), Failure> {
    run(&args.request, b"CACHE.GET", &args.key, None, None)
}

/// Writes one key and prints the receipt.
pub(crate) fn set(args: SetArgs) -> Result<(), Failure> {
    let value = match args.value.as_str() {
        "-" => {
            let mut value = Vec::new();
            io::stdin().lock().read_to_end(&mut value)?;
            value
        }
        text => text.as_bytes().to_vec(),
    };
    run(&args.request, b"CACHE.SET", &args.key, args.idempotency_key.as_deref(), Some(value))
}

fn run(
    args: &RequestArgs,
    name: &[u8],
    key: &str,
    idempotency_key: Option<&str>,
    value: Option<Vec<u8>>,
) -> Result<(), Failure> {
    let id = format!("{:016x}", fastrand::u64(..));
    let attributes = attributes(args, idempotency_key)?;
    let mut words: Vec<&[u8]> = vec![name, key.as_bytes(), id.as_bytes(), attributes.as_bytes()];
    words.extend(value.as_deref());
    let reply = client::request(args.node, &words, args.deadline)
        .map_err(|error| Failure::failed(format!("{}: {error}", args.node)))?;
    print_reply(args.format, reply)
}

/// The `name=value` pairs of a request: deadline, class, tenant, idempotency key.
fn attributes(args: &RequestArgs, idempotency_key: Option<&str>) -> Result<String, Failure> {
    let mut attributes = format!("d={}", args.deadline.as_millis());
    let named = [("c", args.class.as_deref()), ("t", args.tenant.as_deref()), ("k", idempotency_key)];
    for (name, value) in named {
        let Some(value) = value else { continue };
        if value.contains([',', '=']) {
            return Err(Failure::unusable(format!("{value:?} must not contain a comma or =")));
        }
        attributes += &format!(",{name}={value}");
    }
    Ok(attributes)
}

fn print_reply(format: Format, timed: TimedReply) -> Result<(), Failure> {
    let TimedReply { reply, elapsed } = timed;
    let mut out = io::stdout().lock();
    match format {
        Format::Json => writeln!(out, "{}", reply_as_json(&reply, elapsed))?,
        Format::Text => {
            if let Reply::Served(value) = &reply {
                out.write_all(value)?;
                writeln!(out)?;
            }
        }
    }
    match reply {
        Reply::Served(_) => Ok(()),
        Reply::Rejected(Some(ms)) => Err(Failure::failed(format!("refused: retry after {ms} ms"))),
        Reply::Rejected(None) => Err(Failure::failed("refused")),
        Reply::Failed(error) => Err(Failure::failed(format!("failed: {error}"))),
    }
}

fn reply_as_json(reply: &Reply, elapsed: Duration) -> Value {
    let ms = elapsed.as_secs_f64() * 1e3;
    match reply {
        Reply::Served(value) => {
            json!({"outcome": "served", "ms": ms, "value": String::from_utf8_lossy(value)})
        }
        Reply::Rejected(retry_after) => {
            json!({"outcome": "refused", "ms": ms, "retry_after_ms": retry_after})
        }
        Reply::Failed(error) => json!({"outcome": "failed", "ms": ms, "error": error}),
    }
}
