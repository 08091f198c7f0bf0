//! Directed links between processes, for datagrams: each loses, delays, doubles and cuts by its own rule, which may
//! change while they run.
//!
//! Each process listens at an address of its own and advertises the address of its *front* here. What reaches a front
//! is known by the sender's own address, follows the rule of the link from sender to receiver, and is passed on from
//! the sender's front, so that an answer goes the same way back. No other addresses are needed, and none of the
//! processes need to know of the links.

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

/// The longest datagram that is passed on, in bytes.
const LONGEST: usize = 2_048;
/// Datagrams that wait for their time on all links together; others are dropped and counted.
const WAITING: usize = 16_384;

/// What a link does with a datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRule {
    /// The part that is lost, 0 to 1.
    pub loss: f64,
    /// The part that arrives twice, 0 to 1.
    pub duplicated: f64,
    /// The least delay, and the most; within them it is even, so that datagrams overtake each other.
    pub delay: (Duration, Duration),
    /// Whether nothing passes.
    pub cut: bool,
}

impl LinkRule {
    /// Passes all on at once.
    pub const OPEN: LinkRule =
        LinkRule { loss: 0.0, duplicated: 0.0, delay: (Duration::ZERO, Duration::ZERO), cut: false };
    /// Passes nothing on.
    pub const CUT: LinkRule = LinkRule { cut: true, ..LinkRule::OPEN };
}

/// What has become of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Passed on, duplicated ones twice.
    pub passed: u64,
    /// Lost or cut by their rule.
    pub lost: u64,
    /// Dropped, since too many waited.
    pub dropped: u64,
    /// From an address that is no process's.
    pub unknown: u64,
}

/// Links between all pairs of some processes. They end when this is dropped.
pub struct DatagramLinks {
    shared: Arc<Shared>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

struct Shared {
    processes: Vec<SocketAddr>,
    proxies: Vec<UdpSocket>,
    /// By sender, then receiver.
    rules: Mutex<Vec<Vec<LinkRule>>>,
    rng: Mutex<Rng>,
    waiting: Mutex<BinaryHeap<Waiting>>,
    sooner: Notify,
    counts: [AtomicU64; 4],
}

/// A datagram that waits for its time; the earliest is the greatest.
struct Waiting {
    at: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for Waiting {}
impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DatagramLinks {
    /// Open links between processes that listen at these addresses. The seed decides what is lost, duplicated and
    /// delayed.
    ///
    /// # Errors
    /// If a front can't be bound on loopback.
    pub async fn start(processes: Vec<SocketAddr>, seed: u64) -> io::Result<DatagramLinks> {
        let mut proxies = Vec::with_capacity(processes.len());
        for _ in &processes {
            proxies.push(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        }
        let count = processes.len();
        let shared = Arc::new(Shared {
            processes,
            proxies,
            rules: Mutex::new(vec![vec![LinkRule::OPEN; count]; count]),
            rng: Mutex::new(Rng::with_seed(seed)),
            waiting: Mutex::default(),
            sooner: Notify::new(),
            counts: Default::default(),
        });
        let receive = |to| AbortOnDropHandle::new(tokio::spawn(receive(shared.clone(), to)));
        let mut tasks: Vec<_> = (0..count).map(receive).collect();
        tasks.push(AbortOnDropHandle::new(tokio::spawn(pass_on(shared.clone()))));
        Ok(DatagramLinks { shared, _tasks: tasks })
    }

    /// The address that a process advertises, by its place in the list.
    ///
    /// # Errors
    /// If the system does not tell.
    pub fn proxy_addr(&self, process: usize) -> io::Result<SocketAddr> {
        self.shared.proxies[process].local_addr()
    }

    /// Gives a link another rule, from now on.
    pub fn set(&self, from: usize, to: usize, rule: LinkRule) {
        lock(&self.shared.rules)[from][to] = rule;
    }

    /// Gives each link the rule that it should have, from now on.
    pub fn set_all(&self, rule: impl Fn(usize, usize) -> LinkRule) {
        let mut rules = lock(&self.shared.rules);
        for (from, row) in rules.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(to, link)| *link = rule(from, to));
        }
    }

    /// What has become of datagrams so far.
    pub fn counts(&self) -> LinkCounts {
        let [passed, lost, dropped, unknown] =
            [0, 1, 2, 3].map(|n: usize| self.shared.counts[n].load(Ordering::Relaxed));
        LinkCounts { passed, lost, dropped, unknown }
    }
}

impl Shared {
    fn count(&self, n: usize) {
        self.counts[n].fetch_add(1, Ordering::Relaxed);
    }

    /// Takes a datagram to a front.
    fn take(&self, sender: SocketAddr, to: usize, bytes: &[u8]) {
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
            let mut waiting = lock(&self.waiting);
            if waiting.len() >= WAITING {
                self.count(2);
                continue;
            }
            waiting.push(Waiting { at, from, to, bytes: bytes.to_vec() });
        }
        self.sooner.notify_one();
    }

    /// The next datagram whose time has come, or when that is.
    fn next(&self) -> Result<Waiting, Option<Instant>> {
        let mut waiting = lock(&self.waiting);
        match waiting.peek().map(|next| next.at) {
            Some(at) if at <= Instant::now() => waiting.pop().ok_or(None),
            at => Err(at),
        }
    }
}

async fn receive(shared: Arc<Shared>, to: usize) {
    let mut buffer = [0; LONGEST];
    loop {
        // An error is the answer to what was passed on to a process that has ended.
        if let Ok((length, sender)) = shared.proxies[to].recv_from(&mut buffer).await {
            shared.take(sender, to, &buffer[..length]);
        }
    }
}

async fn pass_on(shared: Arc<Shared>) {
    loop {
        match shared.next() {
            Ok(Waiting { from, to, bytes, .. }) => {
                let passed = shared.proxies[from].send_to(&bytes, shared.processes[to]).await;
                shared.count(if passed.is_ok() { 0 } else { 1 });
            }
            Err(Some(at)) => tokio::select! {
                () = sleep_until(at) => {}
                () = shared.sooner.notified() => {}
            },
            Err(None) => shared.sooner.notified().await,
        }
    }
}
