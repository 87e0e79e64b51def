//! Customers' keys as digests, and the fleet key that authenticates daemons to each other.
//!
//! A customer's key is digested at entry and then dropped: no log, metric, envelope or backend server
//! sees it. docs/OPERATIONS.md, "Keys", tells how a key is granted and withdrawn.

use std::fmt;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// What stands before the hexadecimal digits of a digest in the document.
const PREFIX: &str = "blake3:";

/// The digest of a customer's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digests a key, or any other bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Reads the form that stands in the document: `blake3:` and 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text.strip_prefix(PREFIX)?).ok()?;
        Some(Self(*hash.as_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}", blake3::Hash::from_bytes(self.0).to_hex())
    }
}

/// A challenge, or the proof that answers one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof([u8; 32]);

impl Proof {
    /// Draws a challenge.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

/// The keys that daemons of one fleet share. Two are accepted, so that one can be rotated. A fleet on a
/// network that keeps everyone else out may have none.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<[u8; 32]>,
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetKeys({})", self.keys.len())
    }
}

impl FleetKeys {
    /// Derives keys from the secrets in the settings. The first one signs; all are accepted.
    pub fn derive(secrets: &[String]) -> Self {
        let derive =
            |secret: &String| blake3::derive_key("gypsumtack fleet key 1", secret.as_bytes());
        Self { keys: secrets.iter().map(derive).collect() }
    }

    /// Proves to whoever sent `challenge` that this end knows the secret. `role` keeps one end's proof
    /// from being sent back to it.
    pub fn prove(&self, challenge: &Proof, role: &[u8]) -> Proof {
        Proof(self.keys.first().map_or([0; 32], |key| mac(key, challenge, role)))
    }

    /// Whether `proof` answers `challenge`. Without a secret every proof does.
    pub fn proves(&self, proof: &Proof, challenge: &Proof, role: &[u8]) -> bool {
        let fits = |key| blake3::Hash::from_bytes(mac(key, challenge, role)) == proof.0;
        self.keys.is_empty() || self.keys.iter().any(fits)
    }
}

fn mac(key: &[u8; 32], challenge: &Proof, role: &[u8]) -> [u8; 32] {
    *blake3::keyed_hash(key, &[&challenge.0, role].concat()).as_bytes()
}
