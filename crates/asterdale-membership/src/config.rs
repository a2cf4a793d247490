//! The configuration with which a process starts.

use std::net::SocketAddr;

use crate::settings::Settings;

/// Identity, seeds, key and settings of a starting process.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The process's name, unique in the fleet.
    pub name: String,
    /// The address at which the other members reach it.
    pub address: SocketAddr,
    /// The last generation of this name that the process itself knows; 0 if it knows none.
    pub last_generation: u64,
    /// A random number that no other process has drawn. It distinguishes processes that took the same generation.
    pub nonce: u64,
    /// Addresses of members through which the process joins.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's shared key for message authentication.
    pub key: Vec<u8>,
    /// Timers and limits. All members must use the same values.
    pub settings: Settings,
    /// Seed of the random number generator.
    pub random_seed: u64,
}
