//! Tests of the program as it is called: results, exit codes, and that no process or file is left behind.

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

fn lab_command(folder: &Path, plan: &str, more_args: &[&str]) -> Command {
    let file = folder.join("plan.toml");
    fs::write(&file, plan).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_stonefold-lab"));
    command.arg("scale").arg(file).arg("--out").arg(folder.join("out")).args(more_args);
    // Temporary files that a sample leaves behind would be in this folder.
    fs::create_dir_all(folder.join("tmp")).unwrap();
    command.env("TMPDIR", folder.join("tmp")).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run(folder: &Path, plan: &str, more_args: &[&str]) -> Output {
    lab_command(folder, plan, more_args).output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn temporary_files(folder: &Path) -> usize {
    fs::read_dir(folder.join("tmp")).unwrap().count()
}

#[test]
fn results_with_fits_and_a_plot_are_written() {
    let folder = TempDir::new().unwrap();
    let output = run(folder.path(), DECISION, &[]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
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
    assert!(
        !svg.contains("#FFFFFF") && !svg.contains("#000000"),
        "the plot must be readable on light and dark backgrounds"
    );
}

#[test]
fn an_invalid_plan_exits_with_2_and_runs_nothing() {
    let folder = TempDir::new().unwrap();
    let output = run(folder.path(), &DECISION.replace("requests", "request"), &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("plan.toml:9:1: measure.decision.request"), "{}", stderr(&output));
    assert!(!folder.path().join("out").exists());
    assert_eq!(run(folder.path(), DECISION, &["--set", "repeats=1"]).status.code(), Some(2));
    assert_eq!(run(folder.path(), DECISION, &["--check"]).status.code(), Some(0));
}

#[test]
fn at_the_time_limit_it_fails_and_writes_the_samples_taken() {
    let folder = TempDir::new().unwrap();
    // No machine makes this number of decisions in a second.
    let plan = DECISION.replace("\"1m\"", "\"3s\"").replace("16]", "3000]").replace("= 100", "= 1000000");
    let started_at = Instant::now();
    let output = run(folder.path(), &plan, &[]);
    assert!(started_at.elapsed() < Duration::from_secs(30));
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("time limit"), "{}", stderr(&output));
    let text = fs::read_to_string(folder.path().join("out/short.json")).unwrap();
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["complete"], false);
    assert!(report["stopped"].as_str().unwrap().contains("time limit"));
}

/// The ids of the child processes of a process.
fn children(parent: u32) -> Vec<u32> {
    let text = fs::read_to_string(format!("/proc/{parent}/task/{parent}/children")).unwrap_or_default();
    text.split_whitespace().map(|id| id.parse().unwrap()).collect()
}

#[test]
fn an_interrupt_leaves_no_process_and_no_file_behind() {
    for whole_group in [false, true] {
        let folder = TempDir::new().unwrap();
        let mut lab = lab_command(folder.path(), STORE, &[]).spawn().unwrap();
        // The sample is running once it has created the folder of its members.
        let deadline = Instant::now() + Duration::from_secs(60);
        while temporary_files(folder.path()) == 0 {
            assert!(Instant::now() < deadline, "no sample starts");
            std::thread::sleep(Duration::from_millis(10));
        }
        let samples = children(lab.id());
        assert_eq!(samples.len(), 1);
        // Ctrl-C in a terminal reaches the sample as well.
        let interrupted = whole_group.then_some(samples[0]).into_iter().chain([lab.id()]);
        for id in interrupted {
            assert!(Command::new("kill").args(["-INT", &id.to_string()]).status().unwrap().success());
        }
        let status = lab.wait().unwrap();
        let mut stderr = String::new();
        lab.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
        // With both interrupted, the lab may see the failed sample before its own signal; either exit code is correct.
        let code = status.code();
        assert!(code == Some(130) || whole_group && code == Some(1), "{status}: {stderr}");
        assert!(!Path::new(&format!("/proc/{}", samples[0])).exists(), "the sample is still running");
        assert_eq!(temporary_files(folder.path()), 0, "{stderr}");
        assert!(!folder.path().join("out").exists());
    }
}

#[test]
fn a_sample_of_the_store_has_the_costs_of_each_member() {
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
    assert_eq!(figures["asks"], 3.0, "each member asks once a second: {figures}");
    for name in ["idle_each_bytes_per_s", "asking_each_bytes_per_s", "idle_each_core_percent", "asks_failed"]
    {
        assert!(figures[name].is_f64(), "{name}: {figures}");
    }
    assert_eq!(temporary_files(folder.path()), 0);
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
fn a_skipped_or_older_list_at_any_node_fails_the_experiment() {
    for (fault, code, reason) in
        [("", 0, ""), ("plant = \"skip\"", 1, "has server"), ("plant = \"step-back\"", 1, "to 1 of")]
    {
        let folder = TempDir::new().unwrap();
        let output = run(folder.path(), &format!("{SCENARIO}{fault}\n"), &[]);
        let stderr = stderr(&output);
        assert_eq!(output.status.code(), Some(code), "{fault}: {stderr}");
        assert!(stderr.contains(reason) && stderr.contains("broken") == (code == 1), "{fault}: {stderr}");
        // The results are written even if a violation is found.
        let text = fs::read_to_string(folder.path().join("out/short.json")).unwrap();
        let report: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(report["broken"].as_array().unwrap().is_empty(), code == 0);
        assert!(!folder.path().join("out/short.svg").exists(), "one size gives no plot");
    }
}
