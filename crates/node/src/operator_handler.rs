//! Answers operators' calls from the state of the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::membership::Membership;
use crate::message::Control;
use crate::metrics::Metrics;
use crate::operator::{self, Call};
use crate::order_store::OrderStore;
use crate::orders::StateError;

/// The driver's answer to an operator's question is waited for so long; the operator waits for a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// What operators are answered from.
pub struct OperatorHandler {
    /// Whether clients' connections are taken.
    pub serving: Arc<AtomicBool>,
    pub control: mpsc::Sender<Control>,
    pub store: Arc<OrderStore>,
    pub metrics: Arc<Metrics>,
    /// Where the membership of nodes is on.
    pub membership: Option<Membership>,
}

/// Why an order is not carried out.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    #[error("no server {0}")]
    Unknown(String),
    #[error("cannot keep the order: {0}")]
    NotKept(StateError),
    #[error("the node does not answer")]
    Busy,
}

impl OperatorHandler {
    /// Takes a server out of use or puts it back. Once this returns, the order is kept and in force.
    async fn order(&self, id: String, out: bool) -> Result<(), OrderError> {
        let known =
            self.ask_driver(|answer| Control::IsKnownServer { name: id.clone(), reply: answer }).await?;
        if !known {
            return Err(OrderError::Unknown(id));
        }
        let orders = self.store.order(id, out).await.map_err(OrderError::NotKept)?;
        self.ask_driver(|done| Control::Orders(orders, Some(done))).await
    }

    async fn members(&self) -> String {
        let Some(membership) = &self.membership else { return "fail membership is off".into() };
        match timeout(ANSWER_TIMEOUT, membership.list()).await.ok().flatten() {
            Some(list) => list + "eof",
            None => "fail the membership does not answer".into(),
        }
    }

    /// Tells the driver something, and waits for its answer as long as an operator may wait for ours.
    async fn ask_driver<T>(
        &self,
        control: impl FnOnce(oneshot::Sender<T>) -> Control,
    ) -> Result<T, OrderError> {
        let (sender, answer) = oneshot::channel();
        let told = async {
            self.control.send(control(sender)).await.ok()?;
            answer.await.ok()
        };
        timeout(ANSWER_TIMEOUT, told).await.ok().flatten().ok_or(OrderError::Busy)
    }
}

impl operator::CallHandler for OperatorHandler {
    async fn answer(&self, call: Call) -> String {
        match call {
            Call::Ready if self.serving.load(Ordering::Relaxed) => "ok".into(),
            Call::Ready => "fail not serving".into(),
            Call::Stats => self.metrics.text() + "eof",
            Call::Members => self.members().await,
            Call::Disable(id) => reply(self.order(id, true).await),
            Call::Enable(id) => reply(self.order(id, false).await),
        }
    }
}

fn reply(done: Result<(), OrderError>) -> String {
    match done {
        Ok(()) => "ok".into(),
        Err(error) => format!("fail {error}"),
    }
}
