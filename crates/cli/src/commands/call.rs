//! `stonefold call`: one operator command to a node.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use serde_json::{Map, Value, json};

use crate::args::{CallArgs, Format};
use crate::failure::Failure;

/// How long a reply is awaited. A node replies within a second under any load.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The most bytes of a reply that are read.
const MAX_REPLY_LENGTH: u64 = 1 << 20;
/// The start of a reply that reports a failure.
const FAIL: &str = "fail";

/// Sends an operator command and prints the reply.
pub(crate) fn run(args: CallArgs) -> Result<(), Failure> {
    let command = args.call.join(" ");
    let reply =
        send(&args, &command).map_err(|error| Failure::failed(format!("{}: {error}", args.address)))?;
    let failure = reply.strip_prefix(FAIL).map(|reason| reason.trim().to_owned());
    let mut out = io::stdout().lock();
    match args.format {
        Format::Json => {
            let line = json!({"ok": failure.is_none(), "answer": reply_as_json(&reply)});
            writeln!(out, "{line}")?;
        }
        Format::Text => out.write_all(reply.as_bytes())?,
    }
    match failure {
        Some(reason) => Err(Failure::failed(format!("{command}: {reason}"))),
        None => Ok(()),
    }
}

fn send(args: &CallArgs, command: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&args.address, REPLY_TIMEOUT)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    let mut reply = String::new();
    stream.take(MAX_REPLY_LENGTH).read_to_string(&mut reply)?;
    if reply.is_empty() {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "no reply"));
    }
    Ok(reply)
}

/// The metrics of a reply as an object by name; a reply without metrics as a string.
fn reply_as_json(reply: &str) -> Value {
    let parse_metric = |line: &str| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), json!(value.parse::<f64>().ok()?)))
    };
    let lines = reply.lines().filter(|line| !line.starts_with('#'));
    let metrics: Map<String, Value> = lines.filter_map(parse_metric).collect();
    if metrics.is_empty() { json!(reply.trim_end()) } else { Value::Object(metrics) }
}
