//! Fault injection into the system calls of a process under test: which calls fail, and how often.
//!
//! A test writes a [`FaultPlan`]. The library that `stonefold-faults-preload` builds reads it inside the process, and
//! each change applies from the next call on.
//!
//! The plan is a small file of little-endian numbers of 64 bits: a seed, the step of the wall clock in ms, the rates of
//! all [`Fault`]s in parts per million, and the counts of how often each was injected.

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use tempfile::NamedTempFile;

/// The environment variable that names the plan's file to the library.
pub const PLAN_VARIABLE: &str = "STONEFOLD_FAULT_PLAN";
/// The rate at which every call fails.
pub const RATE_OF_ALL_CALLS: u64 = 1_000_000;
/// Offset of the step of the wall clock, in bytes. The seed is at offset 0.
pub const CLOCK_STEP_OFFSET: usize = 8;
/// Offset of the rates, in bytes.
pub const RATES_OFFSET: usize = 16;
/// Offset of the counts, in bytes.
pub const COUNTS_OFFSET: usize = RATES_OFFSET + 8 * Fault::ALL.len();
/// Length of the plan's file, in bytes.
pub const PLAN_LENGTH: usize = COUNTS_OFFSET + 8 * Fault::ALL.len();

/// A way in which system calls fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A read from a network socket returns fewer bytes than have been received (a short read).
    ShortRead,
    /// A write to a network socket accepts fewer bytes than the socket's buffer has room for (a short write).
    ShortWrite,
    /// A read or peek is interrupted (EINTR).
    InterruptedRead,
    /// A write is interrupted (EINTR).
    InterruptedWrite,
    /// A wait for events is interrupted (EINTR).
    InterruptedWait,
    /// `accept` fails transiently: ECONNABORTED, ENFILE, ENOBUFS.
    Accept,
    /// `socket` fails transiently: ENFILE, ENOBUFS.
    Socket,
    /// `connect` fails transiently: EADDRNOTAVAIL, ENETUNREACH.
    Connect,
    /// A connection breaks with ETIMEDOUT or EHOSTUNREACH.
    BrokenPath,
    /// A write to a file fails: ENOSPC, EIO.
    FileWrite,
    /// A sync of a file or folder fails: EIO.
    FileSync,
    /// A read from a file fails: EIO.
    FileRead,
}

impl Fault {
    /// All faults, in the order of the plan's file.
    pub const ALL: [Fault; 12] = [
        Fault::ShortRead,
        Fault::ShortWrite,
        Fault::InterruptedRead,
        Fault::InterruptedWrite,
        Fault::InterruptedWait,
        Fault::Accept,
        Fault::Socket,
        Fault::Connect,
        Fault::BrokenPath,
        Fault::FileWrite,
        Fault::FileSync,
        Fault::FileRead,
    ];
}

/// A plan of the faults of one process, or of several that share it.
pub struct FaultPlan {
    file: NamedTempFile,
}

impl FaultPlan {
    /// Creates a plan under which no call fails yet. The seed determines which calls fail later.
    ///
    /// # Errors
    /// Fails if the file can't be created.
    pub fn new(seed: u64) -> io::Result<FaultPlan> {
        let plan = FaultPlan { file: NamedTempFile::new()? };
        plan.file().write_all_at(&[0; PLAN_LENGTH], 0)?;
        plan.file().write_all_at(&seed.to_le_bytes(), 0)?;
        Ok(plan)
    }

    fn file(&self) -> &File {
        self.file.as_file()
    }

    /// Makes this fraction of the calls, from 0 to 1, fail with the fault from now on.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn set(&self, fault: Fault, rate: f64) -> io::Result<()> {
        let parts_per_million = (rate.clamp(0.0, 1.0) * RATE_OF_ALL_CALLS as f64) as u64;
        self.file().write_all_at(&parts_per_million.to_le_bytes(), (RATES_OFFSET + 8 * fault as usize) as u64)
    }

    /// Sets the rates of all faults to 0. The step of the wall clock stays.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn clear(&self) -> io::Result<()> {
        Fault::ALL.into_iter().try_for_each(|fault| self.set(fault, 0.0))
    }

    /// Sets the wall clock ahead by this many milliseconds from now on, or back if negative. Only whole seconds count.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn step_clock(&self, ms: i64) -> io::Result<()> {
        self.file().write_all_at(&ms.to_le_bytes(), CLOCK_STEP_OFFSET as u64)
    }

    /// How often a fault was injected.
    ///
    /// # Errors
    /// Fails if the file can't be read.
    pub fn injected(&self, fault: Fault) -> io::Result<u64> {
        let mut count = [0; 8];
        self.file().read_exact_at(&mut count, (COUNTS_OFFSET + 8 * fault as usize) as u64)?;
        Ok(u64::from_le_bytes(count))
    }

    /// The path of the plan's file, the value for [`PLAN_VARIABLE`].
    pub fn path(&self) -> &Path {
        self.file.path()
    }

    /// The environment variables that make a process run under this plan, with the library at this path.
    pub fn environment(&self, library: &Path) -> [(&'static str, OsString); 2] {
        [("LD_PRELOAD", library.into()), (PLAN_VARIABLE, self.path().into())]
    }
}

/// The path of the library, if it was built beside a test program or in the folder above it. `cargo test` builds it as
/// a dependency.
pub fn library_beside(program: &Path) -> Option<PathBuf> {
    const NAME: &str = "libstonefold_faults_preload.so";
    let folders = program.ancestors().skip(1).take(2);
    folders.map(|folder| folder.join(NAME)).find(|path| path.exists())
}
