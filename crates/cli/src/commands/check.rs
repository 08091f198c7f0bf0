//! `stonefold check`: validates a configuration file, and prints where its values come from.

use std::io::{self, Write};

use serde_json::json;
use stonefold_config::{Config as Tree, EffectiveValue, Layers, ValueSource, load, schema};
use stonefold_node::config::check_file;

use crate::args::{CheckArgs, Format};
use crate::failure::Failure;

/// Validates a file and prints its effective values if `--explain` is given, or prints the schema.
pub(crate) fn run(args: CheckArgs) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    let Some(file) = args.file else {
        let text = serde_json::to_string_pretty(&schema()).map_err(Failure::failed)?;
        return Ok(writeln!(out, "{text}")?);
    };
    if file.extension().is_some_and(|extension| extension == "json") {
        check_file(&file.to_string_lossy()).map_err(Failure::unusable)?;
        return print_result(&mut out, args.format, &[]);
    }
    let loaded = load::<Tree>(&Layers::new(Some(file), args.set)).map_err(Failure::unusable)?;
    let explained = if args.explain { loaded.explain() } else { Vec::new() };
    print_result(&mut out, args.format, &explained)
}

fn print_result(out: &mut impl Write, format: Format, explained: &[EffectiveValue]) -> Result<(), Failure> {
    let source = |value: &EffectiveValue| match &value.source {
        ValueSource::Default => "default".to_owned(),
        ValueSource::Stated(location) => location.to_string(),
    };
    if format == Format::Json {
        let values = explained
            .iter()
            .map(|value| json!({"key": value.key, "value": value.value, "from": source(value)}));
        return Ok(writeln!(out, "{}", json!({"ok": true, "values": values.collect::<Vec<_>>()}))?);
    }
    for value in explained {
        writeln!(out, "{} = {}  # {}", value.key, value.value, source(value))?;
    }
    if explained.is_empty() {
        writeln!(out, "ok")?;
    }
    Ok(())
}
