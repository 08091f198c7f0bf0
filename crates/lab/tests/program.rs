//! The program as it is called: results, exit codes, and nothing left behind.

use std::fs;
use std::io::Read;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;

const DECISION: &str = r#"
name = "short"
against = "servers"
sizes = [2, 4, 8, 16]
repeats = 3
time_limit = "1m"

[measure.decision]
requests = 100
"#;

const STORE: &str = r#"
name = "short"
against = "members"
sizes = [1, 2, 3, 4]
repeats = 3
time_limit = "3m"

[measure.store]
idle = "4s"
asking = "4s"
"#;

fn lab(folder: &Path, plan: &str, more: &[&str]) -> Command {
    let file = folder.join("plan.toml");
    fs::write(&file, plan).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold-lab"));
    command.arg("scale").arg(file).arg("--out").arg(folder.join("out")).args(more);
    // What a sample leaves behind would lie here.
    fs::create_dir_all(folder.join("tmp")).unwrap();
    command.env("TMPDIR", folder.join("tmp")).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run(folder: &Path, plan: &str, more: &[&str]) -> Output {
    lab(folder, plan, more).output().unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn left(folder: &Path) -> usize {
    fs::read_dir(folder.join("tmp")).unwrap().count()
}

#[test]
fn results_and_their_plot_are_written_with_fit_and_residual() {
    let folder = TempDir::new().unwrap();
    let output = run(folder.path(), DECISION, &[]);
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    let text = fs::read_to_string(folder.path().join("out/short.json")).unwrap();
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["samples"].as_array().unwrap().len(), 12);
    assert_eq!(report["complete"], true);
    for key in ["slope", "residual", "exponent", "exponent_residual"] {
        assert!(report["fits"]["decision_mean_ns"][key].is_f64(), "{key}: {text}");
    }
    assert!(report["conditions"]["beside_other_work"].is_boolean());
    let svg = fs::read_to_string(folder.path().join("out/short.svg")).unwrap();
    assert!(svg.contains("<svg") && svg.contains("decision_mean_ns") && svg.contains("servers"));
    assert!(!svg.contains("#FFFFFF") && !svg.contains("#000000"), "read on light and on dark");
}

#[test]
fn a_plan_that_is_refused_is_a_usage_error_and_runs_nothing() {
    let folder = TempDir::new().unwrap();
    let output = run(folder.path(), &DECISION.replace("requests", "request"), &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(said(&output).contains("plan.toml:9:1: measure.decision.request"), "{}", said(&output));
    assert!(!folder.path().join("out").exists());
    assert_eq!(run(folder.path(), DECISION, &["--set", "repeats=1"]).status.code(), Some(2));
    assert_eq!(run(folder.path(), DECISION, &["--check"]).status.code(), Some(0));
}

#[test]
fn it_stops_at_its_time_limit_says_so_and_keeps_what_was_measured() {
    let folder = TempDir::new().unwrap();
    // More than any machine decides in a second.
    let plan = DECISION.replace("\"1m\"", "\"3s\"").replace("16]", "3000]").replace("= 100", "= 1000000");
    let begun = Instant::now();
    let output = run(folder.path(), &plan, &[]);
    assert!(begun.elapsed() < Duration::from_secs(30));
    assert_eq!(output.status.code(), Some(1));
    assert!(said(&output).contains("time limit"), "{}", said(&output));
    let text = fs::read_to_string(folder.path().join("out/short.json")).unwrap();
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["complete"], false);
    assert!(report["stopped"].as_str().unwrap().contains("time limit"));
}

/// The children of a process, by their numbers.
fn children(of: u32) -> Vec<u32> {
    let text = fs::read_to_string(format!("/proc/{of}/task/{of}/children")).unwrap_or_default();
    text.split_whitespace().map(|id| id.parse().unwrap()).collect()
}

#[test]
fn interrupted_it_leaves_no_process_and_no_file_behind() {
    for whole_group in [false, true] {
        let folder = TempDir::new().unwrap();
        let mut lab = lab(folder.path(), STORE, &[]).spawn().unwrap();
        // Under way: the sample has made its members' folder.
        let until = Instant::now() + Duration::from_secs(60);
        while left(folder.path()) == 0 {
            assert!(Instant::now() < until, "no sample starts");
            std::thread::sleep(Duration::from_millis(10));
        }
        let samples = children(lab.id());
        assert_eq!(samples.len(), 1);
        // A terminal's Ctrl-C reaches the sample as well.
        let interrupted = whole_group.then_some(samples[0]).into_iter().chain([lab.id()]);
        for id in interrupted {
            assert!(Command::new("kill").args(["-INT", &id.to_string()]).status().unwrap().success());
        }
        let status = lab.wait().unwrap();
        let mut words = String::new();
        lab.stderr.take().unwrap().read_to_string(&mut words).unwrap();
        // Which of the two is heard first is open where both are told.
        let code = status.code();
        assert!(code == Some(130) || whole_group && code == Some(1), "{status}: {words}");
        assert!(!Path::new(&format!("/proc/{}", samples[0])).exists(), "the sample has ended");
        assert_eq!(left(folder.path()), 0, "{words}");
        assert!(!folder.path().join("out").exists());
    }
}

#[test]
fn a_sample_of_the_store_tells_what_each_member_takes() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("plan.toml");
    fs::write(&file, STORE.replace("4s", "1s")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold-lab"));
    command.arg("sample").arg(file).args(["--size", "3", "--repeat", "0"]);
    fs::create_dir(folder.path().join("tmp")).unwrap();
    command.env("TMPDIR", folder.path().join("tmp")).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut sample = command.spawn().unwrap();
    let input = sample.stdin.take();
    let output = sample.wait_with_output().unwrap();
    drop(input);
    assert!(output.status.success());
    let sample: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let figures = &sample["figures"];
    assert_eq!(figures["asks"], 3.0, "each asks once in a second: {figures}");
    for name in ["idle_each_bytes_per_s", "asking_each_bytes_per_s", "idle_each_core_percent", "asks_failed"]
    {
        assert!(figures[name].is_f64(), "{name}: {figures}");
    }
    assert_eq!(left(folder.path()), 0);
}

const SCENARIO: &str = r#"
name = "short"
against = "hollow nodes"
sizes = [8]
repeats = 1
time_limit = "1m"

[measure.scenario]
vary = "nodes"
nodes = 8
servers = 30
changes_per_min = 300
lasts = "4s"
"#;

#[test]
fn a_change_that_was_skipped_or_applied_backwards_at_any_node_is_a_failure() {
    for (plant, code, words) in
        [("", 0, ""), ("plant = \"skip\"", 1, "has server"), ("plant = \"step-back\"", 1, "to 1 of")]
    {
        let folder = TempDir::new().unwrap();
        let output = run(folder.path(), &format!("{SCENARIO}{plant}\n"), &[]);
        let said = said(&output);
        assert_eq!(output.status.code(), Some(code), "{plant}: {said}");
        assert!(said.contains(words) && said.contains("broken") == (code == 1), "{plant}: {said}");
        // What was measured is kept, with what was found.
        let text = fs::read_to_string(folder.path().join("out/short.json")).unwrap();
        let report: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(report["broken"].as_array().unwrap().is_empty(), code == 0);
        assert!(!folder.path().join("out/short.svg").exists(), "nothing grows at one size");
    }
}
