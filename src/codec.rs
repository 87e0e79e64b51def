//! Encoding of the messages between daemons: postcard, with HTTP types as strings, numbers and bytes.

use std::io;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Encodes and decodes frames with postcard.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> io::Result<Bytes> {
        encode(item)
    }
}

impl<T: DeserializeOwned> Deserializer<T> for Postcard {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<T> {
        decode(frame)
    }
}

/// Encodes one message.
///
/// # Errors
///
/// Returns an error of the kind `InvalidData` if postcard cannot represent the message.
pub fn encode<T: Serialize>(message: &T) -> io::Result<Bytes> {
    postcard::to_stdvec(message).map(Bytes::from).map_err(invalid)
}

/// Decodes one message.
///
/// # Errors
///
/// Returns an error of the kind `InvalidData` if the bytes do not encode a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(invalid)
}

fn invalid(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Serializes a method as its name.
pub(crate) mod method {
    use http::Method;
    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(
        method: &Method,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(method.as_str())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Method, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// Serializes a URI as the text of its path and query. Scheme and authority are left out.
pub(crate) mod uri {
    use http::Uri;
    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(uri: &Uri, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(uri.path_and_query().map_or("/", |target| target.as_str()))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Uri, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// Serializes a status as its number.
pub(crate) mod status {
    use http::StatusCode;
    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(
        status: &StatusCode,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(status.as_u16())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<StatusCode, D::Error> {
        StatusCode::from_u16(u16::deserialize(deserializer)?).map_err(D::Error::custom)
    }
}

/// Serializes headers as a sequence of pairs of name and value, with the values as bytes.
pub(crate) mod headers {
    use bytes::Bytes;
    use http::{HeaderMap, HeaderName, HeaderValue};
    use serde::de::Error as _;
    use serde::ser::SerializeSeq;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(
        headers: &HeaderMap,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut pairs = serializer.serialize_seq(Some(headers.len()))?;
        for (name, value) in headers {
            pairs.serialize_element(&(name.as_str(), Bytes::from_owner(value.clone())))?;
        }
        pairs.end()
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<HeaderMap, D::Error> {
        let pairs = Vec::<(String, Bytes)>::deserialize(deserializer)?;
        let mut headers = HeaderMap::with_capacity(pairs.len());
        for (name, value) in pairs {
            let name: HeaderName = name.parse().map_err(D::Error::custom)?;
            let value = HeaderValue::from_maybe_shared(value).map_err(D::Error::custom)?;
            headers.append(name, value);
        }
        Ok(headers)
    }
}
