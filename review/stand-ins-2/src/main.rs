//! The stand-ins of the cases `review/6` to `review/10`: cache servers, an origin, discovery and clients, and the cases
//! themselves. Each case starts the project's node with the `run` command of the deploy file.
//!
//! Usage: `stand-ins-2 CASE ROOT FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cache;
mod cases;
mod client;
mod discovery;
mod node;
mod origin;
mod record;
mod resp;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// A case that runs for longer than this could not run.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case needs to know.
pub struct Context {
    /// The root of the repository.
    pub root: PathBuf,
    /// Whether the disruption happens; `TROUBLE=0` leaves it out.
    pub trouble: bool,
    pub record: Record,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, and why.
    Void(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: stand-ins-2 CASE ROOT FOLDER");
        exit(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write record.txt in {folder}: {error}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "TROUBLE=0: without it" }
    ));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        node::kill_all();
        eprintln!("the case took too long");
        exit(2);
    });
    let context = Context { root: PathBuf::from(root), trouble, record };
    let verdict = cases::run(case, &context);
    node::kill_all();
    let (text, code) = match verdict {
        Verdict::Held => ("HELD: the rule was kept".to_owned(), 0),
        Verdict::Broken => ("BROKEN: the rule was broken".to_owned(), 1),
        Verdict::Void(reason) => (format!("VOID: {reason}"), 2),
    };
    context.record.line(&text);
    println!("{text}");
    exit(code);
}
