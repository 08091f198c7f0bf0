//! The fault plan of this process: its file is mapped into memory, so that each change applies at once.

use std::ffi::CStr;
use std::ptr::{self, NonNull};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use stonefold_faults::{
    CLOCK_STEP_OFFSET, COUNTS_OFFSET, Fault, PLAN_LENGTH, RATE_OF_ALL_CALLS, RATES_OFFSET,
};

/// [`stonefold_faults::PLAN_VARIABLE`] as a C string.
const PLAN_VARIABLE: &CStr = c"STONEFOLD_FAULT_PLAN";

/// A mapped plan.
pub(crate) struct Plan {
    base: NonNull<u8>,
}

// SAFETY: the mapping lasts as long as the process, and it is read and written only as atomic numbers.
unsafe impl Send for Plan {}
// SAFETY: as for `Send`.
unsafe impl Sync for Plan {}

impl Plan {
    /// The plan that the environment names; `None` if it names none or the file can't be mapped.
    pub(crate) fn of_process() -> Option<&'static Plan> {
        static PLAN: OnceLock<Option<Plan>> = OnceLock::new();
        PLAN.get_or_init(Plan::map).as_ref()
    }

    /// Maps the file. Uses none of the functions that this library replaces, since those call this one.
    fn map() -> Option<Plan> {
        // SAFETY: the name ends in NUL, and `getenv` returns null or a string. The kernel chooses the address of the
        // mapping, and the descriptor belongs to this function.
        let base = unsafe {
            let path = libc::getenv(PLAN_VARIABLE.as_ptr());
            if path.is_null() {
                return None;
            }
            let fd = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
            if fd < 0 {
                return None;
            }
            let protection = libc::PROT_READ | libc::PROT_WRITE;
            let base = libc::mmap(ptr::null_mut(), PLAN_LENGTH, protection, libc::MAP_SHARED, fd, 0);
            libc::close(fd);
            if base == libc::MAP_FAILED {
                return None;
            }
            base
        };
        Some(Plan { base: NonNull::new(base.cast())? })
    }

    /// The number at this offset, in bytes.
    fn number(&self, offset: usize) -> &AtomicU64 {
        assert!(offset.is_multiple_of(8) && offset + 8 <= PLAN_LENGTH);
        // SAFETY: the offset lies within the mapping and is aligned, as the mapping is to a page.
        unsafe { self.base.add(offset).cast::<AtomicU64>().as_ref() }
    }

    /// A random number below a bound. The same seed gives the same numbers in the order of the calls. The next process
    /// under the same plan continues the sequence.
    pub(crate) fn random_below(&self, bound: u64) -> u64 {
        // This is SplitMix64. The plan's seed is its state.
        let state = self.number(0).fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn rate(&self, fault: Fault) -> u64 {
        self.number(RATES_OFFSET + 8 * fault as usize).load(Ordering::Relaxed)
    }

    /// Whether a fault has a rate above 0.
    pub(crate) fn is_set(&self, fault: Fault) -> bool {
        self.rate(fault) > 0
    }

    /// Draws whether this call fails with a fault, and counts it if so.
    pub(crate) fn injects(&self, fault: Fault) -> bool {
        let rate = self.rate(fault);
        let injected = rate > 0 && self.random_below(RATE_OF_ALL_CALLS) < rate;
        if injected {
            self.number(COUNTS_OFFSET + 8 * fault as usize).fetch_add(1, Ordering::Relaxed);
        }
        injected
    }

    /// By how much the plan sets the wall clock ahead, in milliseconds.
    pub(crate) fn clock_step_ms(&self) -> i64 {
        self.number(CLOCK_STEP_OFFSET).load(Ordering::Relaxed) as i64
    }
}
