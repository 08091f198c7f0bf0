//! Injects faults into the system calls of a process under test, which loads it by `LD_PRELOAD`.
//!
//! Its functions replace those of the C library. Each calls the function that it replaces, unless the
//! [plan](stonefold_faults::FaultPlan) injects a fault. Without a plan in the environment they only make that call.
#![allow(unsafe_code)] // the functions have the unsafe signatures of the C library

mod plan;
mod real;

use std::ffi::{c_int, c_void};
use std::mem::MaybeUninit;
use std::ptr;

use libc::{clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use stonefold_faults::Fault;

use plan::Plan;
use real::real;

/// The most bytes that a short read or write transfers.
const MAX_SHORT_TRANSFER: usize = 7;

/// Sets errno and returns the result of a failed call.
fn fail(errno: c_int) -> c_int {
    // SAFETY: the C library gives each thread a valid place for its errno.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Fails with one of these errors, chosen at random.
fn fail_with_one_of(plan: &Plan, errors: &[c_int]) -> c_int {
    fail(errors[plan.random_below(errors.len() as u64) as usize])
}

/// Whether a descriptor is an IPv4 socket. Leaves errno as it was.
fn is_ipv4_socket(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: both pointers are to live variables of the stated size; errno's place is valid.
    unsafe {
        let errno = *libc::__errno_location();
        let option = (&raw mut domain).cast::<c_void>();
        let failed = libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, option, &raw mut length) != 0;
        *libc::__errno_location() = errno;
        !failed && domain == libc::AF_INET
    }
}

/// Whether a descriptor is a regular file or a folder. Leaves errno as it was.
fn is_file_or_folder(fd: c_int) -> bool {
    let mut stat = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: the pointer is to a live variable of that type, which is read only if the call has filled it.
    unsafe {
        let errno = *libc::__errno_location();
        let failed = libc::fstat(fd, stat.as_mut_ptr()) != 0;
        *libc::__errno_location() = errno;
        !failed && matches!(stat.assume_init().st_mode & libc::S_IFMT, libc::S_IFREG | libc::S_IFDIR)
    }
}

/// How the plan changes a call that transfers bytes.
enum Transfer {
    /// The call is made as it is.
    Unchanged,
    /// The call transfers this many bytes at most.
    Short(usize),
    /// The call fails; errno is set, and this is what it returns.
    Failed(c_int),
}

/// Breaks a connection: as when the network path is lost, no more bytes pass through it.
fn break_connection(plan: &Plan, fd: c_int) -> Transfer {
    // SAFETY: `shutdown` may be called with any descriptor.
    unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
    Transfer::Failed(fail_with_one_of(plan, &[libc::ETIMEDOUT, libc::EHOSTUNREACH]))
}

/// What becomes of a read or write of a network socket. A peek is only ever interrupted.
fn network_transfer(fd: c_int, interrupted: Fault, short: Fault, is_peek: bool) -> Transfer {
    let Some(plan) = Plan::of_process().filter(|_| is_ipv4_socket(fd)) else { return Transfer::Unchanged };
    if plan.injects(interrupted) {
        return Transfer::Failed(fail(libc::EINTR));
    }
    if !is_peek && plan.injects(Fault::BrokenPath) {
        return break_connection(plan, fd);
    }
    if !is_peek && plan.injects(short) {
        return Transfer::Short(1 + plan.random_below(MAX_SHORT_TRANSFER as u64) as usize);
    }
    Transfer::Unchanged
}

fn read_transfer(fd: c_int, flags: c_int) -> Transfer {
    network_transfer(fd, Fault::InterruptedRead, Fault::ShortRead, flags & libc::MSG_PEEK != 0)
}

fn write_transfer(fd: c_int) -> Transfer {
    network_transfer(fd, Fault::InterruptedWrite, Fault::ShortWrite, false)
}

/// The plan, if it makes this call on a file or folder fail.
fn storage_fault(fd: c_int, fault: Fault) -> Option<&'static Plan> {
    Plan::of_process().filter(|plan| plan.is_set(fault) && is_file_or_folder(fd) && plan.injects(fault))
}

/// # Safety
/// As `recv` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match read_transfer(fd, flags) {
        Transfer::Unchanged => length,
        Transfer::Short(max_length) => length.min(max_length),
        Transfer::Failed(error) => return error as ssize_t,
    };
    // SAFETY: these are the caller's arguments; the length is at most reduced.
    unsafe { real!(recv: fn(c_int, *mut c_void, size_t, c_int) -> ssize_t)(fd, buffer, length, flags) }
}

/// # Safety
/// As `read` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    if storage_fault(fd, Fault::FileRead).is_some() {
        return fail(libc::EIO) as ssize_t;
    }
    let length = match read_transfer(fd, 0) {
        Transfer::Unchanged => length,
        Transfer::Short(max_length) => length.min(max_length),
        Transfer::Failed(error) => return error as ssize_t,
    };
    // SAFETY: as in `recv`.
    unsafe { real!(read: fn(c_int, *mut c_void, size_t) -> ssize_t)(fd, buffer, length) }
}

