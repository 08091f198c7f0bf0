//! The key that all members share; two of them while it is changed.

use std::fmt;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// A key: 32 random bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

/// A MAC's length in bytes.
pub const MAC: usize = 32;

impl fmt::Debug for Key {
    /// Its name alone.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({:02x?})", self.name())
    }
}

impl Key {
    /// A key of these bytes.
    pub fn new(bytes: [u8; 32]) -> Key {
        Key(bytes)
    }

    /// What it is called on the wire, which tells nothing of it.
    pub(super) fn name(&self) -> [u8; 8] {
        let digest = Sha256::new().chain_update(b"stonefold key name").chain_update(self.0).finalize();
        let mut name = [0; 8];
        name.copy_from_slice(&digest[..8]);
        name
    }

    fn state(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        // Any length of key will do.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("a key of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }

    /// The HMAC-SHA256 (RFC 2104) of some parts, each with its length before it.
    pub(super) fn mac(&self, parts: &[&[u8]]) -> [u8; MAC] {
        self.state(parts).finalize().into_bytes().into()
    }

    /// Whether this is the beginning of the parts' MAC, found out in constant time.
    pub(super) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.state(parts).verify_truncated_left(mac).is_ok()
    }

    /// A key for one connection.
    pub(super) fn derive(&self, parts: &[&[u8]]) -> Key {
        Key(self.mac(parts))
    }
}

/// The keys in force: the first is used, both are believed.
#[derive(Clone, Debug)]
pub struct Keys(Vec<Key>);

/// Why keys can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
    /// Others may read it.
    #[error("{path}: others may read it (mode {1:03o}): chmod 600", path = .0.display())]
    Open(PathBuf, u32),
    /// A line is no key.
    #[error("{path}:{1}: no key: expected 64 hex digits", path = .0.display())]
    Line(PathBuf, usize),
    /// Too few or too many.
    #[error("{path}: {1} keys: expected one, or two while the key is changed", path = .0.display())]
    Number(PathBuf, usize),
}

fn key(line: &str) -> Option<Key> {
    let mut key = [0; 32];
    hex::decode_to_slice(line, &mut key).ok()?;
    Some(Key(key))
}

fn write(path: &Path, about: &str, keys: &[Key]) -> Result<(), KeyError> {
    let io = |error| KeyError::Io(path.to_owned(), error);
    let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path).map_err(io)?;
    writeln!(file, "{about}").map_err(io)?;
    keys.iter().try_for_each(|key| writeln!(file, "{}", hex::encode(key.0))).map_err(io)?;
    file.sync_all().map_err(io)
}

impl Keys {
    /// These keys, the first of which is used.
    pub fn new(first: Key, other: Option<Key>) -> Keys {
        Keys([first].into_iter().chain(other).collect())
    }

    /// The keys of a file: one to a line, `#` before a remark; nobody but its owner may read it.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn read(path: &Path) -> Result<Keys, KeyError> {
        let io = |error| KeyError::Io(path.to_owned(), error);
        let mode = fs::metadata(path).map_err(io)?.permissions().mode() & 0o777;
        if mode & 0o077 != 0 {
            return Err(KeyError::Open(path.to_owned(), mode));
        }
        let text = fs::read_to_string(path).map_err(io)?;
        let lines = text.lines().map(str::trim).enumerate();
        let said = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let keys = said.map(|(n, line)| key(line).ok_or_else(|| KeyError::Line(path.to_owned(), n + 1)));
        let keys: Vec<Key> = keys.collect::<Result<_, _>>()?;
        match keys.len() {
            1 | 2 => Ok(Keys(keys)),
            number => Err(KeyError::Number(path.to_owned(), number)),
        }
    }

    /// Writes a new file with a random key, for its owner alone.
    ///
    /// # Errors
    /// If there is one, or it can't be written.
    pub fn make(path: &Path) -> Result<(), KeyError> {
        let mut key = [0; 32];
        let drawn = getrandom::fill(&mut key);
        drawn.map_err(|error| KeyError::Io(path.to_owned(), io::Error::other(error.to_string())))?;
        write(path, "# The key that all members of a store share.", &[Key(key)])
    }

    /// The keys of subscribers, which follow from these, and from which these don't: with them a node may follow what is
    /// committed, and do nothing else.
    pub fn of_subscribers(&self) -> Keys {
        Keys(self.0.iter().map(|key| key.derive(&[b"stonefold subscriber"])).collect())
    }

    /// Keys for the nodes' membership, which follow from these, and from which these don't: as bytes, the first of which
    /// is used.
    pub fn of_membership(&self) -> Vec<[u8; 32]> {
        self.0.iter().map(|key| key.derive(&[b"stonefold membership"]).0).collect()
    }

    /// Writes a new file with the keys of subscribers, for its owner alone.
    ///
    /// # Errors
    /// If there is one, or it can't be written.
    pub fn make_subscribers(&self, path: &Path) -> Result<(), KeyError> {
        write(path, "# The key of a store's subscribers.", &self.of_subscribers().0)
    }

    pub(super) fn with_subscribers(&self) -> Keys {
        Keys(self.0.iter().cloned().chain(self.of_subscribers().0).collect())
    }

    pub(super) fn has(&self, key: &Key) -> bool {
        self.0.contains(key)
    }

    pub(super) fn first(&self) -> &Key {
        &self.0[0]
    }

    pub(super) fn named(&self, name: &[u8]) -> Option<&Key> {
        self.0.iter().find(|key| key.name() == name)
    }
}
