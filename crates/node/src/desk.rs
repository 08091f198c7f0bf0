//! Answers operators' calls, and keeps their orders in force.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::error;

use crate::membership::Membership;
use crate::message::{Control, Message};
use crate::metrics::Metrics;
use crate::operator::{self, Call};
use crate::orders::{Kept, StateError};

/// How often the orders are looked at: a call to one process binds the other well within the grace.
const ORDERS: Duration = Duration::from_millis(100);
/// The driver's answer to an operator's question is waited for so long; the operator waits for a second.
const IN_TIME: Duration = Duration::from_millis(400);

/// What operators are answered from.
pub struct Desk {
    /// Whether clients' connections are taken.
    pub serving: Arc<AtomicBool>,
    pub control: mpsc::Sender<Control>,
    pub store: Arc<Kept>,
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

impl Desk {
    /// Takes a server out of use or puts it back. Once this returns, the order is kept and in force.
    async fn order(&self, id: String, out: bool) -> Result<(), OrderError> {
        let known = self.tell(|answer| Control::Known(id.clone(), answer)).await?;
        if !known {
            return Err(OrderError::Unknown(id));
        }
        let orders = self.store.order(id, out).await.map_err(OrderError::NotKept)?;
        self.tell(|done| Control::Orders(orders, Some(done))).await
    }

    async fn members(&self) -> String {
        let Some(membership) = &self.membership else { return "fail membership is off".into() };
        match timeout(IN_TIME, membership.list()).await.ok().flatten() {
            Some(list) => list + "eof",
            None => "fail the membership does not answer".into(),
        }
    }

    /// Tells the driver something, and waits for its answer as long as an operator may wait for ours.
    async fn tell<T>(&self, control: impl FnOnce(oneshot::Sender<T>) -> Control) -> Result<T, OrderError> {
        let (sender, answer) = oneshot::channel();
        let told = async {
            self.control.send(control(sender)).await.ok()?;
            answer.await.ok()
        };
        timeout(IN_TIME, told).await.ok().flatten().ok_or(OrderError::Busy)
    }
}

impl operator::Desk for Desk {
    async fn answer(&self, call: Call) -> String {
        match call {
            Call::Ready if self.serving.load(Ordering::Relaxed) => "ok".into(),
            Call::Ready => "fail not serving".into(),
            Call::Stats => self.metrics.text() + "eof",
            Call::Members => self.members().await,
            Call::Disable(id) => said(self.order(id, true).await),
            Call::Enable(id) => said(self.order(id, false).await),
        }
    }
}

fn said(done: Result<(), OrderError>) -> String {
    match done {
        Ok(()) => "ok".into(),
        Err(error) => format!("fail {error}"),
    }
}

/// Takes over what others were ordered or have learned.
pub async fn follow_kept(store: Arc<Kept>, control: mpsc::Sender<Control>, to: UnboundedSender<Message>) {
    loop {
        sleep(ORDERS).await;
        if store.changed() {
            if let Kept::Shared(shared) = &*store
                && let Some(list) = shared.newer_list()
            {
                let _ = to.send(Message::List(list)); // nobody to tell at the end
            }
            match store.load() {
                Ok(orders) => _ = control.send(Control::Orders(orders, None)).await, // nobody to tell at the end
                Err(error) => error!(event = "orders_unreadable", %error, "those in force stay"),
            }
        }
    }
}
