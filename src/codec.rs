//! How messages between daemons are written: postcard, with HTTP's types as plain bytes.

use std::io;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::{Deserializer, Serializer};

/// Writes and reads frames with postcard.
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

/// Writes one message.
///
/// # Errors
///
/// Returns an error when the message cannot be written in this format.
pub fn encode<T: Serialize>(message: &T) -> io::Result<Bytes> {
    postcard::to_stdvec(message).map(Bytes::from).map_err(invalid)
}

/// Reads one message.
///
/// # Errors
///
/// Returns an error when the bytes are not such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(invalid)
}

fn invalid(error: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// A method as its name.
pub(crate) mod method {
    use http::Method;
    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(method: &Method, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(method.as_str())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Method, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

/// Path and query as text.
pub(crate) mod uri {
    use http::Uri;
    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(uri: &Uri, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(uri.path_and_query().map_or("/", |target| target.as_str()))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Uri, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

/// A status as its number.
pub(crate) mod status {
    use http::StatusCode;
    use serde::de::Error as _;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(status: &StatusCode, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u16(status.as_u16())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<StatusCode, D::Error> {
        StatusCode::from_u16(u16::deserialize(from)?).map_err(D::Error::custom)
    }
}

/// Headers as pairs of bytes, in order.
pub(crate) mod headers {
    use bytes::Bytes;
    use http::{HeaderMap, HeaderName, HeaderValue};
    use serde::de::Error as _;
    use serde::ser::SerializeSeq;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(headers: &HeaderMap, to: S) -> Result<S::Ok, S::Error> {
        let mut pairs = to.serialize_seq(Some(headers.len()))?;
        for (name, value) in headers {
            pairs.serialize_element(&(name.as_str(), Bytes::from_owner(value.clone())))?;
        }
        pairs.end()
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<HeaderMap, D::Error> {
        let pairs = Vec::<(String, Bytes)>::deserialize(from)?;
        let mut headers = HeaderMap::with_capacity(pairs.len());
        for (name, value) in pairs {
            let name: HeaderName = name.parse().map_err(D::Error::custom)?;
            let value = HeaderValue::from_maybe_shared(value).map_err(D::Error::custom)?;
            headers.append(name, value);
        }
        Ok(headers)
    }
}
