//! Sets `STONEFOLD_COMMIT`, the commit that the program is built from.

use std::path::Path;
use std::process::Command;

fn main() {
    let git = |args: &[&str]| {
        let output = Command::new("git").args(args).output().ok().filter(|output| output.status.success())?;
        Some(String::from_utf8(output.stdout).ok()?.trim().to_owned())
    };
    let commit = git(&["rev-parse", "--short=10", "HEAD"]).unwrap_or_else(|| "no commit".into());
    println!("cargo::rustc-env=STONEFOLD_COMMIT={commit}");
    println!("cargo::rerun-if-changed=build.rs");
    // HEAD changes when another branch is checked out, its log also at each commit.
    for name in ["HEAD", "logs/HEAD"] {
        if let Some(path) = git(&["rev-parse", "--git-path", name]).filter(|path| Path::new(path).exists()) {
            println!("cargo::rerun-if-changed={path}");
        }
    }
}
