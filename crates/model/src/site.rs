//! A site: everything that stands round the nodes, and what goes wrong with it. Each field has its unit and range.

use serde::{Deserialize, Serialize};
use stonefold_config::{
    Check, CheckError, Count, DeduplicationScope, DurationMicros, Fraction, Idempotency, Positive, Size,
};

const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;
const MIB: u64 = 1 << 20;

/// A time of up to an hour.
pub type Time = DurationMicros<0, HOUR>;
/// A number from 0 on that spreads a distribution.
pub type Sigma = Fraction;

/// A site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Seeds every random choice.
    #[serde(default)]
    pub seed: Count<0, { u32::MAX as u64 }>,
    /// Nodes that stand before the servers.
    #[serde(default = "nodes")]
    pub nodes: Count<1, 4096>,
    /// Requests a second, from all clients together.
    pub rate: Positive,
    /// Zones, and the ways between them.
    #[serde(default)]
    pub network: NetworkKind,
    /// Cache servers, in groups that are alike.
    #[serde(rename = "cache")]
    pub caches: Vec<CacheKind>,
    /// The origin.
    #[serde(default)]
    pub origin: OriginKind,
    /// Discovery.
    #[serde(default)]
    pub discovery: DiscoveryKind,
    /// What is asked for.
    #[serde(default)]
    pub keys: Keys,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassKind>,
    /// Tenants and what they send.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<TenantKind>,
    /// How clients come again after a refusal.
    #[serde(default)]
    pub retry: RetryKind,
    /// What a node must keep to.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong, and when.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

fn nodes() -> Count<1, 4096> {
    Count::new(4)
}

/// Zones, and the ways between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkKind {
    /// The zones; servers and nodes are dealt over them in turn.
    pub zones: Vec<String>,
    /// One way within a zone.
    pub same_zone: DurationMicros<0, SECOND>,
    /// One way between zones: drawn for each pair from this range.
    pub cross_zone: [DurationMicros<0, SECOND>; 2],
    /// The mean of what a message takes longer, as a part of its way.
    pub jitter: Fraction,
}

impl Default for NetworkKind {
    fn default() -> Self {
        NetworkKind {
            zones: vec!["a".into()],
            same_zone: DurationMicros::new(0),
            cross_zone: [DurationMicros::new(0); 2],
            jitter: Fraction::new(0.0),
        }
    }
}

/// Cache servers that are alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheKind {
    /// The name of the kind.
    pub kind: String,
    /// How many there are.
    pub count: Count<1, 100_000>,
    /// Cores.
    pub cores: Count<1, 1024>,
    /// Speed of a core, 1 being standard.
    pub speed: Positive,
    /// How the speeds of single servers are spread: the deviation of their logarithm.
    pub speed_spread: Sigma,
    /// Requests in service at once.
    pub slots: Count<1, 100_000>,
    /// Requests that may wait; others are turned away.
    pub queue: Count<0, 1_000_000>,
    /// Memory for objects.
    pub memory: Size<0, { 1 << 50 }>,
    /// An object is kept no longer.
    pub keeps_for: Time,
    /// The mean time between pauses; 0s for none.
    pub pause_every: Time,
    /// The mean length of a pause.
    pub pause: Time,
    /// The part of requests that end in an error.
    pub errors: Fraction,
    /// The part of its capacity that a started server has.
    pub cold_from: Fraction,
    /// It has all of it after this time.
    pub cold: Time,
    /// Connections that it holds at most.
    pub connections: Count<1, 1_000_000>,
    /// What a new connection costs it, on a standard core.
    pub handshake: DurationMicros<0, SECOND>,
    /// It closes a connection that has idled for so long.
    pub idle: DurationMicros<1_000, HOUR>,
    /// It closes a connection after so many answers; 0 for never.
    pub closes_after: Count<0, 1_000_000>,
    /// How often its load report is made anew.
    pub report_every: Time,
    /// A report is told so long after it was made.
    pub report_delay: Time,
    /// How far a report's numbers are off at most.
    pub report_noise: Fraction,
}

impl Default for CacheKind {
    fn default() -> Self {
        CacheKind {
            kind: "box".into(),
            count: Count::new(1),
            cores: Count::new(3),
            speed: Positive::new(1.0),
            speed_spread: Fraction::new(0.0),
            slots: Count::new(12),
            queue: Count::new(12),
            memory: Size::new(64 * MIB),
            keeps_for: DurationMicros::new(600 * SECOND),
            pause_every: DurationMicros::new(0),
            pause: DurationMicros::new(0),
            errors: Fraction::new(0.0),
            cold_from: Fraction::new(0.4),
            cold: DurationMicros::new(6 * SECOND),
            connections: Count::new(2_000),
            handshake: DurationMicros::new(2_000),
            idle: DurationMicros::new(15 * SECOND),
            closes_after: Count::new(0),
            report_every: DurationMicros::new(SECOND),
            report_delay: DurationMicros::new(200_000),
            report_noise: Fraction::new(0.05),
        }
    }
}

