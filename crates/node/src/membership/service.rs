//! The task that runs the detector: receives and sends its datagrams, and handles its timers and the node's requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stonefold_membership::{Codec, Detector, MAX_DATAGRAM, Message, Micros, Output, Profile};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

use super::{MembershipConfig, listing, logging};
use crate::bind::bind_with_retry;
use crate::metrics::MembershipMetrics;

/// A request of the rest of the node to the membership.
pub(super) enum MembershipRequest {
    /// Lists the members as text for operators.
    List(oneshot::Sender<String>),
    /// Leaves the cluster. Answered once the leave is announced.
    Leave(oneshot::Sender<()>),
}

/// A detector and its socket.
struct Service {
    detector: Detector,
    codec: Codec,
    socket: UdpSocket,
    started: Instant,
    metrics: Arc<MembershipMetrics>,
    outputs: Vec<Output>,
}

/// Takes part in the membership until the node leaves or drops its handle.
pub(super) async fn run(
    config: MembershipConfig,
    mut requests: mpsc::Receiver<MembershipRequest>,
    metrics: Arc<MembershipMetrics>,
) {
    let mut service = Service::start(config, metrics).await;
    // One byte longer than allowed, so that a datagram that is too long is noticed.
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let wakeup = service.started + Duration::from_micros(service.detector.wakeup());
        tokio::select! {
            biased;
            request = requests.recv() => match request {
                Some(MembershipRequest::List(answer)) => _ = answer.send(service.list()), // the receiver may have been dropped
                Some(MembershipRequest::Leave(done)) => {
                    service.leave();
                    let _ = done.send(()); // the receiver may have been dropped
                    return;
                }
                None => return,
            },
            () = sleep_until(wakeup) => service.on_timer(),
            received = service.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => service.on_datagram(&buffer[..length], from),
                Err(_) => service.metrics.receive_errors.increment(), // such as an ICMP answer to a sent datagram
            },
        }
    }
}

impl Service {
    async fn start(config: MembershipConfig, metrics: Arc<MembershipMetrics>) -> Service {
        let at = config.listen;
        let log_failure = |error| {
            warn!(event = "membership_bind_failed", %at, %error, "cannot receive datagrams of other nodes yet");
        };
        let socket = bind_with_retry(|| UdpSocket::bind(at), log_failure).await;
        let listen = socket.local_addr().unwrap_or(at);
        let address = config.advertise.unwrap_or(listen);
        info!(event = "membership_listening", at = %listen, advertise = %address, name = config.name,
            "other nodes can reach this one");
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_ms = unix_time.as_millis() as u64;
        let profile = Profile { name: config.name, address, instance: fastrand::u64(..) };
        let seed = fastrand::u64(..);
        let detector = Detector::new(config.settings, profile, config.seeds, unix_ms, 0, seed);
        Service {
            detector,
            codec: config.codec,
            socket,
            started: Instant::now(),
            metrics,
            outputs: Vec::new(),
        }
    }

    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn on_timer(&mut self) {
        let now = self.now();
        self.detector.on_timer(now, &mut self.outputs);
        self.perform_outputs();
    }

    fn on_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        self.metrics.record_received(bytes.len());
        match self.codec.decode(bytes) {
            Ok(message) => {
                let now = self.now();
                self.detector.on_message(now, from, message, &mut self.outputs);
                self.perform_outputs();
            }
            Err(error) => self.metrics.record_rejected(error),
        }
    }

    fn leave(&mut self) {
        let now = self.now();
        self.detector.leave(now, &mut self.outputs);
        self.perform_outputs();
    }

    /// Sends the messages and logs the events that the detector has put out.
    fn perform_outputs(&mut self) {
        let mut changed = false;
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, message } => self.send(to, &message),
                Output::Event(event) => {
                    logging::log_event(&self.detector, &event);
                    changed = true;
                }
            }
        }
        if changed {
            self.metrics.set_members(self.detector.members().map(|(_, member)| member));
        }
        self.metrics.set_dropped(self.detector.counters());
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(bytes) = self.codec.encode(message) else {
            return self.metrics.send_errors.increment();
        };
        match self.socket.try_send_to(&bytes, to) {
            Ok(_) => self.metrics.record_sent(bytes.len()),
            Err(_) => self.metrics.send_errors.increment(), // lost, as any datagram may be
        }
    }

    fn list(&self) -> String {
        listing::list(&self.detector, self.now())
    }
}
