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
    with_default(subscriber(LogOptions::default(), writer), || {
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
    let options = LogOptions { levels: "warn,quiet=off,loud=debug".parse().unwrap(), format: Format::Json };
    with_default(subscriber(options, writer), || {
        tracing::warn!(event = "server_disabled", server = "s-1\n\"x\"", n = 7, "out by hand");
        tracing::error!(target: "quiet", event = "never");
        tracing::debug!(target: "loud", event = "details");
        tracing::info!(event = "too_low");
    });
    drop(go);
    drop(logging);
    let lines: Vec<String> = read.iter().collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].contains(r#""event":"server_disabled""#) && lines[0].contains(r#""n":7"#),
        "{}",
        lines[0]
    );
    assert!(lines[0].contains(r#"s-1\n\"x\""#), "{}", lines[0]);
    assert!(lines[0].ends_with("}\n") && lines[0].matches('\n').count() == 1, "one line an event");
    assert!(lines[1].contains(r#""event":"details""#), "{}", lines[1]);
}
