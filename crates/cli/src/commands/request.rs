use std::io::{self, Read, Write};

use serde_json::json;

use crate::args::{Format, GetArgs, RequestArgs, SetArgs};
use crate::client::{Answered, Outcome, ask};
use crate::failure::Failure;

/// Reads one key.
pub fn get(args: GetArgs) -> Result<(), Failure> {
    run(&args.request, b"CACHE.GET", &args.key, None, None)
}

/// Writes one key.
pub fn set(args: SetArgs) -> Result<(), Failure> {
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
    let facts = facts(args, idempotency_key)?;
    let mut words: Vec<&[u8]> = vec![name, key.as_bytes(), id.as_bytes(), facts.as_bytes()];
    words.extend(value.as_deref());
    let answered = ask(args.node, &words, args.deadline)
        .map_err(|error| Failure::failed(format!("{}: {error}", args.node)))?;
    told(args.format, answered)
}

fn facts(args: &RequestArgs, idempotency_key: Option<&str>) -> Result<String, Failure> {
    let mut facts = format!("d={}", args.deadline.as_millis());
    let named = [("c", args.class.as_deref()), ("t", args.tenant.as_deref()), ("k", idempotency_key)];
    for (name, value) in named {
        let Some(value) = value else { continue };
        if value.contains([',', '=']) {
            return Err(Failure::unusable(format!("{value:?} must not hold a comma or =")));
        }
        facts += &format!(",{name}={value}");
    }
    Ok(facts)
}

fn told(format: Format, answered: Answered) -> Result<(), Failure> {
    let Answered { outcome, took } = answered;
    let mut out = io::stdout().lock();
    let ms = took.as_secs_f64() * 1e3;
    if format == Format::Json {
        let line = match &outcome {
            Outcome::Served(value) => {
                json!({"outcome": "served", "ms": ms, "value": String::from_utf8_lossy(value)})
            }
            Outcome::Refused(wait) => json!({"outcome": "refused", "ms": ms, "retry_after_ms": wait}),
            Outcome::Failed(error) => json!({"outcome": "failed", "ms": ms, "error": error}),
        };
        writeln!(out, "{line}")?;
    }
    match outcome {
        Outcome::Served(value) => {
            if format == Format::Text {
                out.write_all(&value)?;
                writeln!(out)?;
            }
            Ok(())
        }
        Outcome::Refused(Some(wait)) => Err(Failure::failed(format!("refused: come again after {wait} ms"))),
        Outcome::Refused(None) => Err(Failure::failed("refused")),
        Outcome::Failed(error) => Err(Failure::failed(format!("failed: {error}"))),
    }
}
