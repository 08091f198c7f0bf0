//! Where the orders for servers are kept: in a file of this machine, or in the state that all nodes keep together.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tracing::error;

use crate::message::{Control, Message};
use crate::orders::{Order, OrderFile, Orders, StateError, now_ms};
use crate::shared::SharedState;
use crate::transient::{TransientError, retry_transient};

/// How often a change is looked for: a call to one process binds the other well within the grace.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where orders are kept.
pub enum OrderStore {
    /// A file of this machine.
    File(OrderFile),
    /// What all nodes keep together.
    Shared(Arc<dyn SharedState>),
}

impl OrderStore {
    /// The orders as they are kept now.
    pub fn load(&self) -> Result<Orders, StateError> {
        match self {
            OrderStore::File(file) => file.load(),
            OrderStore::Shared(shared) => Ok(shared.orders()),
        }
    }

    /// The orders that a process starts with, and whether they are yet to be read: what can't be read now is no word
    /// that there are none.
    pub async fn load_at_start(&self) -> (Orders, bool) {
        match retry_transient(|| self.load()).await {
            Ok(orders) => (orders, false),
            Err(error) => {
                error!(event = "orders_unreadable", %error, "no orders are in force");
                (Orders::new(), error.is_transient())
            }
        }
    }

    /// Whether the orders may have changed since this was last asked.
    pub fn changed(&self) -> bool {
        match self {
            OrderStore::File(file) => file.changed(),
            OrderStore::Shared(shared) => shared.changed(),
        }
    }

    /// Orders a server out of use or back, durably; tells the orders as they are then.
    pub async fn order(&self, id: String, out: bool) -> Result<Orders, StateError> {
        let order = Order { out, since_ms: now_ms() };
        match self {
            OrderStore::File(file) => {
                let change = |orders: &mut Orders| {
                    if changes(orders, &id, out) {
                        orders.insert(id.clone(), order);
                    }
                };
                retry_transient(|| file.change(change)).await
            }
            OrderStore::Shared(shared) => {
                if changes(&shared.orders(), &id, out) {
                    shared.order(id, order).await.map_err(StateError::Shared)?;
                }
                Ok(shared.orders())
            }
        }
    }
}

/// Whether an order says anything new; one that was given before stands as it was.
fn changes(orders: &Orders, id: &str, out: bool) -> bool {
    orders.get(id).map_or(out, |order| order.out != out)
}

/// Passes on what other processes or nodes have changed, until the node ends. `unread` tells that what was there at the
/// start could not be read.
pub async fn follow(
    store: Arc<OrderStore>,
    mut unread: bool,
    control: mpsc::Sender<Control>,
    to: UnboundedSender<Message>,
) {
    loop {
        sleep(POLL_INTERVAL).await;
        if store.changed() || unread {
            if let OrderStore::Shared(shared) = &*store
                && let Some(list) = shared.newer_list()
            {
                let _ = to.send(Message::EndpointList(list)); // nobody to tell at the end
            }
            match store.load() {
                Ok(orders) => {
                    unread = false;
                    let _ = control.send(Control::Orders(orders, None)).await; // nobody to tell at the end
                }
                Err(error) => {
                    error!(event = "orders_unreadable", %error, "those in force stay");
                    unread = error.is_transient();
                }
            }
        }
    }
}
