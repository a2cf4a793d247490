//! The JSON keys and the table of the status report, which operators and tools read, do not change when names in the code
//! change.

use std::collections::BTreeMap;

use asterdale_transport::status::{MemberStatus, StatusReport};
use serde_json::json;

fn member(name: &str, status: &str, last_contact_ms: Option<u64>) -> MemberStatus {
    MemberStatus {
        name: name.to_owned(),
        address: "127.0.0.1:7000".to_owned(),
        generation: 3,
        incarnation: 2,
        status: status.to_owned(),
        status_age_ms: 1260,
        reported_by: "b".to_owned(),
        last_contact_ms,
        phase: "ready".to_owned(),
        load_percent: 30,
        warm_percent: 100,
    }
}

fn report() -> StatusReport {
    StatusReport {
        local: member("a", "alive", Some(0)),
        state: "in".to_owned(),
        has_majority: false,
        live_fraction: 0.667,
        view_age_ms: None,
        view_hash: "00000000000000ff".to_owned(),
        members: vec![member("b", "suspect", None), member("c", "dead", Some(9))],
        counters: BTreeMap::from([("dropped".to_owned(), 1)]),
    }
}

fn member_json(name: &str, status: &str, heard_ms: Option<u64>) -> serde_json::Value {
    json!({"name": name, "at": "127.0.0.1:7000", "generation": 3, "incarnation": 2, "status": status, "for_ms": 1260,
        "by": "b", "heard_ms": heard_ms, "phase": "ready", "load": 30, "warm": 100})
}

#[test]
fn report_has_these_json_keys_and_is_read_back() {
    let expected = json!({
        "me": member_json("a", "alive", Some(0)),
        "standing": "in",
        "certain": false,
        "part": 0.667,
        "age_ms": null,
        "hash": "00000000000000ff",
        "members": [member_json("b", "suspect", None), member_json("c", "dead", Some(9))],
        "counts": {"dropped": 1},
    });
    assert_eq!(serde_json::to_value(report()).unwrap(), expected);
    let read: StatusReport = serde_json::from_value(expected).unwrap();
    assert_eq!(read, report());
}

#[test]
fn table_has_a_title_a_header_and_a_row_for_each_member() {
    let expected = "\
a is in, generation 3, sees 67% of the fleet live, not in contact with a majority; view 00000000000000ff
name             at                    generation status       for s by               phase    load warm
a                127.0.0.1:7000                 3 alive          1.3 b                ready      30  100
b                127.0.0.1:7000                 3 suspect        1.3 b                ready      30  100
c                127.0.0.1:7000                 3 dead           1.3 b                ready      30  100";
    assert_eq!(report().to_table(), expected);
}

#[test]
fn live_generations_are_of_live_members_and_the_reporting_one() {
    let expected = BTreeMap::from([("a".to_owned(), 3), ("b".to_owned(), 3)]);
    assert_eq!(report().live_generations(), expected);
}
