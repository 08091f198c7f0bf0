//! Access to the C library's own functions, which the functions of this library replace.

use std::ffi::{CStr, c_void};
use std::ptr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// The address of one function, looked up when it is first needed.
pub(crate) struct Symbol(AtomicPtr<c_void>);

impl Symbol {
    /// A symbol that has not been looked up yet.
    pub(crate) const fn new() -> Symbol {
        Symbol(AtomicPtr::new(ptr::null_mut()))
    }

    /// The address of the function, which must always be asked for by the same name.
    pub(crate) fn find(&self, name: &CStr) -> *mut c_void {
        let known = self.0.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name ends in NUL. RTLD_NEXT selects the next function of this name after the one in this library.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
        assert!(!found.is_null(), "the C library has no {name:?}");
        self.0.store(found, Ordering::Relaxed);
        found
    }
}

/// The C library's function of this name and type. Calling it is unsafe.
macro_rules! real {
    ($name:ident: fn($($argument:ty),*) -> $result:ty) => {{
        static SYMBOL: $crate::real::Symbol = $crate::real::Symbol::new();
        let name = const {
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("the name contains NUL"),
            }
        };
        // SAFETY (of the caller's block): the type is that of the C library's function.
        std::mem::transmute::<*mut std::ffi::c_void, unsafe extern "C" fn($($argument),*) -> $result>(
            SYMBOL.find(name),
        )
    }};
}
pub(crate) use real;
