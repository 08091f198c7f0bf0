//! The key that all members share, or two of them while it is rotated, and the keys that are derived from it.

use std::fmt;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// The length of a key, in bytes.
const KEY_BYTES: usize = 32;
/// The length of a key's id, in bytes.
pub(super) const KEY_ID_BYTES: usize = 8;
/// The length of a MAC, in bytes.
pub(super) const MAC_BYTES: usize = 32;
/// The permissions of a new key file.
const KEY_FILE_MODE: u32 = 0o600;
/// The permission bits of a file's mode.
const PERMISSION_BITS: u32 = 0o777;
/// The permission bits of the group and of others.
const NON_OWNER_BITS: u32 = 0o077;

/// A key: random bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    /// Shows the key's id only.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Key({:02x?})", self.id())
    }
}

impl Key {
    /// A key of these bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Key {
        Key(bytes)
    }

    /// The key's id on the wire, which reveals nothing of the key.
    pub(super) fn id(&self) -> [u8; KEY_ID_BYTES] {
        let digest = Sha256::new().chain_update(b"stonefold key name").chain_update(self.0).finalize();
        let mut id = [0; KEY_ID_BYTES];
        id.copy_from_slice(&digest[..KEY_ID_BYTES]);
        id
    }

    fn mac_of(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        // HMAC accepts keys of any length.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("a key of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// The HMAC-SHA256 (RFC 2104) of some parts, each after its length.
    pub(super) fn mac(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        self.mac_of(parts).finalize().into_bytes().into()
    }

    /// Whether this is the beginning of the parts' MAC, compared in constant time.
    pub(super) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac_of(parts).verify_truncated_left(mac).is_ok()
    }

    /// A key that is derived from this one.
    pub(super) fn derive(&self, parts: &[&[u8]]) -> Key {
        Key(self.mac(parts))
    }
}

/// The keys in force: the first is used, all are accepted.
#[derive(Clone, Debug)]
pub struct Keys(Vec<Key>);

/// Why keys can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file can't be read or written.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
    /// Others than the owner have access to the file.
    #[error("{path}: others may read it (mode {1:03o}): chmod 600", path = .0.display())]
    Permissions(PathBuf, u32),
    /// A line is no key.
    #[error("{path}:{1}: no key: expected 64 hex digits", path = .0.display())]
    Line(PathBuf, usize),
    /// There are too few keys or too many.
    #[error("{path}: {1} keys: expected one, or two while the key is changed", path = .0.display())]
    Count(PathBuf, usize),
}

fn parse_key(line: &str) -> Option<Key> {
    let mut key = [0; KEY_BYTES];
    hex::decode_to_slice(line, &mut key).ok()?;
    Some(Key(key))
}

fn write(path: &Path, remark: &str, keys: &[Key]) -> Result<(), KeyError> {
    let io_error = |error| KeyError::Io(path.to_owned(), error);
    let mut options = OpenOptions::new();
    let mut file = options.write(true).create_new(true).mode(KEY_FILE_MODE).open(path).map_err(io_error)?;
    writeln!(file, "{remark}").map_err(io_error)?;
    keys.iter().try_for_each(|key| writeln!(file, "{}", hex::encode(key.0))).map_err(io_error)?;
    file.sync_all().map_err(io_error)
}

impl Keys {
    /// These keys, the first of which is used.
    pub fn new(first: Key, other: Option<Key>) -> Keys {
        Keys([first].into_iter().chain(other).collect())
    }

    /// Reads a key file: a key on each line, remarks after `#`. Only its owner may have access to it.
    ///
    /// # Errors
    /// What is wrong with the file, and where.
    pub fn read(path: &Path) -> Result<Keys, KeyError> {
        let io_error = |error| KeyError::Io(path.to_owned(), error);
        let mode = fs::metadata(path).map_err(io_error)?.permissions().mode() & PERMISSION_BITS;
        if mode & NON_OWNER_BITS != 0 {
            return Err(KeyError::Permissions(path.to_owned(), mode));
        }
        let text = fs::read_to_string(path).map_err(io_error)?;
        let lines = text.lines().map(str::trim).enumerate();
        let key_lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let keys = key_lines
            .map(|(index, line)| parse_key(line).ok_or_else(|| KeyError::Line(path.to_owned(), index + 1)));
        let keys: Vec<Key> = keys.collect::<Result<_, _>>()?;
        match keys.len() {
            1 | 2 => Ok(Keys(keys)),
            count => Err(KeyError::Count(path.to_owned(), count)),
        }
    }

    /// Writes a new file with a random key, which only its owner may access.
    ///
    /// # Errors
    /// If the file exists, or can't be written.
    pub fn generate(path: &Path) -> Result<(), KeyError> {
        let mut key = [0; KEY_BYTES];
        let filled = getrandom::fill(&mut key);
        filled.map_err(|error| KeyError::Io(path.to_owned(), io::Error::other(error.to_string())))?;
        write(path, "# The key that all members of a store share.", &[Key(key)])
    }

    /// The subscribers' keys, derived from these. With them a node may follow the committed state, and nothing else.
    pub fn subscriber_keys(&self) -> Keys {
        Keys(self.0.iter().map(|key| key.derive(&[b"stonefold subscriber"])).collect())
    }

    /// Keys for the nodes' gossip membership, derived from these; the first is used.
    pub fn membership_keys(&self) -> Vec<[u8; KEY_BYTES]> {
        self.0.iter().map(|key| key.derive(&[b"stonefold membership"]).0).collect()
    }

    /// Writes a new file with the subscribers' keys, which only its owner may access.
    ///
    /// # Errors
    /// If the file exists, or can't be written.
    pub fn write_subscriber_keys(&self, path: &Path) -> Result<(), KeyError> {
        write(path, "# The key of a store's subscribers.", &self.subscriber_keys().0)
    }

    pub(super) fn with_subscriber_keys(&self) -> Keys {
        Keys(self.0.iter().cloned().chain(self.subscriber_keys().0).collect())
    }

    pub(super) fn contains(&self, key: &Key) -> bool {
        self.0.contains(key)
    }

    pub(super) fn first(&self) -> &Key {
        &self.0[0]
    }

    /// The key with an id.
    pub(super) fn find(&self, id: &[u8]) -> Option<&Key> {
        self.0.iter().find(|key| key.id() == id)
    }
}
