//! Tests of several replicas and owners on a simulated network.

mod durable_replicas;
mod failures;
mod network;
mod random_faults;
