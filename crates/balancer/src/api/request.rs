//! The request of a client.

use super::{Micros, RequestId};

/// The request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, an index into [`Settings::classes`](super::Settings::classes).
    pub class: Option<usize>,
    /// Its tenant, an index into [`Settings::tenant_quotas`](super::Settings::tenant_quotas).
    pub tenant: Option<usize>,
    /// The key it reads or writes.
    pub key: Option<String>,
    /// Time until its deadline, when the client gives up.
    pub timeout: Micros,
    /// Whether it is a write.
    pub is_write: bool,
    /// Whether its client already has many requests open on the same connection. Requests of equal priority from other
    /// connections are admitted first.
    pub is_crowded: bool,
}

impl Request {
    /// A read without class, tenant or key, whose deadline is now.
    pub fn new(id: RequestId) -> Self {
        Request { id, class: None, tenant: None, key: None, timeout: 0, is_write: false, is_crowded: false }
    }
}