/// # Safety
/// As `readv` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    match read_transfer(fd, 0) {
        // SAFETY: the first part of the caller's parts exists, and its copy has at most the same length.
        Transfer::Short(max_length) if count > 0 => unsafe {
            let first = iovec { iov_len: (*parts).iov_len.min(max_length), ..*parts };
            real!(readv: fn(c_int, *const iovec, c_int) -> ssize_t)(fd, &raw const first, 1)
        },
        Transfer::Failed(error) => error as ssize_t,
        // SAFETY: these are the caller's arguments.
        _ => unsafe { real!(readv: fn(c_int, *const iovec, c_int) -> ssize_t)(fd, parts, count) },
    }
}

/// # Safety
/// As `send` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match write_transfer(fd) {
        Transfer::Unchanged => length,
        Transfer::Short(max_length) => length.min(max_length),
        Transfer::Failed(error) => return error as ssize_t,
    };
    // SAFETY: as in `recv`.
    unsafe { real!(send: fn(c_int, *const c_void, size_t, c_int) -> ssize_t)(fd, buffer, length, flags) }
}

/// # Safety
/// As `write` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if let Some(plan) = storage_fault(fd, Fault::FileWrite) {
        return fail_with_one_of(plan, &[libc::ENOSPC, libc::EIO]) as ssize_t;
    }
    let length = match write_transfer(fd) {
        Transfer::Unchanged => length,
        Transfer::Short(max_length) => length.min(max_length),
        Transfer::Failed(error) => return error as ssize_t,
    };
    // SAFETY: as in `recv`.
    unsafe { real!(write: fn(c_int, *const c_void, size_t) -> ssize_t)(fd, buffer, length) }
}

/// # Safety
/// As `writev` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    match write_transfer(fd) {
        // SAFETY: as in `readv`.
        Transfer::Short(max_length) if count > 0 => unsafe {
            let first = iovec { iov_len: (*parts).iov_len.min(max_length), ..*parts };
            real!(writev: fn(c_int, *const iovec, c_int) -> ssize_t)(fd, &raw const first, 1)
        },
        Transfer::Failed(error) => error as ssize_t,
        // SAFETY: these are the caller's arguments.
        _ => unsafe { real!(writev: fn(c_int, *const iovec, c_int) -> ssize_t)(fd, parts, count) },
    }
}

/// # Safety
/// As `accept4` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(plan) = Plan::of_process().filter(|plan| plan.injects(Fault::Accept)) {
        return fail_with_one_of(plan, &[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS]);
    }
    // SAFETY: these are the caller's arguments.
    unsafe {
        real!(accept4: fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int)(fd, address, length, flags)
    }
}

/// # Safety
/// As `socket` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let is_ipv4 = domain == libc::AF_INET;
    if let Some(plan) = Plan::of_process().filter(|plan| is_ipv4 && plan.injects(Fault::Socket)) {
        return fail_with_one_of(plan, &[libc::ENFILE, libc::ENOBUFS]);
    }
    // SAFETY: these are the caller's arguments.
    unsafe { real!(socket: fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol) }
}

/// # Safety
/// As `connect` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(plan) = Plan::of_process().filter(|plan| is_ipv4_socket(fd) && plan.injects(Fault::Connect)) {
        return fail_with_one_of(plan, &[libc::EADDRNOTAVAIL, libc::ENETUNREACH]);
    }
    // SAFETY: these are the caller's arguments.
    unsafe { real!(connect: fn(c_int, *const sockaddr, socklen_t) -> c_int)(fd, address, length) }
}

/// # Safety
/// As `epoll_wait` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if Plan::of_process().is_some_and(|plan| plan.injects(Fault::InterruptedWait)) {
        return fail(libc::EINTR);
    }
    // SAFETY: these are the caller's arguments.
    unsafe {
        real!(epoll_wait: fn(c_int, *mut epoll_event, c_int, c_int) -> c_int)(fd, events, max_events, timeout)
    }
}

/// # Safety
/// As `fsync` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if storage_fault(fd, Fault::FileSync).is_some() {
        return fail(libc::EIO);
    }
    // SAFETY: this is the caller's argument.
    unsafe { real!(fsync: fn(c_int) -> c_int)(fd) }
}

/// # Safety
/// As `fdatasync` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if storage_fault(fd, Fault::FileSync).is_some() {
        return fail(libc::EIO);
    }
    // SAFETY: this is the caller's argument.
    unsafe { real!(fdatasync: fn(c_int) -> c_int)(fd) }
}

/// # Safety
/// As `clock_gettime` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: these are the caller's arguments.
    let result = unsafe { real!(clock_gettime: fn(clockid_t, *mut timespec) -> c_int)(clock, time) };
    let step = Plan::of_process().map_or(0, Plan::clock_step_ms);
    if result == 0 && clock == libc::CLOCK_REALTIME && step != 0 && !ptr::eq(time, ptr::null()) {
        // SAFETY: the call succeeded and has filled the time.
        unsafe { (*time).tv_sec += step / 1_000 };
    }
    result
}
