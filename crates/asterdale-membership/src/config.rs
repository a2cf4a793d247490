//! What a process needs to know about itself and its fleet when it starts.

use std::net::SocketAddr;

use crate::settings::Settings;

/// Identity, seeds, key and settings of a starting process.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The process's name, unique in the fleet.
    pub name: String,
    /// The address at which the others reach it.
    pub address: SocketAddr,
    /// The last generation that the process itself remembers; 0 if it remembers none.
    pub last_generation: u64,
    /// A random number that no other process has drawn. It distinguishes processes that took the same generation.
    pub nonce: u64,
    /// Addresses of members through which the process joins.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's shared key for message authentication.
    pub key: Vec<u8>,
    /// Timers and limits. All members must have the same.
    pub settings: Settings,
    /// Seed of the random number generator.
    pub random_seed: u64,
}
