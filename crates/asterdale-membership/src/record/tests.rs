use super::*;

#[test]
fn precedence_is_a_total_order() {
    let record = |generation, nonce, incarnation, status| MemberRecord {
        name: "a".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        generation,
        nonce,
        incarnation,
        status,
        metadata: Metadata::default(),
        reported_by: String::new(),
    };
    // From the lowest precedence to the highest.
    let records = [
        record(1, 9, 7, Status::Left),
        record(2, 1, 0, Status::Alive),
        record(2, 1, 0, Status::Suspect),
        record(2, 1, 0, Status::Dead),
        record(2, 1, 1, Status::Alive),
        record(2, 1, 0, Status::Left),
        record(2, 2, 0, Status::Alive),
        record(3, 0, 0, Status::Alive),
    ];
    for (index, one) in records.iter().enumerate() {
        for (other_index, other) in records.iter().enumerate() {
            let expected = index.cmp(&other_index);
            assert_eq!(one.cmp_precedence(other), expected, "{one:?} {other:?}");
        }
    }
}
