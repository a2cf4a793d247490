//! The proofs in their short form. Their long runs, with other seeds, are the rig's.

use asterdale_rig::proofs::{rotation, Order};

#[test]
fn keys_rotate_under_load_and_nobody_is_let_in_or_turned_away_wrongly() {
    let figures = rotation::prove(&Order { seed: 17, seconds: 14, plant: None }).unwrap();
    assert_eq!(figures["held"], true, "{figures:#}");
}
