//! CBOR codec (RFC 8949) for the messages between instances.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Result;
use crate::error::Code;

/// Encodes `message` as CBOR.
///
/// # Panics
///
/// Never, because messages contain only types that CBOR can represent.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("message types are representable in CBOR");
    bytes
}

/// Decodes one CBOR message.
///
/// # Errors
///
/// Fails if `bytes` is not a valid message or continues after its end.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let mut rest = bytes;
    let message =
        ciborium::from_reader(&mut rest).map_err(|error| Code::Cbor(error.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(Code::Cbor(format!("{} bytes left over", rest.len())).into())
    }
}
