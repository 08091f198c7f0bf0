//! Whether the reply to a request is the next one that its connection writes.

use tokio_util::sync::CancellationToken;

/// Set once the reply to a request is the next one of its connection. Clones share it.
#[derive(Clone, Default)]
pub(crate) struct ReplyTurn(CancellationToken);

impl ReplyTurn {
    /// Marks the reply as the next one.
    pub(crate) fn begin(&self) {
        self.0.cancel();
    }

    /// Waits until the reply is the next one.
    pub(crate) async fn wait(&self) {
        self.0.cancelled().await;
    }
}
