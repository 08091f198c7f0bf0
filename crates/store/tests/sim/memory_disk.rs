//! A disk in memory that loses what was not synced, tears what was being written, and fails on demand.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

#[derive(Debug, Clone)]
enum Write {
    Bytes(usize, Vec<u8>),
    Length(usize),
}

impl Write {
    fn to(&self, image: &mut Vec<u8>) {
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
    now: Vec<u8>,
    synced: Vec<u8>,
    /// Since the last sync.
    unsynced: Vec<Write>,
}

/// A disk that outlives the processes that use it.
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

    /// What a power cut leaves: all that was synced, and of the rest any part, the last of it torn.
    pub(crate) fn after_power_cut(&self) -> MemoryDisk {
        let image = self.image();
        let mut left = image.synced.clone();
        for write in &image.unsynced {
            match write {
                _ if fastrand::bool() => {}
                Write::Bytes(at, bytes) if fastrand::u8(..8) == 0 => {
                    let torn = bytes[..fastrand::usize(..=bytes.len())].to_vec();
                    Write::Bytes(*at, torn).to(&mut left);
                }
                whole => whole.to(&mut left),
            }
        }
        // A length that was set and lost comes with the bytes behind it.
        left.resize(left.len().max(image.synced.len()), 0);
        let image = Image { now: left.clone(), synced: left, unsynced: Vec::new() };
        MemoryDisk { image: Arc::new(Mutex::new(image)), full: Arc::default() }
    }

    fn write(&self, write: Write) -> io::Result<()> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut image = self.image();
        write.to(&mut image.now);
        image.unsynced.push(write);
        Ok(())
    }
}

impl StorageBackend for MemoryDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.image().now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let (image, at) = (self.image(), offset as usize);
        let bytes = image.now.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
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
            write.to(&mut image.synced);
        }
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        MemoryDisk::write(self, Write::Bytes(offset as usize, data.to_vec()))
    }
}
