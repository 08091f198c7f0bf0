//! The laboratory as this program hands over to it, and its hollow nodes beside real ones.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use stonefold_config::{Count, DurationMillis, Positive};
use stonefold_lab::experiment::{HollowPlan, VariedQuantity};
use stonefold_lab::hollow::scenario::Scenario;
use stonefold_lab::measure::hollow::{HollowError, measure};
use stonefold_model::site::DiscoveryKind;
use tokio_util::sync::CancellationToken;

const STONEFOLD: &str = env!("CARGO_BIN_EXE_stonefold");

#[test]
fn the_laboratory_is_a_program_beside_this_one_and_gets_all_arguments() {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).unwrap();
    let program = folder.path().join("stonefold");
    fs::hard_link(STONEFOLD, &program).unwrap();
    let call = || {
        Command::new(&program)
            .args(["lab", "scale", "plan.toml", "--set", "repeats=4", "--help"])
            .output()
            .unwrap()
    };

    let absent = call();
    assert_eq!(absent.status.code(), Some(1));
    let said = String::from_utf8(absent.stderr).unwrap();
    assert!(said.contains("stonefold-lab") && said.contains("cargo build"), "{said}");

    let lab = folder.path().join("stonefold-lab");
    fs::write(&lab, "#!/bin/sh\necho \"$@\"\nexit 130\n").unwrap();
    fs::set_permissions(&lab, PermissionsExt::from_mode(0o755)).unwrap();
    let there = call();
    assert_eq!(there.status.code(), Some(130), "its exit code is ours");
    assert_eq!(String::from_utf8(there.stdout).unwrap(), "scale plan.toml --set repeats=4 --help\n");
}

/// Tests that start nodes are alone with theirs.
static ALONE: Mutex<()> = Mutex::new(());

fn beside_real_nodes(lasts_ms: u64) -> HollowPlan {
    HollowPlan {
        vary: VariedQuantity::Nodes,
        nodes: Count::new(20),
        real_nodes: Count::new(10),
        servers: Count::new(100),
        changes_per_min: Count::new(240),
        lasts: DurationMillis::new(lasts_ms),
        catch_up: DurationMillis::new(30_000),
        scenario: Scenario::Calm,
        thread_per_node: true,
        injected_fault: None,
        subscribe: true,
        discovery: DiscoveryKind { calls_per_s: Positive::new(2_000.0), ..DiscoveryKind::default() },
    }
}

/// A hollow node says to discovery what a real one says; on a thread of its own it takes of the processor what a real
/// one does. (Many on one thread take less, since they wake up together: a figure of each run.)
#[test]
fn a_hollow_node_costs_what_a_real_ones_control_does() {
    let _alone = ALONE.lock();
    let figures =
        measure(&beside_real_nodes(8_000), 7, Path::new(STONEFOLD), &CancellationToken::new()).unwrap();
    assert_eq!(figures.broken, Vec::<String>::new());
    let ratio = |name: &str| figures.figures[&format!("hollow_to_real_{name}")];
    for name in ["calls_per_s", "wire_bytes_per_s"] {
        assert!((0.9..1.1).contains(&ratio(name)), "{name}: {:?}", figures.figures);
    }
    assert!((0.5..1.1).contains(&ratio("core_percent")), "{:?}", figures.figures);
}

/// Processes that this one has started and that have not ended.
fn nodes() -> usize {
    let tasks = fs::read_dir("/proc/self/task").unwrap().map(|task| task.unwrap().path().join("children"));
    let children = tasks.flat_map(fs::read_to_string).collect::<Vec<_>>().concat();
    let runs = |id: &&str| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
    };
    children.split_whitespace().filter(runs).count()
}

#[test]
fn told_to_stop_it_leaves_no_node_behind() {
    let _alone = ALONE.lock();
    let stop = CancellationToken::new();
    let until = Instant::now() + Duration::from_secs(60);
    let told = stop.clone();
    let stopping = thread::spawn(move || {
        // Counted before it is told to stop: some may have ended right after.
        let mut started = nodes();
        while started < 10 && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
            started = nodes();
        }
        told.cancel();
        started
    });
    let ended = measure(&beside_real_nodes(60_000), 7, Path::new(STONEFOLD), &stop);
    assert!(matches!(ended, Err(HollowError::Stopped)), "{:?}", ended.map(|figures| figures.figures));
    assert_eq!(stopping.join().unwrap(), 10, "all had started");
    while nodes() > 0 {
        assert!(Instant::now() < until, "{} nodes are left", nodes());
        thread::sleep(Duration::from_millis(5));
    }
}
