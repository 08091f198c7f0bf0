//! Structured logs that never block the code that writes them.
//!
//! Events are logged with `tracing`: each has a stable name in its field `event`, and typed fields for its data. Log
//! lines go through a bounded queue to a dedicated thread, which alone writes them. While the reader of the log stalls,
//! the queue fills up; further lines are dropped and counted in [`DroppedLines`].

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

/// The most lines that wait to be written. At some 200 bytes each they take a fraction of a MiB.
const MAX_QUEUED_LINES: usize = 2048;

/// What is logged, and how.
#[derive(Clone, Debug, Default)]
pub struct LogOptions {
    /// Which events are logged, by their targets and levels.
    pub levels: Levels,
    /// Whether lines are text or JSON.
    pub format: Format,
}

/// Counts the lines that were dropped because the queue was full. The default counter stays at 0.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Option<ErrorCounter>);

impl DroppedLines {
    /// How many lines were dropped so far.
    pub fn lines(&self) -> u64 {
        self.0.as_ref().map_or(0, |counter| counter.dropped_lines() as u64)
    }
}

/// Keeps the writing thread running. Its destructor waits for a limited time until queued lines are written.
#[must_use = "lines are written only while this is held"]
pub struct Logging {
    _writer: WorkerGuard,
    dropped: DroppedLines,
}

impl Logging {
    /// Starts logging to standard error for the whole process.
    ///
    /// # Errors
    /// Fails if logging has been set up already.
    pub fn to_stderr(options: LogOptions) -> Result<Logging, SetGlobalDefaultError> {
        let (writer, logging) = non_blocking(std::io::stderr(), MAX_QUEUED_LINES);
        set_global_default(subscriber(options, writer))?;
        Ok(logging)
    }

    /// The counter of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        self.dropped.clone()
    }
}

/// Puts a bounded queue and a thread in front of a writer that may block, and returns a writer that never blocks.
fn non_blocking(writer: impl Write + Send + 'static, max_lines: usize) -> (NonBlocking, Logging) {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(max_lines);
    let (queue, guard) = builder.thread_name("log").finish(writer);
    let dropped = DroppedLines(Some(queue.error_counter()));
    (queue, Logging { _writer: guard, dropped })
}

/// The subscriber that formats the events that `options` select and hands them to `writer`.
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
