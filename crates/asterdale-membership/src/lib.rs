//! A view of the fleet, kept by its processes themselves, without I/O and clock: datagrams, exchanges and times come
//! in; datagrams, exchanges and events go out, and when to be woken next. In the manner of SWIM (Das, Gupta and
//! Motivala, 2002) with Lifeguard (Dadgar, Phillips and Currey, 2018); `docs/fleet-view.md` weighs the ways, and says
//! what is added: generations that are learned from those who remember, the dead who are asked again, twins under
//! one name, and a word on how sure a process may be of its view.
//!
//! **A view is a hint and never a lock.** No two processes need have the same one at any moment.
//!
//! Floors, from below: [`record`] (what is known of a process, and which of two words on it holds), [`message`] and
//! [`seal`] (bytes), [`health`], [`suspicion`] and [`news`] (one rule each), [`view`] (the table), [`fleet`] (the state
//! machine).

pub mod authentication;
pub mod counters;
pub mod failpoint;
pub mod gossip_queue;
pub mod local_health;
pub mod message;
pub mod record;
pub mod settings;
pub mod state_machine;
pub mod suspicion;
pub mod view;

pub use counters::Counters;
pub use record::{MemberRecord, Metadata, Phase, Status};
pub use settings::Settings;
pub use state_machine::{Action, Event, MemberChange, Membership, MembershipConfig};
pub use view::{MemberEntry, View};
