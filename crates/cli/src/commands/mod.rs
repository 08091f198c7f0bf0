//! One module for each command or group of commands.

pub(crate) mod call;
pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod emulate;
pub(crate) mod lab;
pub(crate) mod node;
pub(crate) mod request;
pub(crate) mod store;
pub(crate) mod texts;
