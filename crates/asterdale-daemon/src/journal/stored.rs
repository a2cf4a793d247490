//! The names under which a keeper's facts are stored: the fixture of the journal's package was left under them, and a
//! release that looks under others would find nothing.

use super::replica::{HARD_STATE, IDENTITY, SNAPSHOT};

#[test]
fn a_keepers_facts_are_stored_under_these_names() {
    assert_eq!([IDENTITY, HARD_STATE, SNAPSHOT], ["face", "hard", "whole"]);
}
