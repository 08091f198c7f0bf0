//! The command `stonefold lab`, which starts the program `stonefold-lab`, and hollow nodes compared with real ones.

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

/// Guards against arguments or an exit code that are lost between the two programs, and against an unclear message
/// where `stonefold-lab` was not built.
#[test]
fn lab_command_runs_the_program_beside_it_with_all_arguments() {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).unwrap();
    let program = folder.path().join("stonefold");
    fs::hard_link(STONEFOLD, &program).unwrap();
    let run = || {
        Command::new(&program)
            .args(["lab", "scale", "plan.toml", "--set", "repeats=4", "--help"])
            .output()
            .unwrap()
    };

    let absent = run();
    assert_eq!(absent.status.code(), Some(1));
    let message = String::from_utf8(absent.stderr).unwrap();
    assert!(message.contains("stonefold-lab") && message.contains("cargo build"), "{message}");

    let lab = folder.path().join("stonefold-lab");
    fs::write(&lab, "#!/bin/sh\necho \"$@\"\nexit 130\n").unwrap();
    fs::set_permissions(&lab, PermissionsExt::from_mode(0o755)).unwrap();
    let present = run();
    assert_eq!(present.status.code(), Some(130), "the exit code is passed on");
    assert_eq!(String::from_utf8(present.stdout).unwrap(), "scale plan.toml --set repeats=4 --help\n");
}

/// Held by tests that start nodes, so that only one of them runs at a time.
static NODES_LOCK: Mutex<()> = Mutex::new(());

/// A measurement of ten hollow nodes beside ten real ones.
fn hollow_beside_real_nodes(duration_ms: u64) -> HollowPlan {
    HollowPlan {
        vary: VariedQuantity::Nodes,
        nodes: Count::new(20),
        real_nodes: Count::new(10),
        servers: Count::new(100),
        changes_per_min: Count::new(240),
        lasts: DurationMillis::new(duration_ms),
        catch_up: DurationMillis::new(30_000),
        scenario: Scenario::Calm,
        thread_per_node: true,
        injected_fault: None,
        subscribe: true,
        discovery: DiscoveryKind { calls_per_s: Positive::new(2_000.0), ..DiscoveryKind::default() },
    }
}

/// Guards against figures of hollow nodes that say nothing about real ones. A hollow node says to discovery what a real
/// one says; on a thread of its own it takes as much processor time as a real one. (Many on one thread take less, since
/// they wake up together: each run reports that figure.)
#[test]
fn hollow_node_costs_as_much_as_the_control_of_a_real_one() {
    let _lock = NODES_LOCK.lock();
    let figures =
        measure(&hollow_beside_real_nodes(8_000), 7, Path::new(STONEFOLD), &CancellationToken::new())
            .unwrap();
    assert_eq!(figures.broken, Vec::<String>::new());
    let ratio = |name: &str| figures.figures[&format!("hollow_to_real_{name}")];
    for name in ["calls_per_s", "wire_bytes_per_s"] {
        assert!((0.9..1.1).contains(&ratio(name)), "{name}: {:?}", figures.figures);
    }
    assert!((0.5..1.1).contains(&ratio("core_percent")), "{:?}", figures.figures);
}

/// The number of child processes of this process that have not ended.
fn running_nodes() -> usize {
    let tasks = fs::read_dir("/proc/self/task").unwrap().map(|task| task.unwrap().path().join("children"));
    let children = tasks.flat_map(fs::read_to_string).collect::<Vec<_>>().concat();
    let runs = |id: &&str| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
    };
    children.split_whitespace().filter(runs).count()
}

/// Guards against real nodes that go on running after a measurement was cancelled.
#[test]
fn cancelled_measurement_leaves_no_node_process_behind() {
    let _lock = NODES_LOCK.lock();
    let stop = CancellationToken::new();
    let deadline = Instant::now() + Duration::from_secs(60);
    let stop_token = stop.clone();
    let stopping = thread::spawn(move || {
        // Counted before the cancellation, since some may have ended right after it.
        let mut started = running_nodes();
        while started < 10 && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
            started = running_nodes();
        }
        stop_token.cancel();
        started
    });
    let result = measure(&hollow_beside_real_nodes(60_000), 7, Path::new(STONEFOLD), &stop);
    assert!(matches!(result, Err(HollowError::Stopped)), "{:?}", result.map(|figures| figures.figures));
    assert_eq!(stopping.join().unwrap(), 10, "all nodes had started");
    while running_nodes() > 0 {
        assert!(Instant::now() < deadline, "{} nodes are left", running_nodes());
        thread::sleep(Duration::from_millis(5));
    }
}
