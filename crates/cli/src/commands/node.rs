//! `stonefold node`: reads the configuration, starts what it names beside the node (store, membership), and serves.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;
use stonefold_config::{Config as Tree, Layers, LogFormat, Membership, Role, SharedDocument, Store, load};
use stonefold_membership::{Codec, Settings};
use stonefold_node::config::{Config, Document, DocumentError, Source};
use stonefold_node::membership::MembershipConfig;
use stonefold_node::shared::SharedState;
use stonefold_observe::{Format, Logging, Options};
use stonefold_store::wire::Keys;
use stonefold_store::{daemon, follower};

use crate::args::NodeArgs;
use crate::failure::Failure;
use crate::followed::Followed;
use crate::shared::{CONFIG, Committed, Stored};

const MICROS_A_MILLISECOND: u64 = 1_000;

/// Our own file, with the layers over it.
struct File {
    path: PathBuf,
    flags: Vec<String>,
    /// Where the file states no seed: the same for the life of the process.
    seed: u64,
    /// What it keeps together with other nodes, if its file names that.
    stored: Option<Arc<dyn Committed>>,
}

impl Document for File {
    fn read(&self) -> Result<Value, DocumentError> {
        let shared = self.stored.as_ref().and_then(|stored| stored.config());
        let shared = shared
            .map(|(revision, text)| SharedDocument { name: format!("store:{CONFIG}@{revision}"), text });
        let layers = Layers { shared, ..Layers::new(Some(self.path.clone()), self.flags.clone()) };
        Ok(load::<Tree>(&layers)?.tree.to_platform(self.seed))
    }
}

/// Runs a node until it is told to stop.
pub fn run(args: NodeArgs) -> Result<(), Failure> {
    let started = Instant::now();
    let Some(path) = args.config.clone() else {
        let mut config = Config::from_source(Source::Platform).map_err(Failure::unusable)?;
        config.started = started;
        return serve(config, &logging(Options::default(), &args)?);
    };
    let layers = Layers::new(Some(path.clone()), args.set.clone());
    let Tree { node, log, store, membership, .. } = load(&layers).map_err(Failure::unusable)?.tree;
    let format = match log.format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    let options = Options { levels: log.level.parse().map_err(Failure::unusable)?, format };
    let log = logging(options, &args)?;
    let stored = store.map(keep).transpose()?;
    let file = File { path, flags: args.set, seed: fastrand::u64(..), stored: stored.clone() };
    let mut config = Config::from_source(Source::Document(Box::new(file))).map_err(Failure::unusable)?;
    config.started = started; // before the store, which may wait for others
    config.shared = stored.map(|stored| stored as Arc<dyn SharedState>);
    config.membership = membership.map(|of| take_part(node.name, of)).transpose()?;
    serve(config, &log)
}

fn logging(mut options: Options, args: &NodeArgs) -> Result<Logging, Failure> {
    options.levels = args.log.clone().unwrap_or(options.levels);
    options.format = args.log_format.unwrap_or(options.format);
    Logging::to_stderr(options).map_err(Failure::failed)
}

/// Starts the store that a file names, or follows it.
fn keep(store: Store) -> Result<Arc<dyn Committed>, Failure> {
    let startup_timeout = Duration::from_millis(store.wait.ms());
    let cluster = store.cluster_id();
    let Store { role, dir, listen, key_file, publishers, .. } = store;
    // What is committed is known before any of it is read. What a role needs is there: the file is checked.
    match (role, listen, cluster) {
        (Role::Subscriber, listen, Some(cluster)) => {
            let settings = follower::Settings { dir, listen, key_file, cluster, publishers, startup_timeout };
            Ok(Followed::start(settings).map_err(Failure::unusable)?)
        }
        (Role::Member, Some(listen), _) => {
            let settings = daemon::Settings { dir, listen, key_file, startup_timeout };
            let daemon = daemon::start(settings).map_err(Failure::unusable)?;
            daemon.wait();
            Ok(Stored::new(daemon))
        }
        _ => Err(Failure::unusable("store: not what its role needs")),
    }
}

/// How the node takes part in the membership that a file names.
fn take_part(name: String, of: Membership) -> Result<MembershipConfig, Failure> {
    let keys = Keys::read(&of.key_file).map_err(Failure::unusable)?;
    let settings = Settings::with_probe_interval(of.probe_interval.ms() * MICROS_A_MILLISECOND);
    Ok(MembershipConfig {
        name,
        listen: of.listen,
        advertise: of.advertise,
        seeds: of.seeds,
        codec: Codec::new(&of.cluster, &keys.membership_keys()),
        settings,
    })
}

fn serve(config: Config, log: &Logging) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(stonefold_node::run(config, log.dropped()))?)
}
