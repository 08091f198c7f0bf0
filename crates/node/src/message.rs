//! What the parts of the node tell the driver.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use stonefold_balancer::setup::{Setup, SetupError, Stated};
use stonefold_balancer::{RequestId, ServerId};
use stonefold_proto::list::List;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::orders::Orders;
use crate::presence::Presence;
use crate::relay::Stream;
use crate::request::{Answer, Command};
use crate::upstream::connection::Connection;
use crate::upstream::reply::Reply;

/// What the driver is told.
///
/// The channel has no bound of its own: sessions and attempts, of which there are only so many, each
/// have few messages under way.
pub enum Message {
    Arrived(Arrival),
    Surplus(Surplus),
    Gone(RequestId),
    /// The value of an attempt has begun to come.
    Begun(RequestId, usize, Stream),
    Ended(Ended),
    List(List),
    /// A call for the list failed.
    ListFailed,
}

/// What the settings mean for the parts round the driver.
#[derive(Clone)]
pub struct Terms {
    /// Classes that clients may name.
    pub classes: HashSet<String>,
    /// The longest that a client of any class waits.
    pub longest: Duration,
    /// How the list of servers is followed.
    pub following: Following,
}

/// How the list of servers is followed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Following {
    /// Whether a fleet shares one discovery that is asked; else it pushes lists.
    pub subscribe: bool,
    /// Without a subscription the list is asked for at least this often.
    pub ask_in: Duration,
    pub nodes: usize,
}

impl Terms {
    pub fn of(setup: &Setup) -> Terms {
        let settings = &setup.settings;
        Terms {
            classes: setup.class_names().clone(),
            longest: Duration::from_micros(setup.longest_deadline),
            following: Following {
                subscribe: settings.must_subscribe,
                ask_in: Duration::from_micros(settings.must_ask_in),
                nodes: settings.nodes,
            },
        }
    }
}

/// What the driver is told before all else, whatever waits in its inbox.
pub enum Control {
    /// The process ends at this time: what comes from now on has to be answered by then.
    Stopping(Instant),
    /// Whether there is a server of this name.
    Known(String, oneshot::Sender<bool>),
    /// New settings; the answer tells what follows from them for the other parts.
    Reload(Box<Stated>, oneshot::Sender<Result<Terms, SetupError>>),
    /// The orders for servers, as they are now. The sender is told once they are in force.
    Orders(Orders, Option<oneshot::Sender<()>>),
}

/// A client's request.
pub struct Arrival {
    pub id: RequestId,
    pub command: Command,
    /// When its last byte was read.
    pub at: Instant,
    pub answer: oneshot::Sender<Answer>,
    pub client: Presence,
}

/// A request beyond what one connection may have open. It is refused at once and never begun.
pub struct Surplus {
    /// The class that it names.
    pub class: Option<String>,
    pub answer: oneshot::Sender<Answer>,
}

/// An attempt that has run to its end.
pub struct Ended {
    pub id: RequestId,
    pub attempt: usize,
    pub reply: Reply,
    pub server: ServerId,
    pub addr: SocketAddr,
    pub connection: Option<Connection>,
}
