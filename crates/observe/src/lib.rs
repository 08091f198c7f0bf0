//! Structured logs that never block the code that writes them.
//!
//! Events are made with `tracing`: each has a stable name in its field `event`, and typed fields for what varies.
//! They go through a bounded queue to a thread of its own, which alone writes. While nobody reads, the queue fills up;
//! further lines are dropped and counted in [`DroppedLines`].

mod format;
mod level;

pub use format::{Format, UnknownFormat};
pub use level::{BadLevel, Levels};

use std::io::Write;

use tracing::subscriber::{SetGlobalDefaultError, set_global_default};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::time::UtcTime;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::{Registry, fmt};

/// Most lines that wait to be written; at some 200 bytes each a fraction of a MiB.
const MAX_QUEUED_LINES: usize = 2048;

/// What is logged, and how.
#[derive(Clone, Debug, Default)]
pub struct LogOptions {
    /// Which events, by their targets.
    pub levels: Levels,
    /// As text or as JSON.
    pub format: Format,
}

/// Counts the lines dropped because the queue was full, since the start.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Option<ErrorCounter>);

impl DroppedLines {
    /// The count so far.
    pub fn lines(&self) -> u64 {
        self.0.as_ref().map_or(0, |counter| counter.dropped_lines() as u64)
    }
}

/// Keeps the writing thread running. When dropped, it waits a moment for queued lines to be written.
#[must_use = "lines are written only while this is held"]
pub struct Logging {
    _writer: WorkerGuard,
    dropped: DroppedLines,
}

impl Logging {
    /// Logs to standard error from now on, for the whole process.
    ///
    /// # Errors
    /// If the process logs already.
    pub fn to_stderr(options: LogOptions) -> Result<Logging, SetGlobalDefaultError> {
        let (writer, logging) = queue(std::io::stderr(), MAX_QUEUED_LINES);
        set_global_default(subscriber(options, writer))?;
        Ok(logging)
    }

    /// The count of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        self.dropped.clone()
    }
}

/// A writer that never blocks, in front of one that may.
fn queue(to: impl Write + Send + 'static, max_lines: usize) -> (NonBlocking, Logging) {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(max_lines);
    let (writer, guard) = builder.thread_name("log").finish(to);
    let dropped = DroppedLines(Some(writer.error_counter()));
    (writer, Logging { _writer: guard, dropped })
}

fn subscriber(options: LogOptions, writer: NonBlocking) -> impl tracing::Subscriber + Send + Sync {
    let layer = fmt::layer().with_writer(writer).with_timer(UtcTime::rfc_3339()).with_ansi(false);
    let layer = match options.format {
        Format::Text => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).with_span_list(false).boxed(),
    };
    Registry::default().with(layer.with_filter(options.levels.into_targets()))
}

#[cfg(test)]
mod tests;
