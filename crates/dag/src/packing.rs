//! What a run is asked for, small enough to be sent and kept: JSON, deflated, as text.

use crate::run::Asked;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256};

/// Bytes that a packed text may become.
pub const MOST_BYTES: usize = 1 << 20;
const LEVEL: u8 = 8;

pub fn pack(asked: &Asked) -> String {
    let json = serde_json::to_vec(asked).unwrap_or_default();
    STANDARD.encode(miniz_oxide::deflate::compress_to_vec(&json, LEVEL))
}

pub fn unpack(text: &str) -> Result<Asked, String> {
    let bytes = STANDARD.decode(text).map_err(|e| e.to_string())?;
    let json = miniz_oxide::inflate::decompress_to_vec_with_limit(&bytes, MOST_BYTES)
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(&json).map_err(|e| e.to_string())
}

/// The same from its pieces; `None` where one of them is not there.
pub fn unpack_pieces<'a>(
    pieces: u32,
    piece: impl Fn(u32) -> Option<&'a str>,
) -> Option<Result<Asked, String>> {
    let text: Option<String> = (0..pieces).map(piece).collect();
    Some(unpack(&text?))
}

/// A short name for a packed text.
pub fn hash(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().take(8).map(|b| format!("{b:02x}")).collect()
}

/// The text in pieces of so many bytes; it is ASCII.
pub fn pieces(text: &str, bytes: usize) -> Vec<String> {
    let chunks = text.as_bytes().chunks(bytes.max(1));
    chunks
        .map(|c| String::from_utf8_lossy(c).into_owned())
        .collect()
}
