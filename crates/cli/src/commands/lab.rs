//! `stonefold lab`: executes the program of the scale experiments.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::Command;

use crate::failure::Failure;

/// The program of the scale experiments, in the same folder as this program. It is a separate program, so that the one
/// that nodes run contains none of its code.
const LAB_PROGRAM: &str = "stonefold-lab";

/// Replaces this process with the program of the scale experiments. Returns only if that fails.
pub(crate) fn run(args: &[OsString]) -> Result<(), Failure> {
    let path = std::env::current_exe()?.with_file_name(LAB_PROGRAM);
    let error = Command::new(&path).args(args).exec();
    let build = format!("cargo build --release --locked -p {LAB_PROGRAM}");
    Err(Failure::failed(format!("{}: {error}; build it with `{build}`", path.display())))
}
