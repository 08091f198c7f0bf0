//! `stonefold node`: loads the configuration, starts the store and the membership that it names, and serves.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use stonefold_config::{
    Config as FileConfig, Layers, Log, LogFormat, Membership, Role, SharedDocument, Store, load,
};
use stonefold_membership::{Codec, Settings};
use stonefold_node::config::{DocumentError, DocumentSource, NodeConfig, Source};
use stonefold_node::membership::MembershipConfig;
use stonefold_node::shared::ReplicatedState;
use stonefold_observe::{Format, LogOptions, Logging};
use stonefold_store::wire::Keys;
use stonefold_store::{daemon, follower};

use crate::args::NodeArgs;
use crate::failure::Failure;
use crate::shared_state::{CONFIG_DOCUMENT, MemberState, SharedConfig, SubscriberState};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// The TOML file and the layers that override it, as the platform's document. The node reads it at its start and at each
/// reload.
struct FileDocument {
    path: PathBuf,
    flags: Vec<String>,
    /// The seed if the configuration states none; the same for the lifetime of the process.
    seed: u64,
    /// The store with the part of the configuration that all nodes share, if the file has a store section.
    shared: Option<Arc<dyn SharedConfig>>,
}

impl DocumentSource for FileDocument {
    fn read(&self) -> Result<Value, DocumentError> {
        let committed = self.shared.as_ref().and_then(|shared| shared.config());
        let shared = committed.map(|config| SharedDocument {
            name: format!("store:{CONFIG_DOCUMENT}@{}", config.revision),
            text: config.text,
        });
        let layers = Layers { shared, ..Layers::new(Some(self.path.clone()), self.flags.clone()) };
        Ok(load::<FileConfig>(&layers)?.tree.to_platform(self.seed))
    }
}

/// Runs a node until SIGTERM.
pub(crate) fn run(args: NodeArgs) -> Result<(), Failure> {
    let started = Instant::now();
    match args.config.clone() {
        Some(path) => run_from_file(path, args, started),
        None => run_from_platform(&args, started),
    }
}

fn run_from_platform(args: &NodeArgs, started: Instant) -> Result<(), Failure> {
    let mut config = NodeConfig::from_source(Source::Platform).map_err(Failure::unusable)?;
    config.started = started;
    serve(config, &start_logging(LogOptions::default(), args)?)
}

fn run_from_file(path: PathBuf, args: NodeArgs, started: Instant) -> Result<(), Failure> {
    let layers = Layers::new(Some(path.clone()), args.set.clone());
    let FileConfig { node, log, store, membership, .. } = load(&layers).map_err(Failure::unusable)?.tree;
    let log = start_logging(log_options(&log)?, &args)?;
    let shared = store.map(start_store).transpose()?;
    let document = FileDocument { path, flags: args.set, seed: fastrand::u64(..), shared: shared.clone() };
    let mut config =
        NodeConfig::from_source(Source::Document(Box::new(document))).map_err(Failure::unusable)?;
    config.started = started; // counts the store's start, which may wait for other nodes
    config.shared = shared.map(|shared| shared as Arc<dyn ReplicatedState>);
    config.membership = membership.map(|membership| membership_config(node.name, membership)).transpose()?;
    serve(config, &log)
}

fn log_options(log: &Log) -> Result<LogOptions, Failure> {
    let format = match log.format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    Ok(LogOptions { levels: log.level.parse().map_err(Failure::unusable)?, format })
}

/// Starts logging; flags override the configuration.
fn start_logging(mut options: LogOptions, args: &NodeArgs) -> Result<Logging, Failure> {
    options.levels = args.log.clone().unwrap_or(options.levels);
    options.format = args.log_format.unwrap_or(options.format);
    Logging::to_stderr(options).map_err(Failure::failed)
}

/// Starts the store, as a member or a subscriber, and waits for the committed state as long as the file allows.
fn start_store(store: Store) -> Result<Arc<dyn SharedConfig>, Failure> {
    let startup_timeout = Duration::from_millis(store.wait.ms());
    let cluster = store.cluster_id();
    let Store { role, dir, listen, key_file, publishers, .. } = store;
    // The file was validated: it contains the keys that the role needs.
    match (role, listen, cluster) {
        (Role::Subscriber, listen, Some(cluster)) => {
            let settings =
                follower::SubscriberSettings { dir, listen, key_file, cluster, publishers, startup_timeout };
            Ok(SubscriberState::start(settings).map_err(Failure::unusable)?)
        }
        (Role::Member, Some(listen), _) => {
            let settings = daemon::MemberSettings { dir, listen, key_file, startup_timeout };
            let daemon = daemon::start(settings).map_err(Failure::unusable)?;
            daemon.wait();
            Ok(MemberState::new(daemon))
        }
        _ => Err(Failure::unusable("store: keys that its role needs are missing")),
    }
}

fn membership_config(node_name: String, membership: Membership) -> Result<MembershipConfig, Failure> {
    let keys = Keys::read(&membership.key_file).map_err(Failure::unusable)?;
    let probe_interval = membership.probe_interval.ms() * MICROS_PER_MILLI;
    Ok(MembershipConfig {
        name: node_name,
        listen: membership.listen,
        advertise: membership.advertise,
        seeds: membership.seeds,
        codec: Codec::new(&membership.cluster, &keys.membership_keys()),
        settings: Settings::with_probe_interval(probe_interval),
    })
}

fn serve(config: NodeConfig, log: &Logging) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(stonefold_node::run(config, log.dropped()))?)
}
