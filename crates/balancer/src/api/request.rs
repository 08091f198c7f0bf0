//! A client's request.

use super::{Micros, RequestId};

/// A client's request.
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
    /// Time left until the client gives up.
    pub timeout: Micros,
    /// It changes something.
    pub is_write: bool,
}

impl Request {
    /// A read of no class, tenant or key, with no time left.
    pub fn new(id: RequestId) -> Self {
        Request { id, class: None, tenant: None, key: None, timeout: 0, is_write: false }
    }
}
