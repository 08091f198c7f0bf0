//! The modules stay short enough to be printed.

/// Lines with something in them that one module may have.
const MOST_LINES: usize = 550;
const WIDEST: usize = 110;

#[test]
fn the_modules_are_short_and_their_lines_narrow() {
    let modules = [
        ("balancer", include_str!("../src/balancer.rs")),
        ("accounting", include_str!("../src/balancer/accounting.rs")),
        ("admission", include_str!("../src/balancer/admission.rs")),
        ("choose", include_str!("../src/balancer/choose.rs")),
        ("guard", include_str!("../src/balancer/guard.rs")),
        ("health", include_str!("../src/balancer/health.rs")),
        ("hedge", include_str!("../src/balancer/hedge.rs")),
    ];
    for (name, text) in modules {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MOST_LINES, "{name}: {lines} lines");
        let wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > WIDEST).collect();
        assert!(wide.is_empty(), "{name}: {wide:?}");
    }
}