/// The origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginKind {
    /// Fetches in service at once.
    pub workers: Count<1, 100_000>,
    /// The mean time of a fetch.
    pub time: DurationMicros<0, { 60 * SECOND }>,
    /// How the times are spread: the deviation of their logarithm.
    pub sigma: Sigma,
    /// A write takes so many times as long.
    pub write_times: Positive,
    /// Fetches that may wait; others are turned away.
    pub queue: Count<0, 1_000_000>,
    /// Sent more than so many times its capacity ...
    pub stop_multiple: Positive,
    /// ... for so long ...
    pub stop_after: DurationMicros<1_000, HOUR>,
    /// ... it stops for so long.
    pub stops_for: Time,
}

impl Default for OriginKind {
    fn default() -> Self {
        OriginKind {
            workers: Count::new(16),
            time: DurationMicros::new(60_000),
            sigma: Fraction::new(0.5),
            write_times: Positive::new(1.5),
            queue: Count::new(256),
            stop_multiple: Positive::new(2.5),
            stop_after: DurationMicros::new(3 * SECOND),
            stops_for: DurationMicros::new(5 * SECOND),
        }
    }
}

/// Discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryKind {
    /// The mean time after which it knows of a change.
    pub notices_after: DurationMicros<0, { 60 * SECOND }>,
    /// Calls that it answers in a second.
    pub calls_per_s: Positive,
    /// A call that would wait longer fails.
    pub waits_for: Time,
}

impl Default for DiscoveryKind {
    fn default() -> Self {
        DiscoveryKind {
            notices_after: DurationMicros::new(SECOND),
            calls_per_s: Positive::new(50.0),
            waits_for: DurationMicros::new(2 * SECOND),
        }
    }
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    /// How many there are.
    pub count: Count<1, 100_000_000>,
    /// The exponent of their popularity.
    pub zipf: Positive,
    /// The most popular part of them, which every cache server holds at the start.
    pub held: Fraction,
    /// Ranks by which popularity moves on in a second.
    pub moves_per_s: Rate,
    /// The mean size of a value.
    pub value: Size<0, { 4 * MIB }>,
    /// How sizes are spread: the deviation of their logarithm.
    pub value_sigma: Sigma,
}

/// So many in a second, 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    /// As a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = String;

    fn try_from(rate: f64) -> Result<Rate, String> {
        match (0.0..=1e6).contains(&rate) {
            true => Ok(Rate(rate)),
            false => Err(format!("{rate} is not allowed here: expected a rate of 0 to 1000000 a second")),
        }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}

impl Default for Keys {
    fn default() -> Self {
        Keys {
            count: Count::new(20_000),
            zipf: Positive::new(0.9),
            held: Fraction::new(0.0),
            moves_per_s: Rate(0.0),
            value: Size::new(2 << 10),
            value_sigma: Fraction::new(0.5),
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassKind {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: Fraction,
    /// The mean work of a request, on a standard core.
    pub work: DurationMicros<0, { 60 * SECOND }>,
    /// How the work is spread: the deviation of its logarithm.
    #[serde(default)]
    pub work_sigma: Sigma,
    /// An answer within this time has full worth.
    pub aim: DurationMicros<1_000, HOUR>,
    /// Clients wait no longer.
    pub deadline: DurationMicros<1_000, HOUR>,
    /// What a repeat may do.
    pub effect: Idempotency,
    /// Of a keyed class: which servers discard repeats.
    #[serde(default)]
    pub scope: DeduplicationScope,
    /// Of a keyed class: for how long they do.
    #[serde(default)]
    pub window: Time,
    /// It writes.
    #[serde(default)]
    pub write: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantKind {
    /// Its name.
    pub name: String,
    /// Its part of the service.
    pub share: Fraction,
    /// What it sends, as a multiple of its share.
    #[serde(default = "once")]
    pub usage: Positive,
}

fn once() -> Positive {
    Positive::new(1.0)
}

/// How clients come again after a refusal, within their deadline: after what the refusal said, and a pause drawn
/// from 0 to `pause`, which doubles with each try up to `longest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryKind {
    /// How often a client asks at most; 1 for no retry.
    pub tries: Count<1, 100>,
    /// The range of the first pause.
    pub pause: DurationMicros<0, { 60 * SECOND }>,
    /// No pause's range is longer.
    pub longest: DurationMicros<0, { 60 * SECOND }>,
}

impl Default for RetryKind {
    fn default() -> Self {
        RetryKind {
            tries: Count::new(1),
            pause: DurationMicros::new(50_000),
            longest: DurationMicros::new(1_000_000),
        }
    }
}

/// What a node must keep to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// An answer so long after the deadline still counts.
    pub answer_slack: DurationMicros<0, SECOND>,
    /// Nothing new to a server so long after the node was told that it drains or is gone.
    pub drain_grace: DurationMicros<0, { 60 * SECOND }>,
    /// A cold server sent more than this multiple of its capacity ...
    pub overload_factor: Positive,
    /// ... for so long falls over.
    pub overload_for: DurationMicros<1_000, { 60 * SECOND }>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack: DurationMicros::new(70_000),
            drain_grace: DurationMicros::new(550_000),
            overload_factor: Positive::new(3.0),
            overload_for: DurationMicros::new(1_500_000),
        }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, from the start.
    #[serde(default)]
    pub at: Time,
    /// What.
    pub kind: FaultKind,
    /// Which cache server, by its id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server: Option<String>,
    /// Or which part of the cache servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub part: Option<Fraction>,
    /// Or those of which zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// For how long; for a roll, how long all of it takes.
    #[serde(rename = "for", default = "for_a_while")]
    pub lasts: Time,
    /// How many times slower.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub factor: Option<Positive>,
}

fn for_a_while() -> Time {
    DurationMicros::new(2 * SECOND)
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies, its connections reset; it starts again, cold, after `for`.
    Kill,
    /// It drains for `for`, then ends; another takes its place, cold and with a new id.
    Replace,
    /// It drains for `for`, and goes on as if nothing had been.
    Drain,
    /// Its work stands still for `for`.
    Stall,
    /// Its work takes `factor` times as long for `for`.
    Slow,
    /// Its answers are noise for `for`.
    Garble,
    /// Its answers break off in the middle of the value for `for`.
    Cut,
    /// All its connections are reset, once.
    Reset,
    /// It takes everything and says nothing for `for`.
    Silence,
    /// The servers of `zone` are silent towards the nodes of other zones for `for`.
    Partition,
    /// The servers of `part` are replaced, one after the other, over `for`.
    Roll,
    /// The origin stops for `for`.
    OriginStop,
    /// The origin takes `factor` times as long for `for`.
    OriginSlow,
    /// Discovery answers 503 for `for`.
    DiscoveryAway,
    /// Discovery learns nothing new for `for`.
    DiscoveryStale,
}

impl FaultKind {
    /// Whether it befalls cache servers that must be named.
    pub fn needs_servers(self) -> bool {
        use FaultKind::*;
        !matches!(self, Partition | OriginStop | OriginSlow | DiscoveryAway | DiscoveryStale)
    }
}

impl Site {
    /// How many cache servers there are.
    pub fn cache_count(&self) -> usize {
        self.caches.iter().map(|group| group.count.get()).sum()
    }

