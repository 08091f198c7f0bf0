//! Runs the adapter with the simulator's protocol on standard input and output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// The size of the buffers for standard input and output, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match stonefold_simulator_adapter::run(input, output, io::stderr()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stonefold-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
