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

pub mod failpoint;
pub mod fleet;
pub mod health;
pub mod message;
pub mod news;
pub mod record;
pub mod seal;
pub mod suspicion;
pub mod terms;
pub mod view;

pub use fleet::{Action, Change, Counts, Event, Fleet, Start};
pub use record::{Notes, Phase, Record, Status};
pub use terms::Terms;
pub use view::{Seen, View};
