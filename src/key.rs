//! Customers' keys as digests, and the fleet key that authenticates daemons to each other.
//!
//! A customer's key is digested at entry and then dropped: no log, metric, envelope or backend server
//! sees it. docs/OPERATING.md, "Keys", tells how a key is granted and withdrawn.

use std::fmt;

use serde::de::DeserializeOwned;
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

/// Bytes of a message with the code that authenticates them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sealed {
    body: bytes::Bytes,
    mac: [u8; 32],
}

/// The keys that daemons of one fleet share. Two are accepted, so that one can be rotated.
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

    /// Encodes and signs a message.
    pub fn seal<T: Serialize>(&self, message: &T) -> Sealed {
        let body = postcard::to_stdvec(message).unwrap_or_default();
        let mac = self.keys.first().map_or([0; 32], |key| mac(key, &body));
        Sealed { body: body.into(), mac }
    }

    /// Checks and decodes a message; `None` when it is forged or malformed.
    pub fn open<T: DeserializeOwned>(&self, sealed: &Sealed) -> Option<T> {
        let matches = |key| blake3::Hash::from_bytes(mac(key, &sealed.body)) == sealed.mac;
        if !self.keys.iter().any(matches) {
            return None;
        }
        postcard::from_bytes(&sealed.body).ok()
    }

    /// Like [`Self::seal`], as text that fits a header.
    pub fn seal_text<T: Serialize>(&self, message: &T) -> String {
        use base64::Engine as _;
        let sealed = self.seal(message);
        let mut bytes = sealed.mac.to_vec();
        bytes.extend_from_slice(&sealed.body);
        base64::engine::general_purpose::URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Like [`Self::open`], from the text of a header.
    pub fn open_text<T: DeserializeOwned>(&self, text: &[u8]) -> Option<T> {
        use base64::Engine as _;
        let bytes = base64::engine::general_purpose::URL_SAFE_NO_PAD.decode(text).ok()?;
        let (mac, body) = bytes.split_first_chunk::<32>()?;
        self.open(&Sealed { body: bytes::Bytes::copy_from_slice(body), mac: *mac })
    }
}

fn mac(key: &[u8; 32], body: &[u8]) -> [u8; 32] {
    *blake3::keyed_hash(key, body).as_bytes()
}
