//! Membership on a socket: datagrams in and out, timers, and the events of [`stonefold_membership`] in the log.

mod figures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stonefold_membership::{
    Codec, Detector, Event, MAX_DATAGRAM, Member, MemberId, Micros, Output, Profile, Reachability, Settings,
    State,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};
use tracing::{info, warn};

pub use figures::MembershipFigures;

/// Questions that may wait.
const QUESTIONS: usize = 8;
/// After a bind that failed: a predecessor may still have the address.
const BIND_PAUSE: Duration = Duration::from_millis(100);

/// How a node takes part in the membership.
pub struct MembershipConfig {
    /// This node's name, which stays over restarts.
    pub name: String,
    /// Where datagrams are taken.
    pub listen: SocketAddr,
    /// Where others reach that, if it is another address.
    pub advertise: Option<SocketAddr>,
    /// Addresses of members to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Reads and writes the cluster's datagrams.
    pub codec: Codec,
    /// Intervals and bounds.
    pub settings: Settings,
}

/// What the rest of the node asks of the membership.
enum Question {
    /// The members, as text for operators.
    List(oneshot::Sender<String>),
    /// The node ends: say so to others.
    Leave(oneshot::Sender<()>),
}

/// The running membership of this node.
#[derive(Clone)]
pub struct Membership {
    questions: mpsc::Sender<Question>,
    figures: Arc<MembershipFigures>,
}

impl Membership {
    /// Starts to take part. A socket that can't be bound yet is tried again until it can.
    pub fn start(config: MembershipConfig) -> Membership {
        let (questions, asked) = mpsc::channel(QUESTIONS);
        let figures = Arc::new(MembershipFigures::default());
        tokio::spawn(run(config, asked, figures.clone()));
        Membership { questions, figures }
    }

    /// The figures, which are counted on.
    pub fn figures(&self) -> Arc<MembershipFigures> {
        self.figures.clone()
    }

    /// One line for each member, this node first; nothing if the membership does not answer.
    pub async fn list(&self) -> Option<String> {
        let (sender, answer) = oneshot::channel();
        self.questions.send(Question::List(sender)).await.ok()?;
        answer.await.ok()
    }

    /// Says to others that this node ends.
    pub async fn leave(&self) {
        let (sender, done) = oneshot::channel();
        if self.questions.send(Question::Leave(sender)).await.is_ok() {
            let _ = done.await; // it has ended already
        }
    }
}

/// A detector and its socket.
struct Runner {
    detector: Detector,
    codec: Codec,
    socket: UdpSocket,
    started: Instant,
    figures: Arc<MembershipFigures>,
    out: Vec<Output>,
}

async fn run(config: MembershipConfig, mut asked: mpsc::Receiver<Question>, figures: Arc<MembershipFigures>) {
    let socket = bind(config.listen).await;
    let listen = socket.local_addr().unwrap_or(config.listen);
    let address = config.advertise.unwrap_or(listen);
    info!(event = "membership_listening", at = %listen, advertise = %address, name = config.name,
        "other nodes can reach this one");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let profile = Profile { name: config.name, address, instance: fastrand::u64(..) };
    let unix_ms = unix.as_millis() as u64;
    let detector = Detector::new(config.settings, profile, config.seeds, unix_ms, 0, fastrand::u64(..));
    let (started, out) = (Instant::now(), Vec::new());
    let mut runner = Runner { detector, codec: config.codec, socket, started, figures, out };
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let wakeup = runner.started + Duration::from_micros(runner.detector.wakeup());
        tokio::select! {
            biased;
            question = asked.recv() => match question {
                Some(Question::List(answer)) => _ = answer.send(runner.list()), // who asked may have left
                Some(Question::Leave(done)) => {
                    runner.leave();
                    let _ = done.send(()); // nobody waits for it
                    return;
                }
                None => return,
            },
            () = sleep_until(wakeup) => runner.on_timer(),
            received = runner.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => runner.on_datagram(&buffer[..length], from),
                Err(_) => runner.figures.receive_errors.add_one(), // such as an ICMP answer to what was sent
            },
        }
    }
}

async fn bind(at: SocketAddr) -> UdpSocket {
    let mut reported = false;
    loop {
        match UdpSocket::bind(at).await {
            Ok(socket) => return socket,
            Err(error) if !reported => {
                warn!(event = "membership_waits", %at, %error, "cannot listen for other nodes yet");
                reported = true;
            }
            Err(_) => {}
        }
        sleep(BIND_PAUSE).await;
    }
}

