//! Tests of the text in which an endpoint list is published to the other nodes.

use std::sync::Mutex;

use super::*;

/// A list as an earlier version of the program wrote it.
const RECORDED: &str = include_str!("../../tests/fixtures/learned-list.json");

/// A published list: its version, its text, and the start times of the servers.
type PublishedList = (u64, String, Vec<(String, u64)>);

/// Records the lists that are published.
#[derive(Default)]
struct Recorder(Mutex<Vec<PublishedList>>);

impl ReplicatedState for Recorder {
    fn ready(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
    fn overrides(&self) -> Overrides {
        Overrides::new()
    }
    fn changed(&self) -> bool {
        false
    }
    fn set_override(&self, _: String, _: Override) -> BoxFuture<'_, Result<(), String>> {
        Box::pin(async { Ok(()) })
    }
    fn newer_list(&self) -> Option<EndpointList> {
        None
    }
    fn adopt_list(&self, _: u64) -> Result<(), u64> {
        Ok(())
    }
    fn publish_list(&self, version: u64, text: String, started: Vec<(String, u64)>) {
        self.0.lock().unwrap().push((version, text, started));
    }
    fn config_after(&self, _: u64) -> BoxFuture<'_, u64> {
        Box::pin(std::future::pending())
    }
    fn config_applied(&self, _: u64) {}
}

#[test]
fn a_recorded_list_parses_and_is_published_with_the_same_text() {
    let list: EndpointList = serde_json::from_str(RECORDED).unwrap();
    assert_eq!((list.version, list.full, list.skipped), (43, true, 0));
    let [first, second] = &list.servers[..] else { panic!("two servers") };
    assert_eq!((first.id.as_str(), first.addr), ("s-1", "10.0.0.1:6379".parse().unwrap()));
    assert_eq!((first.zone.as_str(), first.kind.as_str(), first.cell), ("a", "large", 3));
    assert_eq!(
        (first.state, first.weight, first.started_ms),
        (ServerState::Serving, Some(1.5), 1_790_000_000_123.0)
    );
    assert_eq!((second.id.as_str(), second.addr), ("s-2", "[fd00::12]:6379".parse().unwrap()));
    assert_eq!((second.zone.as_str(), second.kind.as_str(), second.cell), ("", "", 0));
    assert_eq!((second.state, second.weight, second.started_ms), (ServerState::Draining, None, 0.0));
    let shared = Arc::new(Recorder::default());
    assert!(SharedEndpoints::new(shared.clone()).apply(&list));
    let written = std::mem::take(&mut *shared.0.lock().unwrap());
    assert_eq!(written, [(43, RECORDED.trim_end().to_owned(), vec![("s-1".to_owned(), 1_790_000_000_123)])]);
}
