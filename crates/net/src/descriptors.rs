//! Whether the process can get another descriptor.

use std::fs::File;
use std::io;

use crate::error_kind::SocketErrorKind;

/// A file that can always be opened, except for want of a descriptor.
const NULL_DEVICE: &str = "/dev/null";

/// Whether the process and the machine have a descriptor left, as far as the kernel says now. A system call that failed
/// for want of one may have met a shortage that is over.
pub fn descriptor_available() -> bool {
    let opened = File::open(NULL_DEVICE);
    let is_exhausted =
        |error: &io::Error| SocketErrorKind::of(error) == SocketErrorKind::DescriptorsExhausted;
    !opened.as_ref().is_err_and(is_exhausted)
}
