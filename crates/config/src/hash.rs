//! FNV-1a hashes of names.

use harrierdock_types::GossipId;

const FNV1A_64_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV1A_64_PRIME: u64 = 0x0000_0100_0000_01b3;
const FNV1A_32_OFFSET: u32 = 0x811c_9dc5;
const FNV1A_32_PRIME: u32 = 0x0100_0193;

/// Computes the 64-bit FNV-1a hash of a text.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV1A_64_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV1A_64_PRIME)
    })
}

/// Computes an endpoint's gossip id: the 32-bit FNV-1a hash of its name, folded to 16 bits.
///
/// All gateways of a fleet must compute the same id, so this function must not change.
pub fn gossip_id(name: &str) -> GossipId {
    let hash = name.bytes().fold(FNV1A_32_OFFSET, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV1A_32_PRIME)
    });
    GossipId((hash ^ (hash >> 16)) as u16)
}
