//! Encoding of values that are stored, or embedded in other messages.
use crate::net::rpc::error::RpcError;
use crate::net::rpc::layout::MIN_STRUCTURE_BYTE;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

/// Encodes a value.
///
/// # Panics
/// If the type can't be encoded, which is a programming error. Returning empty bytes instead could
/// write them to a disk or send them to another controller.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    match rmp_serde::to_vec(value) {
        Ok(bytes) => bytes,
        Err(e) => panic!("encoding a value failed: {e}"),
    }
}

/// Decodes a value.
///
/// # Errors
/// `InvalidData` with an [`RpcError`] as its source if the bytes can't be decoded or begin with a
/// layout number. Values of this release always begin with a structure, which lets later releases
/// put a layout number first.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    if let Some(layout) = bytes.first().filter(|byte| **byte < MIN_STRUCTURE_BYTE) {
        return Err(RpcError::UnsupportedValueLayout(*layout).into());
    }
    rmp_serde::from_slice(bytes).map_err(|e| RpcError::UndecodableValue(e).into())
}
