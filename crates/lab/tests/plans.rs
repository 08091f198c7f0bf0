//! Tests of the checks of a plan, which come before anything starts: an error names its place and the reason.

use std::path::Path;

use stonefold_config::{Check, Layers, load};
use stonefold_lab::experiment::{Experiment, Measurement};

const PLAN: &str = r#"
name = "some-plan"
against = "servers"
sizes = [2, 4, 8, 16]
repeats = 3
time_limit = "1m"

[measure.decision]
requests = 100
"#;

/// Returns the error of the plan with `from` replaced by `to`; `None` if the plan is valid.
fn error_after_replacing(from: &str, to: &str) -> Option<String> {
    let file = tempfile::NamedTempFile::new().unwrap();
    assert!(PLAN.contains(from));
    std::fs::write(file.path(), PLAN.replace(from, to)).unwrap();
    read_plan(file.path()).err()
}

fn read_plan(path: &Path) -> Result<Experiment, String> {
    let layers = Layers { file: Some(path.to_owned()), ..Layers::default() };
    load::<Experiment>(&layers).map(|loaded| loaded.tree).map_err(|error| error.to_string())
}

#[test]
fn an_invalid_plan_is_rejected_with_place_and_expected_value() {
    assert_eq!(error_after_replacing("repeats = 3", "repeats = 3"), None);
    for (from, to, place, reason) in [
        ("repeats = 3", "repeat = 3", ":5:1: repeat", "did you mean `repeats`"),
        ("requests = 100", "requests = 100\nwarm = 1", ":10:1: measure.decision.warm", "unknown key"),
        ("[measure.decision]", "[measure.decisions]", "measure", "decision"),
        ("requests = 100", "requests = 1", ":9:1: measure.decision.requests", "100"),
        ("[2, 4, 8, 16]", "[2, 4, 8]", ":4:1: sizes", "at least 4"),
        ("[2, 4, 8, 16]", "[2, 4, 4, 16]", ":4:16: sizes[2]", "larger"),
        ("[2, 4, 8, 16]", "[0, 4, 8, 16]", ":4:10: sizes[0]", "1 to 1000000"),
        ("repeats = 3", "repeats = 2", ":5:1: repeats", "at least 3"),
        ("some-plan", "../plan", ":2:1: name", "hyphens"),
        ("\"1m\"", "\"1\"", ":6:1: time_limit", "unit"),
        ("repeats = 3", "", "repeats", "missing"),
    ] {
        let error = error_after_replacing(from, to).unwrap_or_else(|| panic!("{to:?} is accepted"));
        assert!(error.contains(place) && error.contains(reason), "{to:?}: {error}");
    }
}

#[test]
fn a_plan_that_exceeds_memory_or_time_is_rejected() {
    let memory =
        PLAN.replace("[measure.decision]\nrequests = 100", "[measure.memory]\ncopies = 10000\nrequests = 0");
    for (plan, reason) in [
        (memory.replace("16]", "2000]"), "at most 12288 MiB"),
        (
            PLAN.replace(
                "[measure.decision]\nrequests = 100",
                "[measure.store]\nidle = \"10s\"\nasking = \"1s\"",
            ),
            "too short",
        ),
    ] {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), plan).unwrap();
        let error = read_plan(file.path()).unwrap_err();
        assert!(error.contains(reason), "{error}");
    }
}

#[test]
fn a_plan_that_needs_more_descriptors_than_allowed_is_rejected() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let store = "[measure.store]\nidle = \"100ms\"\nasking = \"1s\"";
    std::fs::write(file.path(), PLAN.replace("[measure.decision]\nrequests = 100", store)).unwrap();
    let plan = read_plan(file.path()).unwrap();
    assert!(matches!(plan.measure, Measurement::Store(_)));
    plan.check_bounds(1_000).unwrap();
    let error = plan.check_bounds(100).unwrap_err();
    assert_eq!(error.key, "sizes");
    assert!(error.reason.contains("this machine allows 100"), "{}", error.reason);
}

#[test]
fn all_plans_in_deploy_experiments_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/experiments");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()).collect();
    assert!(!files.is_empty());
    for file in files {
        let plan = read_plan(&file).unwrap();
        plan.check().unwrap();
        assert_eq!(Some(plan.name.as_str()), file.file_stem().and_then(|name| name.to_str()));
    }
}

#[test]
fn a_plan_with_too_many_processes_or_node_threads_is_rejected() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let hollow =
        "[measure.hollow]\nvary = \"nodes\"\nnodes = 4\nservers = 4\nchanges_per_min = 1\nlasts = \"1s\"\n";
    for (settings, sizes, expected_error) in [
        ("real_nodes = 200", "16]", Some("201 processes at once: at most 200")),
        ("real_nodes = 199", "16]", None),
        ("apart = true", "201]", Some("threads: at most 200")),
        ("apart = true", "200]", None),
    ] {
        let plan = PLAN.replace("[measure.decision]\nrequests = 100", &format!("{hollow}{settings}"));
        std::fs::write(file.path(), plan.replace("16]", sizes)).unwrap();
        match (read_plan(file.path()), expected_error) {
            (Ok(_), None) => {}
            (Err(error), Some(reason)) => assert!(error.contains(reason), "{error}"),
            (plan, _) => panic!("{settings}, {sizes}: {plan:?}"),
        }
    }
}
