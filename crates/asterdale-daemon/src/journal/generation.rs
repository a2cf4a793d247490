//! Notifies the journal of the generations of this process's name that the fleet knows, so that the journal detects an
//! outdated directory.

use std::sync::atomic::{AtomicU64, Ordering};

use asterdale_journal::{Journal, JournalCommand};
use asterdale_membership::Event;

/// Passes the generations in membership events to the journal. Used by the membership thread only.
pub struct GenerationRecorder {
    journal: Journal,
    /// The highest generation that the fleet remembered before this process joined.
    prior_generation: AtomicU64,
}

impl GenerationRecorder {
    /// Returns a recorder for this journal.
    pub fn new(journal: Journal) -> GenerationRecorder {
        GenerationRecorder {
            journal,
            prior_generation: 0.into(),
        }
    }

    /// Records a membership event. Events arrive in order: the prior generation before the join.
    pub fn record(&self, event: &Event) {
        match event {
            Event::PriorGeneration(generation) => {
                self.prior_generation.store(*generation, Ordering::Relaxed);
            }
            Event::Joined(generation) => self.journal.send(JournalCommand::Joined {
                generation: *generation,
                remembered: self.prior_generation.load(Ordering::Relaxed),
            }),
            Event::Rejoined(generation) => {
                self.journal
                    .send(JournalCommand::GenerationChanged(*generation));
            }
            Event::Superseded(_) => self.journal.send(JournalCommand::Superseded),
            _ => {}
        }
    }
}
