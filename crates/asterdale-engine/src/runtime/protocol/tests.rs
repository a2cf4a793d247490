//! Parsing and writing of lines of the runtime protocol.

use super::*;

const ID: &RequestId = b"9b1f03aa5c7e2d41";

#[test]
fn valid_lines_are_parsed() {
    let end =
        br#"{"t":"end","no":4,"rid":"9b1f03aa5c7e2d41","status":"PASS","time_ms":3.5,"b64":"AP8="}"#;
    assert_eq!(
        parse(end),
        Some(RuntimeNotice::RunEnded {
            sequence: 4,
            id: *ID,
            outcome: RunOutcome::Passed,
            body: vec![0, 255]
        })
    );
    let killed =
        br#"{"t":"end","no":5,"rid":"9b1f03aa5c7e2d41","status":"KILLED","time_ms":1,"new":[]}"#;
    assert_eq!(
        parse(killed),
        Some(RuntimeNotice::RunEnded {
            sequence: 5,
            id: *ID,
            outcome: RunOutcome::Killed,
            body: vec![]
        })
    );
    let ready = br#"{"t":"ready","status":"EMPTY","time_ms":12}"#;
    assert_eq!(
        parse(ready),
        Some(RuntimeNotice::Ready {
            slow_start: true,
            uptime_ms: 12.0
        })
    );
    let load = br#"{"t":"load","mark":"7","v":[0.5,null]}"#;
    let Some(RuntimeNotice::Gauges { tag, values }) = parse(load) else {
        panic!()
    };
    assert!(tag == "7" && values[0] == 0.5 && values[1].is_nan());
}

#[test]
fn invalid_lines_are_rejected() {
    for line in [
        &b"hello"[..],
        b"{}",
        br#"{"t":"end","no":4,"rid":"short","status":"PASS"}"#,
        br#"{"t":"end","no":4,"rid":"9b1f03aa5c7e2d41","status":"WHO"}"#,
        br#"{"t":"end","no":-4,"rid":"9b1f03aa5c7e2d41","status":"PASS"}"#,
        br#"{"t":"wants","no":4,"rid":"9b1f03aa5c7e2d41","b64":"*"}"#,
        b"\xff\xfe",
    ] {
        assert_eq!(parse(line), None);
    }
}

#[test]
fn commands_are_single_json_lines() {
    for (line, expected) in [
        (sync(7), json!({"t": "sync", "no": 7})),
        (
            start(ID, "a\"b", b"hi"),
            json!({"t": "start", "rid": request_id_text(ID), "route": "a\"b", "b64": "aGk="}),
        ),
        (
            give(ID, b""),
            json!({"t": "give", "rid": request_id_text(ID), "b64": ""}),
        ),
        (
            omit(ID, 9),
            json!({"t": "omit", "rid": request_id_text(ID), "no": 9}),
        ),
        (gauges("x"), json!({"t": "gauges", "mark": "x"})),
    ] {
        assert!(line.ends_with('\n') && line.matches('\n').count() == 1);
        assert_eq!(serde_json::from_str::<Value>(&line).unwrap(), expected);
    }
}
