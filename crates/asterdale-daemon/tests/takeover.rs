//! Short runs of the takeover proof, in a test binary of their own: nine processes must not share the machine with other
//! tests.
#![cfg(feature = "fleet")]

use std::sync::{Mutex, PoisonError};

use asterdale_testkit::proofs::{takeover, ProofConfig};

/// Serializes the proofs.
static PROOF_LOCK: Mutex<()> = Mutex::new(());

#[test]
fn accepted_requests_survive_failed_owners_and_replicas_and_no_key_takes_effect_twice() {
    let _guard = PROOF_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
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
fn all_processes_may_be_killed_at_once_if_replicas_have_disks() {
    let _guard = PROOF_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
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
