//! The interface of the decisions: the events a [`Balancer`](crate::Balancer) takes in and the actions it returns.
//!
//! Transport-free. All times and durations are whole microseconds; the clock may start anywhere but never goes back
//! (an earlier `now` is read as the latest one seen).
//!
//! Misuse is harmless: an event about an unknown request, attempt or timer is ignored, as is a second [`Request`]
//! with an id still in use. Each [`Action::Send`] must be answered by exactly one [`Event::AttemptEnded`]; while one
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
