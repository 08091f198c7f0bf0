//! `stonefold lab`: hands over to the program of the scale experiments.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::Command;

use crate::failure::Failure;

/// The program of the scale experiments, in this program's folder. It is a program of its own, so that the one that
/// nodes run contains nothing of it.
const LAB_PROGRAM: &str = "stonefold-lab";

/// Replaces this process by the program of the scale experiments; returns only if that fails.
pub(crate) fn run(args: &[OsString]) -> Result<(), Failure> {
    let path = std::env::current_exe()?.with_file_name(LAB_PROGRAM);
    let error = Command::new(&path).args(args).exec();
    let build = format!("cargo build --release --locked -p {LAB_PROGRAM}");
    Err(Failure::failed(format!("{}: {error}; `{build}` makes it", path.display())))
}
