//! The messages of the simulator's protocol, with its names mapped to the terms of this project.
//!
//! Times are in milliseconds.

use std::borrow::Cow;
use std::collections::BTreeMap;

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use stonefold_balancer::settings_document::SettingsDocument;

/// A line of input: the start or end of a batch, or an event of an instance.
#[derive(Deserialize)]
pub(crate) enum Input<'a> {
    #[serde(rename = "ROUND")]
    BatchStart(BatchStart),
    #[serde(rename = "FLUSH")]
    BatchEnd(IgnoredAny),
    #[serde(rename = "CONFIGURE")]
    InstanceStarted(Box<InstanceStarted>),
    #[serde(rename = "EXIT")]
    InstanceKilled(InstanceKilled),
    #[serde(rename = "ENDPOINTS", borrow)]
    EndpointList(EndpointList<'a>),
    #[serde(rename = "NEW_REQUEST")]
    RequestReceived(RequestReceived<'a>),
    #[serde(rename = "FIRST_BYTE")]
    ResponseStarted(ResponseStarted),
    #[serde(rename = "FINISHED")]
    AttemptEnded(AttemptEnded<'a>),
    #[serde(rename = "CLIENT_GONE")]
    ClientDisconnected(ClientDisconnected),
    #[serde(rename = "TIMER")]
    TimerExpired(TimerExpired<'a>),
    /// The result of a health check, which this adapter never asks for.
    #[serde(rename = "CHECKED")]
    HealthChecked(IgnoredAny),
    /// A message from another instance. It is ignored: instances send each other no messages.
    #[serde(rename = "FROM_PEER")]
    Gossip(IgnoredAny),
}

/// The names of all messages.
const MESSAGE_NAMES: [&str; 12] = [
    "ROUND",
    "FLUSH",
    "CONFIGURE",
    "EXIT",
    "ENDPOINTS",
    "NEW_REQUEST",
    "FIRST_BYTE",
    "FINISHED",
    "CLIENT_GONE",
    "TIMER",
    "CHECKED",
    "FROM_PEER",
];

/// The name of a well-formed message that is not in [`Input`].
pub(crate) fn unknown_name(line: &str) -> Option<String> {
    let message: BTreeMap<String, IgnoredAny> = serde_json::from_str(line).ok()?;
    let (name, _) = message.into_iter().next()?;
    (!MESSAGE_NAMES.contains(&name.as_str())).then_some(name)
}

/// The start of a batch, all events of which happen at one time.
#[derive(Deserialize)]
pub(crate) struct BatchStart {
    #[serde(rename = "AtTime")]
    pub(crate) time: f64,
    #[serde(rename = "n")]
    pub(crate) number: u64,
}

/// An instance starts without state of an earlier run.
#[derive(Deserialize)]
pub(crate) struct InstanceStarted {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
    #[serde(rename = "Nonce64")]
    pub(crate) seed: u64,
    #[serde(rename = "Setup")]
    pub(crate) settings: SettingsDocument,
}

/// An instance was killed.
#[derive(Deserialize)]
pub(crate) struct InstanceKilled {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
}

/// An answer of discovery.
#[derive(Deserialize)]
pub(crate) struct EndpointList<'a> {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
    #[serde(rename = "Scope", borrow)]
    pub(crate) scope: Cow<'a, str>,
    #[serde(rename = "Members", borrow, default)]
    pub(crate) endpoints: Vec<ListedEndpoint<'a>>,
}

/// A server in the endpoint list.
#[derive(Deserialize)]
pub(crate) struct ListedEndpoint<'a> {
    #[serde(rename = "Server")]
    pub(crate) server: u32,
    #[serde(rename = "Lifecycle", borrow)]
    pub(crate) state: Cow<'a, str>,
    #[serde(rename = "Area", borrow, default)]
    pub(crate) zone: Cow<'a, str>,
    #[serde(rename = "Group", default)]
    pub(crate) cell: u32,
    #[serde(rename = "Weight", default)]
    pub(crate) weight: Option<f64>,
    #[serde(rename = "StartTime", default)]
    pub(crate) started: Option<f64>,
    #[serde(rename = "Type", borrow, default)]
    pub(crate) machine_type: Cow<'a, str>,
}

/// A client's request.
#[derive(Deserialize)]
pub(crate) struct RequestReceived<'a> {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
    #[serde(rename = "Rid")]
    pub(crate) request: u32,
    #[serde(rename = "Lane", borrow, default)]
    pub(crate) class: Cow<'a, str>,
    #[serde(rename = "UserGroup", default)]
    pub(crate) tenant: Option<NameOrNumber>,
    #[serde(rename = "NameKey", default)]
    pub(crate) key: Option<String>,
    /// The time until the client's deadline.
    #[serde(rename = "Budget")]
    pub(crate) timeout: f64,
    #[serde(rename = "Write", default)]
    pub(crate) write: Option<bool>,
}

