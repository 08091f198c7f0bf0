//! The modules of the decisions stay short, and the deploy file names them all.

use std::path::{Path, PathBuf};

/// Lines of a module.
const MAX_LINES: usize = 400;
/// Characters of a line.
const MAX_WIDTH: usize = 110;
/// Modules of the interface: they decide nothing.
const INTERFACE: [&str; 3] = ["lib", "api", "settings_document"];

/// The root of the workspace.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).expect("the crate is in the workspace").into()
}

/// The source files below a folder, except those of the interface.
fn modules(folder: &Path) -> Vec<PathBuf> {
    let entries = folder.read_dir().expect("the folder can be read");
    let paths = entries.map(|entry| entry.expect("the entry can be read").path());
    let is_rule = |path: &PathBuf| {
        let name = path.file_stem().and_then(|name| name.to_str()).expect("a plain name");
        !INTERFACE.contains(&name)
    };
    let mut modules = Vec::new();
    for path in paths.filter(is_rule) {
        if path.is_dir() {
            modules.extend(self::modules(&path));
        } else {
            modules.push(path);
        }
    }
    modules.sort();
    modules
}

#[test]
fn the_modules_are_short_and_their_lines_narrow() {
    for module in modules(&root().join("crates/balancer/src")) {
        let text = std::fs::read_to_string(&module).expect("the module can be read");
        let lines = text.lines().count();
        assert!(lines <= MAX_LINES, "{}: {lines} lines", module.display());
        let wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > MAX_WIDTH).collect();
        assert!(wide.is_empty(), "{}: {wide:?}", module.display());
    }
}

#[test]
fn the_deploy_file_names_every_module_of_the_decisions() {
    let deploy = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the file can be read");
    let policy = deploy.lines().find_map(|line| line.strip_prefix("policy = ")).expect("a list of modules");
    let mut named: Vec<PathBuf> =
        policy.trim_matches(['[', ']']).split(", ").map(|path| root().join(path.trim_matches('"'))).collect();
    named.sort();
    assert_eq!(named, modules(&root().join("crates/balancer/src")));
}
