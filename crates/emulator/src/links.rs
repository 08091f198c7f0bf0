//! Directed links between processes, for datagrams: each link loses, delays, duplicates or cuts them by a rule of its
//! own, which may change at any time.
//!
//! Each process listens at an address of its own and advertises the address of its proxy socket here. The sender of a
//! datagram that reaches a proxy is identified by its own address. The datagram follows the rule of the link from
//! sender to receiver and is forwarded from the sender's proxy, so that an answer takes the same way back. The
//! processes need no other addresses and need not know of the links.

use std::collections::BinaryHeap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fastrand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use tokio_util::task::AbortOnDropHandle;

/// Maximum size of a forwarded datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Maximum number of datagrams queued on all links together; further ones are dropped and counted.
const MAX_QUEUED: usize = 16_384;

/// What a link does with a datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRule {
    /// Fraction of the datagrams that are lost, 0 to 1.
    pub loss: f64,
    /// Fraction of the datagrams that arrive twice, 0 to 1.
    pub duplicated: f64,
    /// Minimum and maximum delay; it is uniformly distributed between them, so that datagrams overtake each other.
    pub delay: (Duration, Duration),
    /// Whether all datagrams are lost.
    pub cut: bool,
}

impl LinkRule {
    /// Forwards every datagram at once.
    pub const OPEN: LinkRule =
        LinkRule { loss: 0.0, duplicated: 0.0, delay: (Duration::ZERO, Duration::ZERO), cut: false };
    /// Forwards nothing.
    pub const CUT: LinkRule = LinkRule { cut: true, ..LinkRule::OPEN };
}

/// Numbers of datagrams by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Forwarded; duplicates count too.
    pub passed: u64,
    /// Lost or cut by the rule of their link, or not forwarded because of an error.
    pub lost: u64,
    /// Dropped, since too many were queued.
    pub dropped: u64,
    /// From an address that belongs to no process.
    pub unknown: u64,
}

/// The links between all pairs of a set of processes. They end when this is dropped.
pub struct DatagramLinks {
    state: Arc<LinkState>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

struct LinkState {
    processes: Vec<SocketAddr>,
    proxies: Vec<UdpSocket>,
    /// Rules by sender, then receiver.
    rules: Mutex<Vec<Vec<LinkRule>>>,
    rng: Mutex<Rng>,
    queue: Mutex<BinaryHeap<QueuedDatagram>>,
    queue_changed: Notify,
    counts: [AtomicU64; 4],
}

/// A datagram that is queued until `at`. The earliest compares as the greatest, as `BinaryHeap` pops the greatest.
struct QueuedDatagram {
    at: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for QueuedDatagram {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for QueuedDatagram {}
impl PartialOrd for QueuedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedDatagram {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DatagramLinks {
    /// Starts links between processes that listen at these addresses, all with the rule [`LinkRule::OPEN`]. The seed
    /// determines what is lost, duplicated and delayed.
    ///
    /// # Errors
    /// If a proxy can't be bound on loopback.
    pub async fn start(processes: Vec<SocketAddr>, seed: u64) -> io::Result<DatagramLinks> {
        let mut proxies = Vec::with_capacity(processes.len());
        for _ in &processes {
            proxies.push(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        let count = processes.len();
        let state = Arc::new(LinkState {
            processes,
            proxies,
            rules: Mutex::new(vec![vec![LinkRule::OPEN; count]; count]),
            rng: Mutex::new(Rng::with_seed(seed)),
            queue: Mutex::default(),
            queue_changed: Notify::new(),
            counts: Default::default(),
        });
        let receive = |to| AbortOnDropHandle::new(tokio::spawn(receive_datagrams(state.clone(), to)));
        let mut tasks: Vec<_> = (0..count).map(receive).collect();
        tasks.push(AbortOnDropHandle::new(tokio::spawn(forward(state.clone()))));
        Ok(DatagramLinks { state, _tasks: tasks })
    }

    /// Returns the address that a process advertises, by its index in the list.
    ///
    /// # Errors
    /// If the system does not return the address of the proxy's socket.
    pub fn proxy_addr(&self, process: usize) -> io::Result<SocketAddr> {
        self.state.proxies[process].local_addr()
    }

    /// Replaces the rule of one link.
    pub fn set(&self, from: usize, to: usize, rule: LinkRule) {
        lock(&self.state.rules)[from][to] = rule;
    }

    /// Replaces the rules of all links; `rule` is called with sender and receiver.
    pub fn set_all(&self, rule: impl Fn(usize, usize) -> LinkRule) {
        let mut rules = lock(&self.state.rules);
        for (from, row) in rules.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(to, link)| *link = rule(from, to));
        }
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> LinkCounts {
        let [passed, lost, dropped, unknown] =
            [0, 1, 2, 3].map(|n: usize| self.state.counts[n].load(Ordering::Relaxed));
        LinkCounts { passed, lost, dropped, unknown }
    }
}

impl LinkState {
    fn count(&self, n: usize) {
        self.counts[n].fetch_add(1, Ordering::Relaxed);
    }

    /// Applies the rule of its link to a datagram that reached a proxy, and queues the copies that are not lost.
    fn enqueue(&self, sender: SocketAddr, to: usize, bytes: &[u8]) {
        let Some(from) = self.processes.iter().position(|address| *address == sender) else {
            return self.count(3);
        };
        let rule = lock(&self.rules)[from][to];
        let mut rng = lock(&self.rng);
        let copies = 1 + usize::from(rng.f64() < rule.duplicated);
        for _ in 0..copies {
            if rule.cut || rng.f64() < rule.loss {
                self.count(1);
                continue;
            }
            let (least, most) = rule.delay;
            let at = Instant::now() + least + most.saturating_sub(least).mul_f64(rng.f64());
            let mut queue = lock(&self.queue);
            if queue.len() >= MAX_QUEUED {
                self.count(2);
                continue;
            }
            queue.push(QueuedDatagram { at, from, to, bytes: bytes.to_vec() });
        }
        self.queue_changed.notify_one();
    }

    /// Removes and returns the next datagram if it is due; otherwise returns when it will be, if there is one.
    fn next_due(&self) -> Result<QueuedDatagram, Option<Instant>> {
        let mut queue = lock(&self.queue);
        match queue.peek().map(|next| next.at) {
            Some(at) if at <= Instant::now() => queue.pop().ok_or(None),
            at => Err(at),
        }
    }
}

async fn receive_datagrams(state: Arc<LinkState>, to: usize) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An error means that an earlier datagram was forwarded to a process that has ended.
        if let Ok((length, sender)) = state.proxies[to].recv_from(&mut buffer).await {
            state.enqueue(sender, to, &buffer[..length]);
        }
    }
}

async fn forward(state: Arc<LinkState>) {
    loop {
        match state.next_due() {
            Ok(QueuedDatagram { from, to, bytes, .. }) => {
                let sent = state.proxies[from].send_to(&bytes, state.processes[to]).await;
                state.count(if sent.is_ok() { 0 } else { 1 });
            }
            Err(Some(at)) => tokio::select! {
                () = sleep_until(at) => {}
                () = state.queue_changed.notified() => {}
            },
            Err(None) => state.queue_changed.notified().await,
        }
    }
}
