//! Units, bounded durations and rates that the configuration of a site shares.

use serde::{Deserialize, Serialize};
use stonefold_config::{DurationMicros, Fraction};

/// One second, in microseconds.
pub(super) const SECOND_US: u64 = 1_000_000;
/// One hour, in microseconds.
pub(super) const HOUR_US: u64 = 3_600 * SECOND_US;
/// One mebibyte, in bytes.
pub(super) const MIB_BYTES: u64 = 1 << 20;
/// Highest [`Rate`], in events per second.
const MAX_RATE_PER_S: f64 = 1e6;

/// A duration from zero up to one hour.
pub type DurationUpToHour = DurationMicros<0, HOUR_US>;
/// Standard deviation of the logarithm of a lognormal distribution.
pub type LogStdDev = Fraction;

/// A rate in events per second, from 0 to 1,000,000.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

impl Rate {
    /// The rate, in events per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = String;

    fn try_from(rate: f64) -> Result<Rate, String> {
        if (0.0..=MAX_RATE_PER_S).contains(&rate) {
            Ok(Rate(rate))
        } else {
            Err(format!("{rate} is not allowed here: expected a rate of 0 to 1000000 a second"))
        }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> f64 {
        rate.0
    }
}
