//! Encodings of the wire types: JSON for the platform and operators, CBOR between gateways.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes `value` as JSON text.
///
/// # Errors
///
/// Returns the error of the serializer, which does not occur with the wire types of this crate.
pub fn to_json<T: Serialize>(value: &T) -> Result<String, serde_json::Error> {
    serde_json::to_string(value)
}

/// Decodes JSON text.
///
/// # Errors
///
/// Returns the position and the reason if the text is not JSON or does not match the type.
pub fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, serde_json::Error> {
    serde_json::from_str(text)
}

/// Encodes `value` as CBOR.
///
/// # Errors
///
/// Returns the error of the serializer, which does not occur with the wire types of this crate.
pub fn to_cbor<T: Serialize>(value: &T) -> Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf)?;
    Ok(buf)
}

/// Decodes CBOR.
///
/// # Errors
///
/// Returns the reason if the bytes are not CBOR or do not match the type.
pub fn from_cbor<T: DeserializeOwned>(
    buf: &[u8],
) -> Result<T, ciborium::de::Error<std::io::Error>> {
    ciborium::from_reader(buf)
}
