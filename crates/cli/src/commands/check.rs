use std::io::{self, Write};

use serde_json::json;
use stonefold_config::{Config as Tree, EffectiveValue, Layers, ValueSource, load, schema};
use stonefold_node::config::check_file;

use crate::args::{CheckArgs, Format};
use crate::failure::Failure;

/// Checks a file, and tells what would be in force.
pub fn run(args: CheckArgs) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    let Some(file) = args.file else {
        let text = serde_json::to_string_pretty(&schema()).map_err(Failure::failed)?;
        return Ok(writeln!(out, "{text}")?);
    };
    if file.extension().is_some_and(|e| e == "json") {
        check_file(&file.to_string_lossy()).map_err(Failure::unusable)?;
        return told(&mut out, args.format, &[]);
    }
    let loaded = load::<Tree>(&Layers::new(Some(file), args.set)).map_err(Failure::unusable)?;
    let explained = if args.explain { loaded.explain() } else { Vec::new() };
    told(&mut out, args.format, &explained)
}

fn told(out: &mut impl Write, format: Format, explained: &[EffectiveValue]) -> Result<(), Failure> {
    let origin = |one: &EffectiveValue| match &one.source {
        ValueSource::Default => "default".to_owned(),
        ValueSource::Stated(location) => location.to_string(),
    };
    if format == Format::Json {
        let values = explained.iter().map(|e| json!({"key": e.key, "value": e.value, "from": origin(e)}));
        return Ok(writeln!(out, "{}", json!({"ok": true, "values": values.collect::<Vec<_>>()}))?);
    }
    for one in explained {
        writeln!(out, "{} = {}  # {}", one.key, one.value, origin(one))?;
    }
    if explained.is_empty() {
        writeln!(out, "ok")?;
    }
    Ok(())
}
