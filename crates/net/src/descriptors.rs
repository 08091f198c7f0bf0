//! A check whether another file descriptor can be opened.

use std::fs::File;
use std::io;

use crate::error_kind::SocketErrorKind;

/// A file that can always be opened, unless no file descriptor is left.
const NULL_DEVICE: &str = "/dev/null";

/// Whether the process and the machine have a file descriptor left at this moment, which is tested by opening one.
/// After a system call has failed because there was none, this tells whether the shortage persists.
pub fn descriptor_available() -> bool {
    let opened = File::open(NULL_DEVICE);
    let is_exhausted =
        |error: &io::Error| SocketErrorKind::of(error) == SocketErrorKind::DescriptorsExhausted;
    !opened.as_ref().is_err_and(is_exhausted)
}
