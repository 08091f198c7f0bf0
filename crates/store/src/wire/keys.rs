//! The key that all members share (two keys while it is being rotated), and the keys that are derived from it.

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
/// The permission bits of the group and of other users.
const NON_OWNER_BITS: u32 = 0o077;

/// A secret key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    /// Writes the key's id only, never the key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Key({:02x?})", self.id())
    }
}

impl Key {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Key {
        Key(bytes)
    }

    /// The id by which messages name the key. It is a hash, which doesn't reveal the key.
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

    /// Computes the HMAC-SHA256 (RFC 2104) of some parts, each of them preceded by its length.
    pub(super) fn mac(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        self.mac_of(parts).finalize().into_bytes().into()
    }

    /// Whether `mac` is the parts' MAC or a prefix of it, compared in constant time.
    pub(super) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac_of(parts).verify_truncated_left(mac).is_ok()
    }

    /// Derives a key from this one and the parts.
    pub(super) fn derive(&self, parts: &[&[u8]]) -> Key {
        Key(self.mac(parts))
    }
}

/// The keys in use: the first one authenticates this side, and all are accepted from the other side.
#[derive(Clone, Debug)]
pub struct Keys(Vec<Key>);

/// Why keys can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file can't be read or written.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
    /// Users other than the owner have access to the file.
    #[error("{path}: users other than its owner have access to it (mode {1:03o}): chmod 600", path = .0.display())]
    Permissions(PathBuf, u32),
    /// A line is not a valid key.
    #[error("{path}:{1}: no key: expected 64 hex digits", path = .0.display())]
    Line(PathBuf, usize),
    /// There are no keys, or too many.
    #[error("{path}: {1} keys: expected one, or two while the key is being rotated", path = .0.display())]
    Count(PathBuf, usize),
}

fn parse_key(line: &str) -> Option<Key> {
    let mut key = [0; KEY_BYTES];
    hex::decode_to_slice(line, &mut key).ok()?;
    Some(Key(key))
}

/// Writes a new key file that begins with a comment line.
fn write(path: &Path, comment: &str, keys: &[Key]) -> Result<(), KeyError> {
    let io_error = |error| KeyError::Io(path.to_owned(), error);
    let mut options = OpenOptions::new();
    let mut file = options.write(true).create_new(true).mode(KEY_FILE_MODE).open(path).map_err(io_error)?;
    writeln!(file, "{comment}").map_err(io_error)?;
    keys.iter().try_for_each(|key| writeln!(file, "{}", hex::encode(key.0))).map_err(io_error)?;
    file.sync_all().map_err(io_error)
}

impl Keys {
    /// Creates a set of keys, of which the first is used by this side and both are accepted.
    pub fn new(first: Key, other: Option<Key>) -> Keys {
        Keys([first].into_iter().chain(other).collect())
    }

    /// Reads a key file, with a key on each line. Empty lines, and lines that begin with `#`, are ignored. Only the
    /// file's owner may have access to it.
    ///
    /// # Errors
    /// If the file can't be read, is accessible to other users, or has an invalid line or a wrong number of keys.
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

    /// Writes a new key file with a random key. Only the file's owner has access to it.
    ///
    /// # Errors
    /// If the file exists, or can't be written.
    pub fn generate(path: &Path) -> Result<(), KeyError> {
        let mut key = [0; KEY_BYTES];
        let filled = getrandom::fill(&mut key);
        filled.map_err(|error| KeyError::Io(path.to_owned(), io::Error::other(error.to_string())))?;
        write(path, "# The key that all members of a store share.", &[Key(key)])
    }

    /// Derives the subscribers' keys. They allow a node to follow the committed state, and nothing else.
    pub fn subscriber_keys(&self) -> Keys {
        Keys(self.0.iter().map(|key| key.derive(&[b"stonefold subscriber"])).collect())
    }

    /// Derives the keys of the nodes' gossip membership. The first one is used, all are accepted.
    pub fn membership_keys(&self) -> Vec<[u8; KEY_BYTES]> {
        self.0.iter().map(|key| key.derive(&[b"stonefold membership"]).0).collect()
    }

    /// Writes a new key file with the subscribers' keys. Only the file's owner has access to it.
    ///
    /// # Errors
    /// If the file exists, or can't be written.
    pub fn write_subscriber_keys(&self, path: &Path) -> Result<(), KeyError> {
        write(path, "# The key of a store's subscribers.", &self.subscriber_keys().0)
    }

    /// These keys, followed by the subscribers' keys that are derived from them.
    pub(super) fn with_subscriber_keys(&self) -> Keys {
        Keys(self.0.iter().cloned().chain(self.subscriber_keys().0).collect())
    }

    pub(super) fn contains(&self, key: &Key) -> bool {
        self.0.contains(key)
    }

    pub(super) fn first(&self) -> &Key {
        &self.0[0]
    }

    /// Returns the key with this id.
    pub(super) fn find(&self, id: &[u8]) -> Option<&Key> {
        self.0.iter().find(|key| key.id() == id)
    }
}
