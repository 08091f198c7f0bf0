//! One cache-proxy node: reads its configuration, serves until it is told to stop.

use std::env;
use std::error::Error;
use std::fmt::Display;
use std::io::{self, Write};
use std::process::ExitCode;

use stonefold_node::config::Config;
use stonefold_observe::{Logging, Options};

fn main() -> ExitCode {
    let log = match log_options().and_then(|options| Ok(Logging::to_stderr(options)?)) {
        Ok(log) => log,
        Err(error) => return failed(error),
    };
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(error) => return failed(error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(error),
    };
    match runtime.block_on(stonefold_node::run(config, log.dropped())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(error),
    }
}

/// What the environment says of the log.
fn log_options() -> Result<Options, Box<dyn Error>> {
    let mut options = Options::default();
    if let Ok(levels) = env::var("STONEFOLD_LOG") {
        options.levels = levels.parse()?;
    }
    if let Ok(format) = env::var("STONEFOLD_LOG_FORMAT") {
        options.format = format.parse()?;
    }
    Ok(options)
}

fn failed(error: impl Display) -> ExitCode {
    // Guards against: a panic where standard error is closed.
    let _ = writeln!(io::stderr(), "stonefold: {error}");
    ExitCode::FAILURE
}
