//! Fault injection for system calls of a process under test: which calls fail, and how often.
//!
//! A test writes a [`FaultPlan`]; the library that `stonefold-faults-preload` builds reads it from inside the process,
//! and each change is in force from the next call on.
//!
//! The plan is a small file of little-endian numbers: a seed, the step of the wall clock in ms, then for each [`Fault`]
//! its rate in parts of a million and how often it was injected.

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use tempfile::NamedTempFile;

/// The environment variable by which the library finds the plan's file.
pub const PLAN_VARIABLE: &str = "STONEFOLD_FAULT_PLAN";
/// The rate of a fault that strikes at every call.
pub const RATE_OF_ALL_CALLS: u64 = 1_000_000;
/// Offset of the step of the wall clock, in bytes; the seed stands before.
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
    /// A read from a network socket returns less than has been received (a short read).
    ShortRead,
    /// A write to a network socket accepts less than there is buffer for (a short write).
    ShortWrite,
    /// A read or peek is interrupted (EINTR).
    InterruptedRead,
    /// A write is interrupted.
    InterruptedWrite,
    /// A wait for events is interrupted.
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

/// The faults of one process, or of several that share a plan.
pub struct FaultPlan {
    file: NamedTempFile,
}

impl FaultPlan {
    /// A plan under which nothing fails yet.
    ///
    /// # Errors
    /// If the file can't be made.
    pub fn new(seed: u64) -> io::Result<FaultPlan> {
        let plan = FaultPlan { file: NamedTempFile::new()? };
        plan.file().write_all_at(&[0; PLAN_LENGTH], 0)?;
        plan.file().write_all_at(&seed.to_le_bytes(), 0)?;
        Ok(plan)
    }

    fn file(&self) -> &File {
        self.file.as_file()
    }

    /// From now on this fraction of the calls, 0 to 1, fails in this way.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set(&self, fault: Fault, rate: f64) -> io::Result<()> {
        let parts = (rate.clamp(0.0, 1.0) * RATE_OF_ALL_CALLS as f64) as u64;
        self.file().write_all_at(&parts.to_le_bytes(), (RATES_OFFSET + 8 * fault as usize) as u64)
    }

    /// From now on nothing fails.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn clear(&self) -> io::Result<()> {
        Fault::ALL.into_iter().try_for_each(|fault| self.set(fault, 0.0))
    }

    /// From now on the wall clock is this many milliseconds ahead, or behind if negative.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn step_clock(&self, ms: i64) -> io::Result<()> {
        self.file().write_all_at(&ms.to_le_bytes(), CLOCK_STEP_OFFSET as u64)
    }

    /// How often a fault was injected.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn injected(&self, fault: Fault) -> io::Result<u64> {
        let mut count = [0; 8];
        self.file().read_exact_at(&mut count, (COUNTS_OFFSET + 8 * fault as usize) as u64)?;
        Ok(u64::from_le_bytes(count))
    }

    /// The plan's file, which [`PLAN_VARIABLE`] names.
    pub fn path(&self) -> &Path {
        self.file.path()
    }

    /// The environment variables of a process that runs under this plan, with the library at this path.
    pub fn environment(&self, library: &Path) -> [(&'static str, OsString); 2] {
        [("LD_PRELOAD", library.into()), (PLAN_VARIABLE, self.path().into())]
    }
}

/// The path of the library, if it was built beside a test program: `cargo test` builds it as a dependency.
pub fn library_beside(program: &Path) -> Option<PathBuf> {
    const NAME: &str = "libstonefold_faults_preload.so";
    let folders = program.ancestors().skip(1).take(2);
    folders.map(|folder| folder.join(NAME)).find(|path| path.exists())
}
