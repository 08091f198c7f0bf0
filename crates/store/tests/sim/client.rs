//! Clients that write and read at random members.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use stonefold_store::replica::Replica;
use stonefold_store::state::{Change, Proposal, Reply};
use tokio::time::{Instant, sleep};

use super::check::Operation;
use super::net::{Network, SimulatedTransport};
use super::{FAULTS_DURATION, InjectedBug, Records};

/// How long an operation may take.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(2);

/// A client: it carries out one operation after the other.
pub(crate) struct Client {
    id: u64,
    net: Network,
    records: Arc<Mutex<Records>>,
    bug: InjectedBug,
    start: Instant,
    sequence: u64,
}

/// A running member.
struct Member {
    id: u64,
    incarnation: u64,
    replica: Replica<SimulatedTransport>,
}

impl Member {
    /// The revision and the text of a document as this member has applied them; 0 and an empty text if there is none.
    fn latest(&self, name: &str) -> (u64, String) {
        let applied = self.replica.shared().read();
        let latest = applied.state.document(name);
        latest.map_or((0, String::new()), |latest| (latest.revision, latest.text.clone()))
    }
}

impl Client {
    pub(crate) fn new(id: u64, net: Network, records: Arc<Mutex<Records>>, bug: InjectedBug) -> Client {
        Client { id, net, records, bug, start: Instant::now(), sequence: 0 }
    }

    /// Carries out operations for as long as faults are injected.
    pub(crate) async fn run(mut self) {
        self.start = Instant::now();
        while Instant::now() < self.start + FAULTS_DURATION {
            sleep(Duration::from_millis(fastrand::u64(20..300))).await;
            let Some(member) = self.random_member() else { continue };
            let name = format!("d{}", fastrand::u8(..6));
            let deadline = Instant::now() + OPERATION_TIMEOUT;
            let operation = if fastrand::bool() {
                self.read(&member, name, deadline).await
            } else {
                self.write(&member, name, deadline).await
            };
            if let Some(operation) = operation {
                self.records.lock().unwrap().operations.push(operation);
            }
        }
    }

    fn random_member(&self) -> Option<Member> {
        let links = self.net.links();
        let (id, (incarnation, replica)) = fastrand::choice(links.running.iter())?;
        Some(Member { id: *id, incarnation: *incarnation, replica: replica.clone() })
    }

    /// Whether the member's incarnation still runs. Responses that it sends after its end don't arrive.
    fn is_running(&self, member: &Member) -> bool {
        self.net.is_running(member.id, member.incarnation)
    }

    fn elapsed(&self) -> Duration {
        Instant::now().duration_since(self.start)
    }

    async fn read(&self, member: &Member, name: String, deadline: Instant) -> Option<Operation> {
        let started = self.elapsed().as_nanos();
        if self.bug != InjectedBug::UnconfirmedReads && member.replica.confirm(deadline).await.is_err() {
            return None;
        }
        if !self.is_running(member) {
            return None;
        }
        let (revision, text) = member.latest(&name);
        let completed = Some((self.elapsed().as_nanos(), revision));
        Some(Operation { name, started, completed, text, write: false, after: None })
    }

    /// Writes a document, or sometimes a list. Only writes of documents are recorded.
    async fn write(&mut self, member: &Member, name: String, deadline: Instant) -> Option<Operation> {
        let started = self.elapsed().as_nanos();
        self.sequence += 1;
        let text = format!("{}-{}", self.id, self.sequence);
        let after = fastrand::bool().then(|| member.latest(&name).0);
        let is_list = fastrand::u8(..4) == 0;
        let change = if is_list {
            let version = self.elapsed().as_millis() as u64;
            Change::List { version, text: "[]".into(), learned_by: self.id, started: Vec::new() }
        } else {
            let (name, text) = (name.clone(), text.clone());
            Change::Document { name, text, author: String::new(), at_ms: 0, after }
        };
        let proposal = Proposal { client: self.id, sequence: self.sequence, change };
        let completed = match member.replica.propose(proposal, deadline).await {
            _ if is_list => return None,
            Ok(Reply::Applied(revision)) if self.is_running(member) => {
                Some((self.elapsed().as_nanos(), revision))
            }
            Ok(Reply::Rejected(_)) => return None, // every replica rejects it alike, so nothing has changed
            Ok(_) | Err(_) => None,
        };
        Some(Operation { name, started, completed, text, write: true, after })
    }
}
