//! Digests of customers' API keys, and the fleet keys with which daemons authenticate to each other.
//!
//! The entry replaces a customer's key by its digest and drops the key, so that it reaches no log,
//! metric, envelope or backend server. docs/OPERATIONS.md, "Keys", describes how keys are granted and
//! withdrawn.

use std::fmt;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// Prefix of a digest's hexadecimal digits in the document.
const PREFIX: &str = "blake3:";

/// The BLAKE3 digest of a customer's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key, or of any other bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Parses a digest as written in the document: `blake3:` followed by 64 hexadecimal digits. Returns
    /// `None` for any other text.
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

/// A random challenge, or the keyed hash that answers one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof([u8; 32]);

impl Proof {
    /// Creates a random challenge.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

/// The keys that the daemons of one fleet share. Each of them is accepted, so that a key can be rotated
/// while two are in use. A fleet on a network that is closed to others may have no key.
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
    /// Derives the keys from the secrets in the settings. Proofs are made with the first key, and
    /// verified with all of them.
    pub fn derive(secrets: &[String]) -> Self {
        let derive =
            |secret: &String| blake3::derive_key("gypsumtack fleet key 1", secret.as_bytes());
        Self { keys: secrets.iter().map(derive).collect() }
    }

    /// Returns the proof for `challenge` that this end knows the secret. `role` names the end that
    /// makes the proof, so that the proof cannot be reflected back to that end.
    pub fn prove(&self, challenge: &Proof, role: &[u8]) -> Proof {
        Proof(self.keys.first().map_or([0; 32], |key| mac(key, challenge, role)))
    }

    /// Whether `proof` is valid for `challenge` and `role`. Without a secret every proof is valid.
    pub fn verify(&self, proof: &Proof, challenge: &Proof, role: &[u8]) -> bool {
        let matches_key = |key| blake3::Hash::from_bytes(mac(key, challenge, role)) == proof.0;
        self.keys.is_empty() || self.keys.iter().any(matches_key)
    }
}

fn mac(key: &[u8; 32], challenge: &Proof, role: &[u8]) -> [u8; 32] {
    *blake3::keyed_hash(key, &[&challenge.0, role].concat()).as_bytes()
}
