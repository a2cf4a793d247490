use super::*;
use crate::record::Metadata;

fn record(n: u16, status: Status) -> MemberRecord {
    MemberRecord {
        name: format!("m{n:02}"),
        address: ([127, 0, 0, 1], n).into(),
        generation: 1,
        nonce: 1,
        incarnation: 0,
        status,
        metadata: Metadata::default(),
        reported_by: String::new(),
    }
}

#[test]
fn suspicions_are_sent_before_joins() {
    let mut queue = GossipQueue::default();
    (0..10).for_each(|n| queue.add(record(n, Status::Alive)));
    queue.add(record(99, Status::Suspect));
    for _ in 0..5 {
        assert_eq!(queue.take_batch(20, 5, |_| 10)[0].name, "m99");
    }
    assert_ne!(
        queue.take_batch(20, 5, |_| 10)[0].name,
        "m99",
        "the record has been sent the maximum number of times"
    );
}

#[test]
fn each_record_is_sent_the_allowed_number_of_times() {
    let mut queue = GossipQueue::default();
    (0..10).for_each(|n| queue.add(record(n, Status::Alive)));
    queue.add(record(3, Status::Alive));
    let mut transmissions = BTreeMap::new();
    let mut messages = 0;
    while !queue.is_empty() {
        let batch = queue.take_batch(30, 5, |_| 10);
        assert!((1..=3).contains(&batch.len()));
        for record in batch {
            *transmissions.entry(record.name).or_insert(0) += 1;
        }
        messages += 1;
    }
    assert!(
        transmissions.len() == 10 && transmissions.values().all(|&count| count == 5),
        "{transmissions:?}"
    );
    assert_eq!(messages, 17);
}
