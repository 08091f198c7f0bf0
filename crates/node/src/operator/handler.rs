//! Answers operators' commands from the state of the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::{CommandHandler, OperatorCommand};
use crate::membership::Membership;
use crate::message::Control;
use crate::metrics::Metrics;
use crate::overrides::{OverrideError, OverrideStore};

/// How long the driver or the membership may take to answer. An operator waits for 1 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Answers the commands for one node.
pub(crate) struct NodeHandler {
    /// Whether the node serves requests. False from the start of a shutdown, although open requests are still answered.
    pub(crate) serving: Arc<AtomicBool>,
    /// The driver's control channel.
    pub(crate) control: mpsc::Sender<Control>,
    /// Where overrides are stored.
    pub(crate) override_store: Arc<OverrideStore>,
    /// The node's metrics.
    pub(crate) metrics: Arc<Metrics>,
    /// The membership, where it is enabled.
    pub(crate) membership: Option<Membership>,
}

/// Why a server can't be disabled or enabled. The texts are part of the answer.
#[derive(Debug, thiserror::Error)]
enum HandlerError {
    #[error("no server {0}")]
    UnknownServer(String),
    #[error("cannot keep the order: {0}")]
    NotStored(OverrideError),
    #[error("the node does not answer")]
    Timeout,
}

impl NodeHandler {
    /// Disables or enables a server. Once this returns, the override is stored and in force.
    async fn set_override(&self, server: String, disabled: bool) -> Result<(), HandlerError> {
        let known = self.request(|reply| Control::IsKnownServer { name: server.clone(), reply }).await?;
        if !known {
            return Err(HandlerError::UnknownServer(server));
        }
        let overrides = self.override_store.set(server, disabled).await.map_err(HandlerError::NotStored)?;
        self.request(|applied| Control::Overrides { overrides, applied: Some(applied) }).await
    }

    async fn members(&self) -> String {
        let Some(membership) = &self.membership else { return "fail membership is off".into() };
        match timeout(ANSWER_TIMEOUT, membership.list()).await.ok().flatten() {
            Some(list) => list + "eof",
            None => "fail the membership does not answer".into(),
        }
    }

    /// Sends the driver a request, and waits for its answer within [`ANSWER_TIMEOUT`].
    async fn request<T>(
        &self,
        control: impl FnOnce(oneshot::Sender<T>) -> Control,
    ) -> Result<T, HandlerError> {
        let (sender, answer) = oneshot::channel();
        let answered = async {
            self.control.send(control(sender)).await.ok()?;
            answer.await.ok()
        };
        timeout(ANSWER_TIMEOUT, answered).await.ok().flatten().ok_or(HandlerError::Timeout)
    }
}

impl CommandHandler for NodeHandler {
    async fn answer(&self, command: OperatorCommand) -> String {
        match command {
            OperatorCommand::Ready if self.serving.load(Ordering::Relaxed) => "ok".into(),
            OperatorCommand::Ready => "fail not serving".into(),
            OperatorCommand::Stats => self.metrics.text() + "eof",
            OperatorCommand::Members => self.members().await,
            OperatorCommand::Disable(server) => reply(self.set_override(server, true).await),
            OperatorCommand::Enable(server) => reply(self.set_override(server, false).await),
        }
    }
}

fn reply(result: Result<(), HandlerError>) -> String {
    match result {
        Ok(()) => "ok".into(),
        Err(error) => format!("fail {error}"),
    }
}
