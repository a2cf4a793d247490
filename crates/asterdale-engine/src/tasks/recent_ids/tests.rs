//! The bound of the ids that are remembered.

use super::*;

fn id(number: usize) -> RequestId {
    format!("{number:016x}").into_bytes().try_into().unwrap()
}

#[test]
fn the_newest_ids_are_remembered_and_older_ones_give_way() {
    let mut recent = RecentIds::default();
    for number in 0..MAX_IDS + 10 {
        recent.add(id(number));
        recent.add(id(number));
    }
    assert!(!recent.contains(&id(9)));
    assert!((10..MAX_IDS + 10).all(|number| recent.contains(&id(number))));
    assert_eq!(recent.order.len(), recent.ids.len());
}
