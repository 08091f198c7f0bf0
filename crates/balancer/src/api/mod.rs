//! The interface of the decisions: the events that a [`Balancer`](crate::Balancer) takes and the actions that it
//! returns.
//!
//! The interface is independent of any transport. All times and durations are whole microseconds. The clock may start
//! at any value but must not go back: a `now` that is earlier than a previous one counts as that one.
//!
//! Misuse is harmless: an event about an unknown request, attempt or timer is ignored, as is a second [`Request`] with
//! an id that is still in use. Each [`Action::Send`] must be answered by exactly one [`Event::AttemptEnded`]; while one
//! is missing, the attempt counts as in flight.

mod action;
mod attempt;
mod endpoint;
mod event;
mod ids;
mod request;
mod settings;

pub use action::Action;
pub use attempt::{AttemptEnd, Outcome};
pub use endpoint::{Endpoint, EndpointState, EndpointUpdate};
pub use event::Event;
pub use ids::{AttemptId, Micros, RequestId, ServerId, TimerToken};
pub use request::Request;
pub use settings::{CacheMode, DeduplicationScope, Idempotency, RequestClass, Settings};
