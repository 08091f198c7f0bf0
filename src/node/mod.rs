//! The node on real sockets: carries out what the module decides and tells it what happens.

mod attempt;
mod caches;
mod clients;
pub mod config;
mod directory;
mod discovery;
mod driver;
mod handover;
mod metrics;
mod operator;
mod origin;
mod relay;
mod reload;
mod request;
mod resp;
mod seats;
mod state;

use std::fmt;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::task::TaskTracker;

use config::Config;
use driver::{Control, Driver, Terms, Wiring};
use metrics::Metrics;
use operator::Call;
use reload::Follower;
use state::{Order, Orders, StateError, Store};

/// After word to stop, connections that were on their way are still taken for so long, unless a successor has
/// them.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// A new connection's first request may be on its way for so long; it is not closed before.
const FIRST_REQUEST: Duration = Duration::from_millis(500);
/// How often the orders are looked at: a call to one process binds the other well within the grace.
const ORDERS: Duration = Duration::from_millis(100);
/// The driver's answer to an operator's question is waited for so long; the operator waits for a second.
const IN_TIME: Duration = Duration::from_millis(400);
/// Directions that may wait for the driver.
const CONTROLS: usize = 16;
/// What was taken is answered within the longest deadline, of which the platform grants so much ...
const LONGEST_GRANTED: Duration = Duration::from_secs(3);
/// ... and so much more: it grants 0.7 s.
const LAST_WRITES: Duration = Duration::from_millis(600);

/// Serves until SIGTERM, then answers what was taken.
pub async fn run(mut config: Config) -> io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    // Guards against: an end on SIGHUP. From here to the process's end it has no other effect than a reload.
    let reload = signal(SignalKind::hangup())?;
    let listener = handover::listener(config.listen).await.map_err(io::Error::other)?;
    log(format_args!("listening on {}", listener.local_addr()?));
    let (sender, inbox) = mpsc::unbounded_channel();
    let subscribe = Arc::new(Notify::new());
    let asked = config.setup.settings.must_subscribe.then(|| subscribe.clone());
    let watching = discovery::Watch::new(
        asked,
        config.known.version,
        config.setup.settings.nodes,
        config.seed,
        sender.clone(),
    );
    let (new_address, address) = watch::channel(config.discovery);
    let to_servers = Arc::new(AtomicUsize::new(0));
    let (bounds, servers_limit) = (config.client_bounds(to_servers.clone()), config.server_connections());
    let (new_terms, terms) = watch::channel(Terms::of(&config.setup));
    let metrics = Arc::new(Metrics::default());
    terms.borrow().classes.iter().for_each(|class| _ = metrics.class(class));
    let (control, directions) = mpsc::channel(CONTROLS);
    let store = Arc::new(Store::of_node());
    store.changed();
    let orders = store.load().unwrap_or_else(|error| {
        log(format_args!("orders: {error}; none are in force"));
        Orders::new()
    });
    tokio::spawn(follow_orders(store.clone(), control.clone()));
    let operator = config.operator;
    let budget = config.relay_budget();
    let file = std::mem::take(&mut config.file);
    let serving = Arc::new(AtomicBool::new(false));
    let wiring = Wiring {
        budget: budget.clone(),
        metrics: metrics.clone(),
        held: to_servers,
        subscribe,
        to_self: sender.clone(),
        inbox,
        control: directions,
    };
    let driver = Driver::new(config, servers_limit, wiring, orders);
    if let Some(at) = operator {
        let desk =
            Desk { serving: serving.clone(), control: control.clone(), store, metrics: metrics.clone() };
        operator::start(at, desk)?;
    }
    let driver = tokio::spawn(driver.run());
    tokio::spawn(watching.run(address));
    let follower =
        Follower { file, control: control.clone(), metrics: metrics.clone(), new_address, new_terms };
    tokio::spawn(follower.run(reload));

    let closing = clients::Closing::default();
    let sessions = TaskTracker::new();
    let clients = clients::Clients::new(
        sender,
        bounds,
        terms.clone(),
        closing.clone(),
        sessions.clone(),
        metrics,
        budget,
    );
    let accepting = tokio::spawn(clients.accept(listener));
    serving.store(true, Ordering::Relaxed);
    tokio::select! {
        _ = stop.recv() => {}
        ended = driver => return Err(io::Error::other(format!("the driver ended: {ended:?}"))),
    }
    let longest = terms.borrow().longest.min(LONGEST_GRANTED);
    let last = Instant::now() + longest + LAST_WRITES;
    let _ = control.send(Control::Stopping(last - LAST_WRITES / 2)).await; // a driver that is gone takes nothing
    serving.store(false, Ordering::Relaxed);
    if !handover::is_passed() {
        sleep(STILL_ACCEPTING).await;
    }
    accepting.abort();
    let _ = accepting.await; // our descriptor of the listener is closed with it, the listener only if it is the last
    sessions.close();
    closing.used.cancel();
    tokio::select! {
        () = sessions.wait() => return Ok(()),
        () = sleep(FIRST_REQUEST) => closing.silent.cancel(),
    }
    tokio::select! {
        () = sessions.wait() => {}
        () = sleep_until(last) => {}
    }
    Ok(())
}

/// What operators are answered from.
struct Desk {
    /// Whether clients' connections are taken.
    serving: Arc<AtomicBool>,
    control: mpsc::Sender<Control>,
    store: Arc<Store>,
    metrics: Arc<Metrics>,
}

/// Why an order is not carried out.
#[derive(Debug)]
enum OrderError {
    Unknown(String),
    NotKept(StateError),
    Busy,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::Unknown(id) => write!(f, "no server {id}"),
            OrderError::NotKept(error) => write!(f, "cannot keep the order: {error}"),
            OrderError::Busy => write!(f, "the node does not answer"),
        }
    }
}

impl Desk {
    /// Takes a server out of use or puts it back. Once this returns, the order is kept and in force.
    async fn order(&self, id: String, out: bool) -> Result<(), OrderError> {
        let known = self.tell(|answer| Control::Known(id.clone(), answer)).await?;
        if !known {
            return Err(OrderError::Unknown(id));
        }
        let change = |orders: &mut Orders| match orders.get(&id) {
            Some(order) if order.out == out => {} // said before: it stands as it was
            None if !out => {}
            _ => _ = orders.insert(id.clone(), Order { out, since_ms: state::now_ms() }),
        };
        let orders = self.store.change(change).map_err(OrderError::NotKept)?;
        self.tell(|done| Control::Orders(orders, Some(done))).await
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

/// Takes over what other processes of this node were ordered.
async fn follow_orders(store: Arc<Store>, control: mpsc::Sender<Control>) {
    loop {
        sleep(ORDERS).await;
        if store.changed() {
            match store.load() {
                Ok(orders) => _ = control.send(Control::Orders(orders, None)).await, // nobody to tell at the end
                Err(error) => log(format_args!("orders: {error}; those in force stay")),
            }
        }
    }
}

/// A line for the log. Guards against: a panic where nobody reads the log any more.
fn log(line: fmt::Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}
