//! Tests of the distribution to subscribers without sockets: rejected frames and sessions, limits, and the selection of
//! publishers.

mod items;
mod publisher;
mod selector;
mod subscriber;
mod table;
