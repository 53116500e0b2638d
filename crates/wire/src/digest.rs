//! SHA-256 digests of keys and bodies, and HMAC authentication of peers.

use std::fmt::Write;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::Result;
use crate::error::Code;

const HEX_DIGITS: usize = 64;

/// Returns the SHA-256 digest of `bytes` in lower-case hexadecimal.
///
/// ```
/// let digest = almondbank_wire::digest::sha256(b"key");
/// assert_eq!(digest.len(), 64);
/// ```
#[must_use]
pub fn sha256(bytes: impl AsRef<[u8]>) -> String {
    hex(&Sha256::digest(bytes.as_ref()))
}

/// Returns the HMAC-SHA256 (RFC 2104) of `nonce` under `secret` in lower-case
/// hexadecimal.
#[must_use]
pub fn proof(secret: &str, nonce: &str) -> String {
    let tag = mac(secret, nonce).finalize().into_bytes();
    hex(&tag)
}

/// Returns whether `proof` is the HMAC-SHA256 of `nonce` under `secret`; compares in
/// constant time.
#[must_use]
pub fn verify(secret: &str, nonce: &str, proof: &str) -> bool {
    let Some(tag) = unhex(proof) else {
        return false;
    };
    mac(secret, nonce).verify_slice(&tag).is_ok()
}

/// Parses a hexadecimal SHA-256 digest and converts it to lower case.
///
/// # Errors
///
/// Fails if `text` is not 64 hexadecimal digits.
pub fn parse(text: &str) -> Result<String> {
    let valid = text.len() == HEX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    if valid {
        Ok(text.to_ascii_lowercase())
    } else {
        Err(Code::Digest.into())
    }
}

fn mac(secret: &str, nonce: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(nonce.as_bytes());
    mac
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
