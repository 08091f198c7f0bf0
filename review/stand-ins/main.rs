//! The stand-ins of all cases in one program: `stand-ins N ROOT` plays case N against the node of the repository at
//! ROOT and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod world;
#[path = "../1/case.rs"]
mod case1;
#[path = "../2/case.rs"]
mod case2;
#[path = "../3/case.rs"]
mod case3;

use std::env;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::exit;

use world::{Case, Record, Verdict};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [number, root] = &arguments[..] else {
        eprintln!("usage: stand-ins N ROOT");
        exit(Verdict::CouldNotRun as i32);
    };
    let root = PathBuf::from(root);
    let record = Record::create(&root.join("review").join(number));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { root, trouble, record };
    case.record.say(format!("case {number}, {} the disruption", if trouble { "with" } else { "without" }));
    // A panic ends the processes that the case has started, and counts as a case that could not run.
    let played = catch_unwind(AssertUnwindSafe(|| match number.as_str() {
        "1" => case1::run(&case),
        "2" => case2::run(&case),
        "3" => case3::run(&case),
        _ => Err(std::io::Error::other("no such case")),
    }));
    let played = played.unwrap_or_else(|_| Err(std::io::Error::other("the stand-ins have failed")));
    let verdict = played.unwrap_or_else(|error| {
        case.record.say(format!("the case could not run: {error}"));
        Verdict::CouldNotRun
    });
    case.record.say(format!("verdict: {verdict:?}"));
    exit(verdict as i32);
}
