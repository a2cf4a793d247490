//! The engine's part of replicated ownership of keyed requests. The ownership replicas ([`asterdale_ownership`]) agree
//! on the process that owns a request. Admission and scheduling are decided by the policies, also for requests that are
//! taken over.
//!
//! A keyed request that this process does not know is looked up at the replicas before the policies see it
//! ([`lookup`]), so that a retry on any backend joins the earlier run or gets its result ([`remote`]). The request is
//! claimed when the policies start it, and starts once this process has the claim's fence ([`claims`]). Its reply is
//! sent when its outcome is replicated ([`outcomes`]). Requests whose owner has ended are taken over ([`takeover`]); a
//! draining process hands off the tasks that it has not started ([`handoff`]).

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
