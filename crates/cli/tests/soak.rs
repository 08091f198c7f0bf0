//! A short run of the randomized faults on real processes: ten nodes, four seeds of which two add many idle clients,
//! and no rule is broken. The long run is `stonefold-soak`.

use std::path::Path;
use std::time::Duration;

use stonefold_faults::library_beside;
use stonefold_soak::{SoakOptions, run};

const SEEDS: [u64; 4] = [11, 12, 13, 15];

/// Guards against violations of the rules, such as lost or doubled requests, that only several faults at once bring
/// about.
#[test]
fn overlapping_faults_break_no_rule() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let library = library_beside(&std::env::current_exe().unwrap()).expect("built with this test");
    for seed in SEEDS {
        let options = SoakOptions {
            program: Path::new(env!("CARGO_BIN_EXE_stonefold")).to_owned(),
            library: library.clone(),
            seed,
            nodes: 10,
            duration: Duration::from_secs(6),
            rate: 200.0,
            logs: None,
        };
        let report = runtime.block_on(run(options)).unwrap();
        println!("{report}");
        assert!(report.events > 10, "{report}");
        assert!(report.summary.served > report.summary.requests / 2, "{report}");
        assert!(report.is_clean(), "{report}");
    }
}
