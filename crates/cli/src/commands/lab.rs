use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::Command;

use crate::failure::Failure;

/// The laboratory's program. It lies beside this one, which nodes run and which carries nothing of it.
const LAB: &str = "stonefold-lab";

/// Becomes the laboratory's program.
pub fn run(args: &[OsString]) -> Result<(), Failure> {
    let path = std::env::current_exe()?.with_file_name(LAB);
    let error = Command::new(&path).args(args).exec();
    let build = format!("cargo build --release --locked -p {LAB}");
    Err(Failure::failed(format!("{}: {error}; `{build}` makes it", path.display())))
}
