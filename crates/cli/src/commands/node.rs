use std::path::PathBuf;

use serde_json::Value;
use stonefold_config::{Config as Tree, Layers, LogFormat, load};
use stonefold_node::config::{Config, Document, DocumentError, Source};
use stonefold_observe::{Format, Logging, Options};

use crate::args::NodeArgs;
use crate::failure::Failure;

/// Our own file, with the layers over it.
struct File {
    path: PathBuf,
    flags: Vec<String>,
    /// Where the file states no seed: the same for the life of the process.
    seed: u64,
}

impl Document for File {
    fn read(&self) -> Result<Value, DocumentError> {
        let layers = Layers::new(Some(self.path.clone()), self.flags.clone());
        Ok(load::<Tree>(&layers)?.tree.to_platform(self.seed))
    }
}

/// Runs a node until it is told to stop.
pub fn run(args: NodeArgs) -> Result<(), Failure> {
    let (source, mut log) = match args.config {
        None => (Source::Platform, Options::default()),
        Some(path) => {
            let layers = Layers::new(Some(path.clone()), args.set.clone());
            let log = load::<Tree>(&layers).map_err(Failure::unusable)?.tree.log;
            let levels = log.level.parse().map_err(Failure::unusable)?;
            let format = match log.format {
                LogFormat::Text => Format::Text,
                LogFormat::Json => Format::Json,
            };
            let file = File { path, flags: args.set, seed: fastrand::u64(..) };
            (Source::Document(Box::new(file)), Options { levels, format })
        }
    };
    log.levels = args.log.unwrap_or(log.levels);
    log.format = args.log_format.unwrap_or(log.format);
    let config = Config::from_source(source).map_err(Failure::unusable)?;
    let log = Logging::to_stderr(log).map_err(Failure::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(stonefold_node::run(config, log.dropped()))?)
}
