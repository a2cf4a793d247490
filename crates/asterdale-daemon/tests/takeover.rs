//! Short runs of the takeover proof, in a test binary of their own: nine processes must not share the machine with other
//! tests.
#![cfg(feature = "fleet")]

use std::sync::{Mutex, PoisonError};

use asterdale_testkit::proofs::{takeover, ProofConfig};

/// Serializes the proofs.
static ONE: Mutex<()> = Mutex::new(());

#[test]
fn work_in_hand_survives_owners_and_keepers_and_no_key_has_its_effect_twice() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let order = ProofConfig {
        seed: 17,
        seconds: 0,
        failpoint: None,
    };
    let told = takeover::Told {
        order,
        members: 9,
        keepers: 3,
        rate: 120.0,
        rounds: 1,
        lasts: false,
    };
    let figures = takeover::prove(&told).unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}

#[cfg(feature = "journal")]
#[test]
fn everybody_may_be_killed_at_once_where_keepers_have_disks() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let order = ProofConfig {
        seed: 17,
        seconds: 0,
        failpoint: None,
    };
    let told = takeover::Told {
        order,
        members: 9,
        keepers: 3,
        rate: 120.0,
        rounds: 1,
        lasts: true,
    };
    let figures = takeover::prove(&told).unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}
