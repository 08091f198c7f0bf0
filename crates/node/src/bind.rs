//! Binds sockets to addresses that another process may still be using.

use std::io;
use std::time::Duration;

use tokio::time::sleep;

/// The pause after a bind that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Binds a socket, and retries until that succeeds. `log_failure` is called with the first error.
///
/// # Cancel safety
///
/// Cancel safe: a cancelled call leaves no socket bound.
pub(crate) async fn bind_with_retry<S, F>(bind: impl Fn() -> F, log_failure: impl FnOnce(io::Error)) -> S
where
    F: Future<Output = io::Result<S>>,
{
    let mut log_failure = Some(log_failure);
    loop {
        match bind().await {
            Ok(socket) => return socket,
            Err(error) => {
                if let Some(log_failure) = log_failure.take() {
                    log_failure(error);
                }
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}
