//! Distribution without sockets: what is rejected, what is limited, and which publisher is selected.

mod items;
mod publisher;
mod selector;
mod subscriber;
mod table;
