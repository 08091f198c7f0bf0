//! Compatibility of stored and sent formats. Fixtures that an earlier program wrote are read with the same meaning, and
//! the same values are written as the same bytes.
//!
//! The fixtures in `tests/fixtures/` change only with the version of a format. `write_fixtures` writes them.

mod disk;
mod feed;
mod fixture;
mod history;
mod messages;
mod snapshot;
mod subscriber;
mod wire;

/// Writes all fixtures. It is run by hand when a format gets a new version.
#[tokio::test]
#[ignore = "writes files"]
async fn write_fixtures() {
    disk::write_fixture().await;
    feed::write_fixture();
    history::write_fixture();
    messages::write_fixture();
    snapshot::write_fixture().await;
    subscriber::write_fixture();
    wire::write_fixture().await;
}
