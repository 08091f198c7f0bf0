use super::*;
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use tracing::subscriber::with_default;

/// A writer that blocks until the sender of `released` is dropped, and then passes on what is written.
struct StalledWriter {
    released: Receiver<()>,
    lines: Sender<String>,
}

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.released.recv(); // fails at once after the sender is dropped
        let _ = self.lines.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A queue of at most `max_lines` in front of a stalled writer; the sender that releases the writer when it is dropped;
/// and the written lines.
fn queue_with_stalled_writer(max_lines: usize) -> (NonBlocking, Logging, Sender<()>, Receiver<String>) {
    let ((release, wait), (sender, written)) = (channel(), channel());
    let (writer, logging) = non_blocking(StalledWriter { released: wait, lines: sender }, max_lines);
    (writer, logging, release, written)
}

/// Guards against a log whose stalled reader blocks the code that logs.
#[test]
fn stalled_reader_does_not_block_and_dropped_lines_are_counted() {
    let (writer, logging, release, written) = queue_with_stalled_writer(16);
    with_default(subscriber(LogOptions::default(), writer), || {
        for n in 0..1000 {
            tracing::info!(event = "one_of_many", n, "said"); // would never return if it blocked
        }
    });
    let dropped = logging.dropped();
    let dropped_lines = dropped.lines();
    assert!((900..1000).contains(&dropped_lines), "{dropped_lines} dropped");
    drop(release);
    drop(logging);
    assert_eq!(written.iter().count() as u64 + dropped_lines, 1000, "each line is written or counted");
}

#[test]
fn json_lines_contain_typed_fields_and_levels_apply_by_target() {
    let (writer, logging, release, written) = queue_with_stalled_writer(64);
    let options = LogOptions { levels: "warn,quiet=off,loud=debug".parse().unwrap(), format: Format::Json };
    with_default(subscriber(options, writer), || {
        tracing::warn!(event = "server_disabled", server = "s-1\n\"x\"", n = 7, "out by hand");
        tracing::error!(target: "quiet", event = "never");
        tracing::debug!(target: "loud", event = "details");
        tracing::info!(event = "too_low");
    });
    drop(release);
    drop(logging);
    let lines: Vec<String> = written.iter().collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].contains(r#""event":"server_disabled""#) && lines[0].contains(r#""n":7"#),
        "{}",
        lines[0]
    );
    assert!(lines[0].contains(r#"s-1\n\"x\""#), "{}", lines[0]);
    assert!(lines[0].ends_with("}\n") && lines[0].matches('\n').count() == 1, "an event takes one line");
    assert!(lines[1].contains(r#""event":"details""#), "{}", lines[1]);
}
