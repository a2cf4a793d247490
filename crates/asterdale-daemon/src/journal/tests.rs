//! The names under which a replica's metadata is stored. The fixture of the journal's package was written with them; a
//! release that uses other names would not find the metadata of earlier releases.

use super::replica::{HARD_STATE, IDENTITY, SNAPSHOT};

#[test]
fn replica_metadata_is_stored_under_these_names() {
    assert_eq!([IDENTITY, HARD_STATE, SNAPSHOT], ["face", "hard", "whole"]);
}
