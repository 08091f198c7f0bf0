//! The plan as this process has it: the file, mapped so that each change is seen at once.

use std::ffi::CStr;
use std::ptr::{self, NonNull};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use stonefold_faults::{CLOCK_STEP_AT, COUNTS_AT, Fault, LENGTH, RATES_AT, WHOLE};

/// The name of [`stonefold_faults::PLAN_VARIABLE`] for the C library.
const VARIABLE: &CStr = c"STONEFOLD_FAULT_PLAN";

/// A mapped plan.
pub struct Plan {
    base: NonNull<u8>,
}

// SAFETY: the mapping lasts as long as the process, and all of it is read and written as atomic numbers.
unsafe impl Send for Plan {}
// SAFETY: as above.
unsafe impl Sync for Plan {}

impl Plan {
    /// The plan that the environment names; none if it names none or it can't be mapped.
    pub fn of_process() -> Option<&'static Plan> {
        static PLAN: OnceLock<Option<Plan>> = OnceLock::new();
        PLAN.get_or_init(Plan::map).as_ref()
    }

    /// Maps the file without any of the functions that this library replaces.
    fn map() -> Option<Plan> {
        // SAFETY: the name ends in a nought; the result is a string of the environment, or null. The file is mapped
        // whole at an address of the kernel's choice, and its descriptor is ours to close.
        let base = unsafe {
            let path = libc::getenv(VARIABLE.as_ptr());
            if path.is_null() {
                return None;
            }
            let fd = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
            if fd < 0 {
                return None;
            }
            let protection = libc::PROT_READ | libc::PROT_WRITE;
            let base = libc::mmap(ptr::null_mut(), LENGTH, protection, libc::MAP_SHARED, fd, 0);
            libc::close(fd);
            if base == libc::MAP_FAILED {
                return None;
            }
            base
        };
        Some(Plan { base: NonNull::new(base.cast())? })
    }

    /// The number that stands at this place, in bytes from the start.
    fn number(&self, at: usize) -> &AtomicU64 {
        assert!(at.is_multiple_of(8) && at + 8 <= LENGTH);
        // SAFETY: the place lies within the mapping and is aligned, as the mapping is to a page.
        unsafe { self.base.add(at).cast::<AtomicU64>().as_ref() }
    }

    /// A random number below a bound. The same seed draws the same numbers, in the order of the calls; the next process
    /// under a plan goes on where the one before it ended.
    pub fn below(&self, bound: u64) -> u64 {
        // SplitMix64.
        let state = self.number(0).fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound
    }

    fn rate(&self, fault: Fault) -> u64 {
        self.number(RATES_AT + 8 * fault as usize).load(Ordering::Relaxed)
    }

    /// Whether a fault has a rate at all.
    pub fn is_set(&self, fault: Fault) -> bool {
        self.rate(fault) > 0
    }

    /// Whether this call fails in this way; counted if it does.
    pub fn strikes(&self, fault: Fault) -> bool {
        let rate = self.rate(fault);
        let strikes = rate > 0 && self.below(WHOLE) < rate;
        if strikes {
            self.number(COUNTS_AT + 8 * fault as usize).fetch_add(1, Ordering::Relaxed);
        }
        strikes
    }

    /// How far ahead the wall clock is, in ms.
    pub fn clock_step_ms(&self) -> i64 {
        self.number(CLOCK_STEP_AT).load(Ordering::Relaxed) as i64
    }
}