    /// The id of a cache server by its number.
    pub fn id(number: usize) -> String {
        format!("c-{number}")
    }

    /// What a fault asks for and is not there.
    ///
    /// # Errors
    /// The field, and why it can't be used.
    pub fn check_fault(&self, fault: &Fault) -> Result<(), CheckError> {
        let known = |id: &String| (0..self.cache_count()).any(|n| Site::id(n) == *id);
        if let Some(id) = fault.server.as_ref().filter(|id| !known(id)) {
            let last = self.cache_count().saturating_sub(1);
            return Err(CheckError::new(
                "server",
                format!("no cache server {id:?}: they are c-0 to c-{last}"),
            ));
        }
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.network.zones.contains(zone)) {
            let reason = format!("{zone:?} is none of network.zones: {:?}", self.network.zones);
            return Err(CheckError::new("zone", reason));
        }
        let named = fault.server.is_some() || fault.part.is_some() || fault.zone.is_some();
        if fault.kind.needs_servers() && !named {
            return Err(CheckError::new("kind", "needs server, part or zone"));
        }
        if matches!(fault.kind, FaultKind::Slow | FaultKind::OriginSlow) && fault.factor.is_none() {
            return Err(CheckError::new("factor", "needed: how many times slower"));
        }
        if fault.kind == FaultKind::Partition && fault.zone.is_none() {
            return Err(CheckError::new("zone", "needed: the zone that is cut off"));
        }
        Ok(())
    }
}

impl Check for Site {
    fn check(&self) -> Result<(), CheckError> {
        let wrong = |key: &str, what: String| Err(CheckError::new(key, what));
        if self.caches.is_empty() {
            return wrong("cache", "needed: at least one [[cache]] with its count".into());
        }
        if self.classes.is_empty() {
            return wrong(
                "class",
                "needed: at least one [[class]] with name, share, work, aim, deadline and effect".into(),
            );
        }
        if self.network.zones.is_empty() {
            return wrong("network.zones", "at least one zone".into());
        }
        let [least, most] = self.network.cross_zone;
        if most < least {
            return wrong("network.cross_zone", "the second must not be less than the first".into());
        }
        for (n, class) in self.classes.iter().enumerate() {
            if class.deadline < class.aim {
                return wrong(&format!("class[{n}].deadline"), "must not be shorter than the aim".into());
            }
            if class.effect == Idempotency::Keyed && class.window.us() == 0 {
                return wrong(&format!("class[{n}].window"), "a keyed class needs a window above 0s".into());
            }
        }
        let shares: [(&str, f64); 2] = [
            ("class", self.classes.iter().map(|class| class.share.get()).sum()),
            ("tenant", self.tenants.iter().map(|tenant| tenant.share.get()).sum()),
        ];
        for (key, sum) in shares {
            if (key == "class" || !self.tenants.is_empty()) && (sum - 1.0).abs() > 0.011 {
                return wrong(key, format!("the shares add up to {sum:.3}, not to 1"));
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            self.check_fault(fault).map_err(|error| error.below(&format!("fault[{n}]")))?;
        }
        Ok(())
    }
}