/// The name of a tenant. The simulator sends a number, whose value is ignored, for a request without a tenant.
#[derive(Deserialize)]
#[serde(untagged)]
pub(crate) enum NameOrNumber {
    Name(String),
    Number(IgnoredAny),
}

/// The value of an attempt has started to arrive.
#[derive(Deserialize)]
pub(crate) struct ResponseStarted {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
    #[serde(rename = "Rid")]
    pub(crate) request: u32,
    #[serde(rename = "Leg")]
    pub(crate) attempt: usize,
}

/// An attempt has ended.
#[derive(Deserialize)]
pub(crate) struct AttemptEnded<'a> {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
    #[serde(rename = "Rid")]
    pub(crate) request: u32,
    #[serde(rename = "Leg")]
    pub(crate) attempt: usize,
    #[serde(rename = "Code", borrow)]
    pub(crate) outcome: Cow<'a, str>,
    #[serde(rename = "Duration")]
    pub(crate) elapsed: f64,
    /// Whether the request has its final answer, through this attempt or an earlier one.
    #[serde(rename = "Settled", default)]
    pub(crate) settled: Option<bool>,
    /// 1 for a cache hit, larger for a miss, 0 if the server did not say.
    #[serde(rename = "Detail", default)]
    pub(crate) cache_status: Option<u32>,
    #[serde(rename = "Pressure", default)]
    pub(crate) load: Option<LoadReport>,
}

/// A server's report of its load.
#[derive(Deserialize)]
pub(crate) struct LoadReport {
    pub(crate) utilization: Option<f64>,
}

/// The client of a request has disconnected.
#[derive(Deserialize)]
pub(crate) struct ClientDisconnected {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
    #[serde(rename = "Rid")]
    pub(crate) request: u32,
}

/// A timer has expired.
#[derive(Deserialize)]
pub(crate) struct TimerExpired<'a> {
    #[serde(rename = "I")]
    pub(crate) instance: u64,
    #[serde(rename = "Ref", borrow)]
    pub(crate) token: Cow<'a, str>,
}

/// A line of output: an action of an instance, or the end of a batch.
#[derive(Serialize)]
pub(crate) enum Output {
    #[serde(rename = "PLACE")]
    StartAttempt {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Rid")]
        request: u32,
        #[serde(rename = "Server")]
        server: u32,
        #[serde(rename = "Within")]
        timeout: f64,
    },
    #[serde(rename = "ABORT_ATTEMPT")]
    CancelAttempt {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Rid")]
        request: u32,
        #[serde(rename = "Leg")]
        attempt: usize,
    },
    #[serde(rename = "REJECT")]
    Reject {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Rid")]
        request: u32,
        #[serde(rename = "StayAway")]
        retry_after: f64,
    },
    #[serde(rename = "END_FAILED")]
    Fail {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Rid")]
        request: u32,
    },
    #[serde(rename = "NOTIFY_ME")]
    SetTimer {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "In")]
        after: f64,
        #[serde(rename = "Ref")]
        token: String,
    },
    #[serde(rename = "SUBSCRIBE")]
    WatchEndpoints {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Active")]
        active: bool,
    },
    /// The balancer of an instance has panicked.
    #[serde(rename = "BROKEN")]
    Panicked {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Words")]
        message: String,
    },
    #[serde(rename = "LET_GO")]
    CloseIdleConnections {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "Server")]
        server: u32,
    },
    #[serde(rename = "EOR")]
    BatchEnd {
        #[serde(rename = "n")]
        number: u64,
    },
}
