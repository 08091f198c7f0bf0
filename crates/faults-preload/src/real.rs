//! The C library's own functions, behind ours.

use std::ffi::{CStr, c_void};
use std::ptr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// The place of one function, looked up at its first call.
pub struct Place(AtomicPtr<c_void>);

impl Place {
    /// Not looked up yet.
    pub const fn new() -> Place {
        Place(AtomicPtr::new(ptr::null_mut()))
    }

    /// The function's address.
    pub fn find(&self, name: &CStr) -> *mut c_void {
        let known = self.0.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name ends in a nought; RTLD_NEXT asks for the function behind ours.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
        assert!(!found.is_null(), "the C library has no {name:?}");
        self.0.store(found, Ordering::Relaxed);
        found
    }
}

/// The C library's function of this name and type. To call it is unsafe.
macro_rules! real {
    ($name:ident: fn($($argument:ty),*) -> $result:ty) => {{
        static PLACE: $crate::real::Place = $crate::real::Place::new();
        let name = const {
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("a name without noughts"),
            }
        };
        // SAFETY (of the caller's block): the type is that of the C library's function.
        std::mem::transmute::<*mut std::ffi::c_void, unsafe extern "C" fn($($argument),*) -> $result>(
            PLACE.find(name),
        )
    }};
}
pub(crate) use real;
