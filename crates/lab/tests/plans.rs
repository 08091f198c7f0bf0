//! A plan is checked whole before anything starts: what it can't be is refused with its place.

use std::path::Path;

use stonefold_config::{Check, Layers, load};
use stonefold_lab::experiment::{Experiment, Measure};

const PLAN: &str = r#"
name = "some-plan"
against = "servers"
sizes = [2, 4, 8, 16]
repeats = 3
time_limit = "1m"

[measure.decision]
requests = 100
"#;

/// What is said of a plan with something replaced; nothing if it is taken.
fn refusal(from: &str, to: &str) -> Option<String> {
    let file = tempfile::NamedTempFile::new().unwrap();
    assert!(PLAN.contains(from));
    std::fs::write(file.path(), PLAN.replace(from, to)).unwrap();
    read(file.path()).err()
}

fn read(path: &Path) -> Result<Experiment, String> {
    let layers = Layers { file: Some(path.to_owned()), ..Layers::default() };
    load::<Experiment>(&layers).map(|loaded| loaded.tree).map_err(|error| error.to_string())
}

#[test]
fn what_cannot_be_used_is_refused_with_its_place_and_what_would_do() {
    assert_eq!(refusal("repeats = 3", "repeats = 3"), None);
    for (from, to, place, words) in [
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
        let said = refusal(from, to).unwrap_or_else(|| panic!("{to:?} is taken"));
        assert!(said.contains(place) && said.contains(words), "{to:?}: {said}");
    }
}

#[test]
fn a_plan_beyond_the_bounds_is_refused_before_anything_starts() {
    let memory =
        PLAN.replace("[measure.decision]\nrequests = 100", "[measure.memory]\ncopies = 10000\nrequests = 0");
    for (plan, words) in [
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
        let said = read(file.path()).unwrap_err();
        assert!(said.contains(words), "{said}");
    }
}

#[test]
fn a_plan_that_needs_more_descriptors_than_the_machine_allows_is_refused() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let store = "[measure.store]\nidle = \"100ms\"\nasking = \"1s\"";
    std::fs::write(file.path(), PLAN.replace("[measure.decision]\nrequests = 100", store)).unwrap();
    let plan = read(file.path()).unwrap();
    assert!(matches!(plan.measure, Measure::Store(_)));
    plan.check_bounds(1_000).unwrap();
    let error = plan.check_bounds(100).unwrap_err();
    assert_eq!(error.key, "sizes");
    assert!(error.reason.contains("this machine allows 100"), "{}", error.reason);
}

#[test]
fn the_plans_that_are_kept_can_all_be_used() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/experiments");
    let files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path()).collect();
    assert!(!files.is_empty());
    for file in files {
        let plan = read(&file).unwrap();
        plan.check().unwrap();
        assert_eq!(Some(plan.name.as_str()), file.file_stem().and_then(|name| name.to_str()));
    }
}

#[test]
fn more_processes_or_threads_of_nodes_than_the_bound_are_refused() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let hollow =
        "[measure.hollow]\nvary = \"nodes\"\nnodes = 4\nservers = 4\nchanges_per_min = 1\nlasts = \"1s\"\n";
    for (more, sizes, words) in [
        ("real_nodes = 200", "16]", Some("201 processes at once: at most 200")),
        ("real_nodes = 199", "16]", None),
        ("apart = true", "201]", Some("threads: at most 200")),
        ("apart = true", "200]", None),
    ] {
        let plan = PLAN.replace("[measure.decision]\nrequests = 100", &format!("{hollow}{more}"));
        std::fs::write(file.path(), plan.replace("16]", sizes)).unwrap();
        match (read(file.path()), words) {
            (Ok(_), None) => {}
            (Err(said), Some(words)) => assert!(said.contains(words), "{said}"),
            (plan, _) => panic!("{more}, {sizes}: {plan:?}"),
        }
    }
}