impl Runner {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn on_timer(&mut self) {
        let now = self.now();
        self.detector.on_timer(now, &mut self.out);
        self.carry_out();
    }

    fn on_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        self.figures.received(bytes.len());
        match self.codec.decode(bytes) {
            Ok(message) => {
                let now = self.now();
                self.detector.on_message(now, from, message, &mut self.out);
                self.carry_out();
            }
            Err(error) => self.figures.refused(error),
        }
    }

    fn leave(&mut self) {
        let now = self.now();
        self.detector.leave(now, &mut self.out);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut changed = false;
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Send { to, message } => self.send(to, &message),
                Output::Event(event) => {
                    self.log(&event);
                    changed = true;
                }
            }
        }
        if changed {
            self.figures.count(self.detector.members().map(|(_, member)| member));
        }
        self.figures.dropped(self.detector.counters());
    }

    fn send(&self, to: SocketAddr, message: &stonefold_membership::Message) {
        let Some(bytes) = self.codec.encode(message) else {
            return self.figures.send_errors.add_one();
        };
        match self.socket.try_send_to(&bytes, to) {
            Ok(_) => self.figures.sent(bytes.len()),
            Err(_) => self.figures.send_errors.add_one(), // lost, as any datagram may be
        }
    }

    /// A member's name, or its id if it is not known.
    fn name_of(&self, id: MemberId) -> String {
        match self.detector.member(id) {
            Some(member) => member.profile.name.clone(),
            None if id == MemberId::of(&self.detector.local_member().profile.name) => "this node".into(),
            None => id.to_string(),
        }
    }

    fn log(&self, event: &Event) {
        match event {
            Event::Joined { name } => info!(event = "member_joined", member = name, "a node is there"),
            Event::Suspected { name, by } => {
                info!(
                    event = "member_suspected",
                    member = name,
                    by = self.name_of(*by),
                    "a node did not answer"
                );
            }
            Event::Refuted { name } => {
                info!(event = "member_refuted", member = name, "a suspected node lives");
            }
            Event::Failed { name, suspected_by } => {
                let by: Vec<String> = suspected_by.iter().map(|id| self.name_of(*id)).collect();
                warn!(
                    event = "member_failed",
                    member = name,
                    suspected_by = by.join(","),
                    "a node answers nobody, nor the last probe from here"
                );
            }
            Event::Returned { name } => info!(event = "member_returned", member = name, "a node is back"),
            Event::Restarted { name } => {
                info!(event = "member_restarted", member = name, "a node runs in a new process");
            }
            Event::Left { name } => info!(event = "member_left", member = name, "a node has ended"),
            Event::ReachabilityChanged { name, reachability } => {
                warn!(
                    event = "member_reach",
                    member = name,
                    reach = reach_word(*reachability),
                    "whether a node is reached from here has changed"
                );
            }
            Event::Reaped { name } => {
                info!(event = "member_forgotten", member = name, "a node that is gone is no longer listed");
            }
            Event::DeclaredFailed { by } => {
                warn!(
                    event = "declared_failed",
                    by = self.name_of(*by),
                    "others had taken this node for failed; it has refuted that"
                );
            }
            Event::Paused { duration } => {
                warn!(
                    event = "paused",
                    ms = duration / 1_000,
                    "this process was stopped or starved; it blames nobody for that time"
                );
            }
            Event::NameConflict { address } => {
                warn!(event = "name_conflict", name = self.detector.local_member().profile.name, other = %address,
                    "a later process runs under this node's name; this one no longer takes part");
            }
        }
    }

    /// The members, this node first.
    fn list(&self) -> String {
        let now = self.now();
        let mut members: Vec<&Member> = self.detector.members().map(|(_, member)| member).collect();
        members.sort_by(|a, b| a.profile.name.cmp(&b.profile.name));
        let all = std::iter::once(self.detector.local_member()).chain(members);
        all.map(|member| line(member, now)).collect()
    }
}

/// One member, for operators.
fn line(member: &Member, now: Micros) -> String {
    let state = match member.state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Failed => "failed",
        State::Left => "left",
    };
    let Profile { name, address, .. } = &member.profile;
    let since = now.saturating_sub(member.since) as f64 / 1e6;
    let reach = reach_word(member.reachability);
    format!("{name} {state} incarnation={} for_s={since:.1} reach={reach} at={address}\n", member.incarnation)
}

fn reach_word(reach: Reachability) -> &'static str {
    match reach {
        Reachability::Unknown => "untried",
        Reachability::Direct => "direct",
        Reachability::IndirectOnly => "others-only",
    }
}

#[cfg(test)]
mod tests;
