//! Quotas of calls to a server in slow start, which many senders share without exchanging messages.
//!
//! A server that warms up handles a budget of `N` calls in any window of a given length, from all senders together. A
//! call is one attempt at the server. The budget is rounded to a number of whole [`tokens`], one for each call in a
//! window. The tokens are divided among the senders by their rank in an order that all senders compute alike from the
//! server's id (deterministic subsetting): with fewer tokens than senders, only the first ranks get one. Each sender
//! stays within its [`Quota`] by means of a sliding window log, so that the sum over all senders stays within the
//! tokens in every window, whatever the traffic of each sender is.
//!
//! The crate does no I/O, reads no clock and draws no random numbers: the time is passed in. Times and durations are
//! whole microseconds of one clock.
//!
//! ```
//! use stonefold_allotment::{Quota, Sender, SlowStart};
//!
//! let slow_start = SlowStart {
//!     duration: 9_000_000,
//!     initial_capacity: 0.3,
//!     overload_factor: 3.0,
//!     overload_window: 1_500_000,
//! };
//! let sender = Sender::new(Some(2), 4, 0, 0); // the third of four senders, running since time 0
//! let mut quota = Quota::new(17);
//! quota.restart(&sender, 5_000_000, 5_000_000, &slow_start); // server 17 started at 5 s, known at once
//! let now = 7_000_000;
//! let remaining = quota.remaining(&slow_start, 100.0, now); // 100 calls per second when warm
//! assert!(remaining > 0);
//! quota.record(&slow_start, now);
//! assert_eq!(quota.remaining(&slow_start, 100.0, now), remaining - 1);
//! ```

mod quota;
mod sender;
mod slow_start;

pub use quota::Quota;
pub use sender::Sender;
pub use slow_start::{SlowStart, tokens};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
