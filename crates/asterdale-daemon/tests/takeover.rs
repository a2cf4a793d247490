//! The proof of takeover in its short form, beside no other: nine processes want the machine for themselves.
#![cfg(feature = "fleet")]

use std::sync::{Mutex, PoisonError};

use asterdale_testkit::proofs::{takeover, ProofConfig};

/// One at a time.
static ONE: Mutex<()> = Mutex::new(());

#[test]
fn work_in_hand_survives_owners_and_keepers_and_no_key_has_its_effect_twice() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let proof = ProofConfig {
        seed: 17,
        seconds: 0,
        failpoint: None,
    };
    let config = takeover::Config {
        proof,
        members: 9,
        ownership_replicas: 3,
        rate: 120.0,
        rounds: 1,
        has_journal: false,
    };
    let figures = takeover::prove(&config).unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}

#[cfg(feature = "journal")]
#[test]
fn everybody_may_be_killed_at_once_where_keepers_have_disks() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let proof = ProofConfig {
        seed: 17,
        seconds: 0,
        failpoint: None,
    };
    let config = takeover::Config {
        proof,
        members: 9,
        ownership_replicas: 3,
        rate: 120.0,
        rounds: 1,
        has_journal: true,
    };
    let figures = takeover::prove(&config).unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}
