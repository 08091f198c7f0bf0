//! The modules that decide stay short, and `deploy/balancer.toml` lists all of them.

use std::path::{Path, PathBuf};

/// The most lines of a module that decides.
const MAX_LINES: usize = 400;
/// The most characters of one of its lines.
const MAX_WIDTH: usize = 110;
/// The modules that decide nothing: the crate's interface.
const INTERFACE: [&str; 3] = ["lib", "api", "settings_document"];

/// The root folder of the workspace.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("the crate is in the workspace").into()
}

/// The source files below a folder of the modules that decide, sorted.
fn decision_modules(folder: &Path) -> Vec<PathBuf> {
    let entries = folder.read_dir().expect("the folder can be read");
    let paths = entries.map(|entry| entry.expect("the entry can be read").path());
    let decides = |path: &PathBuf| {
        let name = path.file_stem().and_then(|name| name.to_str()).expect("a plain name");
        !INTERFACE.contains(&name)
    };
    let mut modules = Vec::new();
    for path in paths.filter(decides) {
        if path.is_dir() {
            modules.extend(decision_modules(&path));
        } else {
            modules.push(path);
        }
    }
    modules.sort();
    modules
}

#[test]
fn decision_modules_and_their_lines_are_short() {
    for module in decision_modules(&root().join("crates/balancer/src")) {
        let text = std::fs::read_to_string(&module).expect("the module can be read");
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines", module.display());
        let too_wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > MAX_WIDTH).collect();
        assert!(
            too_wide.is_empty(),
            "{}: lines of more than {MAX_WIDTH} characters: {too_wide:?}",
            module.display()
        );
    }
}

#[test]
fn the_deploy_file_lists_every_decision_module() {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the file can be read");
    let listed = deploy.lines().find_map(|line| line.strip_prefix("policy = ")).expect("a list of modules");
    let mut paths: Vec<PathBuf> =
        listed.trim_matches(['[', ']']).split(", ").map(|path| root().join(path.trim_matches('"'))).collect();
    paths.sort();
    assert_eq!(paths, decision_modules(&root().join("crates/balancer/src")));
}
