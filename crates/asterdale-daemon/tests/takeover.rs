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
fn all_processes_may_be_killed_at_once_if_replicas_have_disks() {
    let _guard = PROOF_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
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
