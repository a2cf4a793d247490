//! Authentication and authorization with real tokens and key sets.

mod authentication;
mod certificates;
mod revocation;
mod settings;
mod state_transfer;
mod support;
