//! Splits an answer of the store into rows, so that an odd one hides no other.
//!
//! Other programs write to the same store. Each row, and each field of it, is therefore decoded on its
//! own: a value that is nested too deeply, has another type or a number that fits no type, or is not
//! UTF-8 makes only its own row unreadable.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// A part of an answer that is not decoded yet.
pub type Raw<'a> = &'a RawValue;

/// A row of an answer that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableRow {
    /// The key, as far as it can be read.
    pub key: String,
    /// The version, or 0 if it cannot be read.
    pub version: u64,
    /// What is wrong with the row.
    pub problem: String,
}

/// Returns the text of an answer. Bytes that are not UTF-8 are replaced, since they may stand in a single
/// row.
pub fn text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}

/// Splits a row into its fields, which `T` holds as [`Raw`].
///
/// # Errors
///
/// Returns an error for a row that is no object or has a field twice.
pub fn fields<'a, T: Deserialize<'a>>(row: Raw<'a>) -> Result<T, String> {
    if !row.get().starts_with('{') {
        return Err("it is no object".to_owned());
    }
    serde_json::from_str(row.get()).map_err(|error| error.to_string())
}

/// Decodes a field of a row. Returns `None` if the field is missing.
///
/// # Errors
///
/// Returns an error for a field of another type.
pub fn field<T: DeserializeOwned>(name: &str, raw: Option<Raw<'_>>) -> Result<Option<T>, String> {
    let decoded = raw.map(|raw| serde_json::from_str(raw.get())).transpose();
    decoded.map_err(|error| format!("{name}: {error}"))
}

/// Serializes the value of a row as a string where the row itself is written as JSON.
pub(crate) mod value {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(value: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&String::from_utf8_lossy(value))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        String::deserialize(from).map(Bytes::from)
    }
}
