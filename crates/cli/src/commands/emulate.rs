//! `stonefold emulate`: runs a site on loopback until it is stopped, and reports the verdict.

use std::fs;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;
use stonefold_config::{Layers, load};
use stonefold_emulator::{Emulator, EmulatorError, EmulatorOptions};
use stonefold_model::Verdict;
use stonefold_model::site::Site;
use stonefold_observe::Logging;
use tokio::signal::unix::{SignalKind, signal};

use crate::args::{EmulateArgs, Format};
use crate::failure::Failure;

/// The loopback address with any free port.
pub(crate) const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs a site until it is stopped, and fails if a rule was broken.
pub(crate) fn run(args: EmulateArgs) -> Result<(), Failure> {
    let site =
        load::<Site>(&Layers { file: Some(args.site.clone()), flags: args.set.clone(), ..Layers::default() })
            .map_err(Failure::unusable)?
            .tree;
    let log = stonefold_observe::LogOptions { levels: args.log.clone(), ..Default::default() };
    let _log = Logging::to_stderr(log).map_err(Failure::failed)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(args.threads.into())
        .enable_all()
        .build()?;
    runtime.block_on(emulate(site, &args))
}

async fn emulate(site: Site, args: &EmulateArgs) -> Result<(), Failure> {
    let options =
        EmulatorOptions { control: args.control, faults: !args.no_faults, ..EmulatorOptions::default() };
    let emulator = Emulator::start(site, options).await.map_err(|error| match error {
        EmulatorError::NotLoopback(_) => Failure::unusable(error),
        EmulatorError::Listen { .. } => Failure::failed(error),
    })?;
    let files = match &args.configs {
        Some(folder) => write_configs(&emulator, folder)?,
        None => Vec::new(),
    };
    print_start(&emulator, &files, args.format)?;
    wait_for_end(args.duration).await?;
    print_verdict(emulator.verdict(), args.format)
}

/// Writes the configuration of each node to a file in `folder`, and returns the paths of the files.
fn write_configs(emulator: &Emulator, folder: &PathBuf) -> Result<Vec<PathBuf>, Failure> {
    let failed = |path: &PathBuf, error: io::Error| Failure::failed(format!("{}: {error}", path.display()));
    fs::create_dir_all(folder).map_err(|error| failed(folder, error))?;
    let mut files = Vec::new();
    for node in 0..emulator.site().nodes.get() {
        let Some(config) = emulator.config(node, ANY_PORT, Some(ANY_PORT)) else { continue };
        let text = toml::to_string(&config).map_err(Failure::failed)?;
        let path = folder.join(format!("node-{node}.toml"));
        fs::write(&path, text).map_err(|error| failed(&path, error))?;
        files.push(path);
    }
    Ok(files)
}

fn print_start(emulator: &Emulator, files: &[PathBuf], format: Format) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    let discoveries: Vec<SocketAddr> =
        (0..emulator.site().nodes.get()).filter_map(|node| emulator.discovery(node)).collect();
    if format == Format::Json {
        writeln!(
            out,
            "{}",
            json!({"control": emulator.control(), "discovery": discoveries, "configs": files})
        )?;
        return Ok(out.flush()?);
    }
    writeln!(out, "control: curl http://{}/verdict", emulator.control())?;
    for (node, at) in discoveries.iter().enumerate() {
        match files.get(node) {
            Some(file) => writeln!(out, "node {node}: stonefold node --config {}", file.display())?,
            None => writeln!(out, "node {node}: discovery at {at}")?,
        }
    }
    Ok(out.flush()?)
}

/// Waits for SIGINT or SIGTERM, at most for `duration` if that is given.
pub(crate) async fn wait_for_end(duration: Option<Duration>) -> Result<(), Failure> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    let elapsed = async {
        match duration {
            Some(duration) => tokio::time::sleep(duration).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
        () = elapsed => {}
    }
    Ok(())
}

fn print_verdict(verdict: Verdict, format: Format) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    match format {
        Format::Json => {
            writeln!(out, "{}", json!({"verdict": verdict, "rules_broken": verdict.rules_broken()}))?;
        }
        Format::Text => writeln!(out, "{verdict:#?}")?,
    }
    match verdict.rules_broken() {
        0 => Ok(()),
        broken => Err(Failure::failed(format!("rules were broken {broken} times"))),
    }
}
