//! One module for each command.

pub mod call;
pub mod check;
pub mod demo;
pub mod emulate;
pub mod lab;
pub mod node;
pub mod request;
pub mod store;
pub mod texts;
