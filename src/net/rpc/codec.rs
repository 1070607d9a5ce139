//! Values as bytes, for what is stored or sent inside of other messages.
use crate::net::rpc::error::RpcError;
use crate::net::rpc::layout::LAYOUT_LIMIT;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;

/// Encodes a value.
///
/// # Panics
/// If the type has no encoding, which is a fault of the program. An empty value must not reach a disk
/// or another controller in its place.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    match rmp_serde::to_vec(value) {
        Ok(bytes) => bytes,
        Err(e) => panic!("a value without an encoding: {e}"),
    }
}

/// Decodes a value.
///
/// # Errors
/// `InvalidData` with an [`RpcError`] as its source if the bytes are no such value, or begin with a
/// layout number: values of this release begin with a structure, so that later ones can put the
/// number of their layout first.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    if let Some(layout) = bytes.first().filter(|byte| **byte < LAYOUT_LIMIT) {
        return Err(RpcError::UnsupportedValueLayout(*layout).into());
    }
    rmp_serde::from_slice(bytes).map_err(|e| RpcError::UndecodableValue(e).into())
}
