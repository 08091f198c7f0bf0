use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use serde_json::{Map, Value, json};

use crate::args::{CallArgs, Format};
use crate::failure::Failure;

/// A node answers within a second, whatever the load.
const PATIENCE: Duration = Duration::from_secs(2);
/// The longest answer that is read.
const LARGEST: u64 = 1 << 20;

/// Makes one operators' call.
pub fn run(args: CallArgs) -> Result<(), Failure> {
    let call = args.call.join(" ");
    let answer = ask(&args, &call).map_err(|error| Failure::failed(format!("{}: {error}", args.address)))?;
    let failed = answer.strip_prefix("fail").map(|why| why.trim().to_owned());
    let mut out = io::stdout().lock();
    match args.format {
        Format::Json => writeln!(out, "{}", json!({"ok": failed.is_none(), "answer": parsed(&answer)}))?,
        Format::Text => out.write_all(answer.as_bytes())?,
    }
    match failed {
        Some(why) => Err(Failure::failed(format!("{call}: {why}"))),
        None => Ok(()),
    }
}

fn ask(args: &CallArgs, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&args.address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    let mut answer = String::new();
    stream.take(LARGEST).read_to_string(&mut answer)?;
    match answer.is_empty() {
        true => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "no answer")),
        false => Ok(answer),
    }
}

/// Figures by their names, or else the answer's words.
fn parsed(answer: &str) -> Value {
    let figure = |line: &str| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), json!(value.parse::<f64>().ok()?)))
    };
    let figures: Map<String, Value> =
        answer.lines().filter(|line| !line.starts_with('#')).filter_map(figure).collect();
    match figures.is_empty() {
        true => json!(answer.trim_end()),
        false => Value::Object(figures),
    }
}
