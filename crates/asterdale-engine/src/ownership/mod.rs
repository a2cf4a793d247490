//! Replicated ownership of keyed requests, as the engine uses it. Which process owns a request is agreed by the
//! ownership replicas ([`asterdale_ownership`]); admission and scheduling stay with the policies, for requests that are
//! taken over as for all others.
//!
//! A keyed request that is unknown here is looked up before the policies see it ([`lookup`]), so that a repeat on any
//! backend joins it or gets its result ([`remote`]). It is claimed when the policies start it, and starts once this
//! process holds the claim's fence ([`claims`]). Its reply leaves when its outcome is replicated ([`outcomes`]).
//! Requests whose owner is gone are taken over ([`takeover`]); a draining process hands off what it has not started
//! ([`handoff`]).

mod answers;
mod claims;
mod handoff;
mod lookup;
mod outcomes;
mod record;
mod remote;
mod table;
mod takeover;
mod tick;

pub use record::OwnedTask;
pub use table::OwnershipTable;
