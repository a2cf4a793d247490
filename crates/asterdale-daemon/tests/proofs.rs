//! Short runs of the proofs. The test kit's command line runs them for longer and with other seeds.

use std::sync::{Mutex, MutexGuard, PoisonError};

use asterdale_testkit::proofs::{fleet, restarts, rotation, upgrade, ProofConfig};

/// Serializes the proofs: each starts many processes, and the load of one must not change the result of another.
static PROOF_LOCK: Mutex<()> = Mutex::new(());

fn lock_proofs() -> MutexGuard<'static, ()> {
    PROOF_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn keys_rotate_under_load_and_no_caller_is_admitted_or_rejected_wrongly() {
    let _guard = lock_proofs();
    let figures = rotation::prove(&ProofConfig {
        seed: 17,
        seconds: 14,
        failpoint: None,
    })
    .unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}

#[cfg(feature = "upgrade")]
#[test]
fn hot_restarts_under_load_lose_no_request_and_run_none_twice() {
    let _guard = lock_proofs();
    let figures = upgrade::prove(
        &ProofConfig {
            seed: 17,
            seconds: 0,
            failpoint: None,
        },
        10,
        3,
    )
    .unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}

#[cfg(feature = "fleet")]
#[test]
fn twelve_processes_keep_one_view_through_crashes_pauses_and_partitions() {
    let _guard = lock_proofs();
    let proof = ProofConfig {
        seed: 17,
        seconds: 0,
        failpoint: None,
    };
    let config = fleet::Config {
        proof,
        members: 12,
        interval_ms: 100.0,
        rounds: 1,
    };
    let figures = fleet::prove(&config).unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}

#[cfg(all(feature = "fleet", feature = "journal"))]
#[test]
fn started_requests_are_known_after_kills_lost_journals_and_older_copies() {
    let _guard = lock_proofs();
    let proof = ProofConfig {
        seed: 17,
        seconds: 0,
        failpoint: None,
    };
    let figures = restarts::prove(&restarts::Config {
        proof,
        members: 6,
        rate: 120.0,
        rounds: 1,
    })
    .unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}
