//! Structured logs of the program, which never hold up what they tell of.
//!
//! Events are made with `tracing`: each has a stable name in its field `event`, and typed fields for what varies.
//! They go through a bounded queue to a thread of its own, which alone writes. Where nobody reads, the queue
//! fills, and what finds no room is dropped and counted in [`Dropped`].
#![warn(missing_docs)]

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

/// Lines that may wait to be written; at some 200 bytes each a fraction of a MiB.
const QUEUE_LINES: usize = 2048;

/// What is logged, and how.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Which events, by their targets.
    pub levels: Levels,
    /// As text or as JSON.
    pub format: Format,
}

/// How many lines found no room, since the start.
#[derive(Clone, Debug, Default)]
pub struct Dropped(Option<ErrorCounter>);

impl Dropped {
    /// The count so far.
    pub fn lines(&self) -> u64 {
        self.0.as_ref().map_or(0, |counter| counter.dropped_lines() as u64)
    }
}

/// Keeps the writing thread at work; when dropped, it waits a moment for what is still queued.
#[must_use = "lines are written only while this is held"]
pub struct Logging {
    _writer: WorkerGuard,
    dropped: Dropped,
}

impl Logging {
    /// Logs to standard error from now on, for the whole process.
    ///
    /// # Errors
    /// If the process logs already.
    pub fn to_stderr(options: Options) -> Result<Logging, SetGlobalDefaultError> {
        let (writer, logging) = queue(std::io::stderr(), QUEUE_LINES);
        set_global_default(subscriber(options, writer))?;
        Ok(logging)
    }

    /// The count of lines that found no room.
    pub fn dropped(&self) -> Dropped {
        self.dropped.clone()
    }
}

/// A writer that never blocks, before one that may.
fn queue(to: impl Write + Send + 'static, lines: usize) -> (NonBlocking, Logging) {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(lines);
    let (writer, guard) = builder.thread_name("log").finish(to);
    let dropped = Dropped(Some(writer.error_counter()));
    (writer, Logging { _writer: guard, dropped })
}

fn subscriber(options: Options, writer: NonBlocking) -> impl tracing::Subscriber + Send + Sync {
    let layer = fmt::layer().with_writer(writer).with_timer(UtcTime::rfc_3339()).with_ansi(false);
    let layer = match options.format {
        Format::Text => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).with_span_list(false).boxed(),
    };
    Registry::default().with(layer.with_filter(options.levels.into_targets()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;
    use std::sync::mpsc::{Receiver, Sender, channel};
    use tracing::subscriber::with_default;

    /// A reader that takes nothing until it is told to, and passes on what it then reads.
    struct Stalled {
        go: Receiver<()>,
        lines: Sender<String>,
    }

    impl Write for Stalled {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            let _ = self.go.recv(); // its sender is dropped to let all through
            let _ = self.lines.send(String::from_utf8_lossy(bytes).into_owned());
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    fn stalled(lines: usize) -> (NonBlocking, Logging, Sender<()>, Receiver<String>) {
        let ((go, wait), (to, read)) = (channel(), channel());
        let (writer, logging) = queue(Stalled { go: wait, lines: to }, lines);
        (writer, logging, go, read)
    }

    #[test]
    fn a_reader_that_stalls_costs_lines_that_are_counted_and_no_time() {
        let (writer, logging, go, read) = stalled(16);
        with_default(subscriber(Options::default(), writer), || {
            for n in 0..1000 {
                tracing::info!(event = "one_of_many", n, "said"); // would never return if it waited
            }
        });
        let dropped = logging.dropped();
        let lost = dropped.lines();
        assert!((900..1000).contains(&lost), "{lost} dropped");
        drop(go);
        drop(logging);
        assert_eq!(read.iter().count() as u64 + lost, 1000, "each line is written or counted");
    }

    #[test]
    fn json_lines_carry_names_and_types_and_levels_go_by_target() {
        let (writer, logging, go, read) = stalled(64);
        let options = Options { levels: "warn,quiet=off,loud=debug".parse().unwrap(), format: Format::Json };
        with_default(subscriber(options, writer), || {
            tracing::warn!(event = "server_out", server = "s-1\n\"x\"", n = 7, "out by hand");
            tracing::error!(target: "quiet", event = "never");
            tracing::debug!(target: "loud", event = "details");
            tracing::info!(event = "too_low");
        });
        drop(go);
        drop(logging);
        let lines: Vec<String> = read.iter().collect();
        assert_eq!(lines.len(), 2, "{lines:?}");
        assert!(
            lines[0].contains(r#""event":"server_out""#) && lines[0].contains(r#""n":7"#),
            "{}",
            lines[0]
        );
        assert!(lines[0].contains(r#"s-1\n\"x\""#), "{}", lines[0]);
        assert!(lines[0].ends_with("}\n") && lines[0].matches('\n').count() == 1, "one line an event");
        assert!(lines[1].contains(r#""event":"details""#), "{}", lines[1]);
    }
}
