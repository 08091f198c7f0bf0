//! The emulated site that the nodes serve.

use std::time::Duration;

use stonefold_config::{Count, DurationMicros, Positive};
use stonefold_model::site::Site;

use crate::schedule::LONGEST_STALL;
use crate::{SoakError, SoakOptions};

/// The built-in site, in TOML.
const SITE_TOML: &str = include_str!("../../../deploy/sites/twelve.toml");
/// How late an answer may arrive after its deadline, besides the time of one pause.
const ANSWER_SLACK: Duration = Duration::from_millis(70);
/// Deadline of reads: short enough that many requests reach it.
const READ_DEADLINE: Duration = Duration::from_millis(300);
/// The part of the seed that a site's configuration can hold: its lower 32 bits.
const SITE_SEED_MASK: u64 = 0xffff_ffff;

/// Returns the built-in site, adapted to the run's seed, number of nodes and rate.
///
/// # Errors
/// If the built-in site does not parse.
pub(crate) fn build_site(options: &SoakOptions) -> Result<Site, SoakError> {
    let mut site: Site = toml::from_str(SITE_TOML).map_err(SoakError::configuration)?;
    site.seed = Count::new((options.seed & SITE_SEED_MASK) as _);
    site.nodes = Count::new(options.nodes as _);
    site.rate = Positive::new(options.rate);
    let read_deadline = READ_DEADLINE.as_micros() as u64;
    for class in site.classes.iter_mut().filter(|class| !class.write) {
        class.latency_objective = DurationMicros::new(read_deadline);
        class.deadline = DurationMicros::new(read_deadline);
    }
    site.rules.answer_slack = DurationMicros::new((ANSWER_SLACK + LONGEST_STALL).as_micros() as u64);
    Ok(site)
}
