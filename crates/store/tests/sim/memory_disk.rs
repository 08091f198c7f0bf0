//! A disk in memory. A power cut loses unsynced writes or tears them, and writes fail on demand.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

/// A write to the disk.
#[derive(Debug, Clone)]
enum Write {
    /// Bytes, and their offset.
    Bytes(usize, Vec<u8>),
    /// A new length.
    Length(usize),
}

impl Write {
    fn apply_to(&self, image: &mut Vec<u8>) {
        match self {
            Write::Bytes(at, bytes) => {
                image.resize(image.len().max(at + bytes.len()), 0);
                image[*at..at + bytes.len()].copy_from_slice(bytes);
            }
            Write::Length(length) => image.resize(*length, 0),
        }
    }
}

#[derive(Debug, Default)]
struct Image {
    /// The contents, with all writes.
    current: Vec<u8>,
    /// The contents at the last sync.
    synced: Vec<u8>,
    /// The writes since the last sync.
    unsynced: Vec<Write>,
}

/// A disk that remains when a process that uses it ends. Clones share their contents.
#[derive(Debug, Default, Clone)]
pub(crate) struct MemoryDisk {
    image: Arc<Mutex<Image>>,
    /// Whether every write fails, as on a disk that is full.
    pub full: Arc<AtomicBool>,
}

impl MemoryDisk {
    fn image(&self) -> MutexGuard<'_, Image> {
        self.image.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The disk after a power cut. It has everything that was synced, and a random part of the unsynced writes, some of
    /// them torn.
    pub(crate) fn after_power_cut(&self) -> MemoryDisk {
        let image = self.image();
        let mut remaining = image.synced.clone();
        for write in &image.unsynced {
            match write {
                _ if fastrand::bool() => {}
                Write::Bytes(at, bytes) if fastrand::u8(..8) == 0 => {
                    let torn = bytes[..fastrand::usize(..=bytes.len())].to_vec();
                    Write::Bytes(*at, torn).apply_to(&mut remaining);
                }
                complete => complete.apply_to(&mut remaining),
            }
        }
        // The file stays at least as long as at the last sync. If a growth of it is lost, the writes behind its old end
        // extend it all the same.
        remaining.resize(remaining.len().max(image.synced.len()), 0);
        let image = Image { current: remaining.clone(), synced: remaining, unsynced: Vec::new() };
        MemoryDisk { image: Arc::new(Mutex::new(image)), full: Arc::default() }
    }

    fn write(&self, write: Write) -> io::Result<()> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut image = self.image();
        write.apply_to(&mut image.current);
        image.unsynced.push(write);
        Ok(())
    }
}

impl StorageBackend for MemoryDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.image().current.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let (image, at) = (self.image(), offset as usize);
        let bytes = image.current.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.write(Write::Length(len as usize))
    }
    fn sync_data(&self) -> io::Result<()> {
        let mut image = self.image();
        let unsynced = std::mem::take(&mut image.unsynced);
        for write in &unsynced {
            write.apply_to(&mut image.synced);
        }
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        MemoryDisk::write(self, Write::Bytes(offset as usize, data.to_vec()))
    }
}
