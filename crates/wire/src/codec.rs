//! CBOR encoding of the messages between instances.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Result;
use crate::error::Code;

/// Encodes `message`.
///
/// # Panics
///
/// Never: messages hold only types that CBOR can carry.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages encode as CBOR");
    bytes
}

/// Decodes one message.
///
/// # Errors
///
/// Fails if the bytes are not exactly one message.
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
