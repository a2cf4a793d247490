//! Parsing of responses, in particular where a response ends.

use super::*;

#[test]
fn response_is_complete_at_its_last_byte_and_not_before() {
    let text = b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\ncontent-length: 3\r\n\r\nabc";
    for cut in 0..text.len() {
        assert!(parse(&text[..cut]).unwrap().is_none(), "cut at {cut}");
    }
    let expected = Response {
        status: 503,
        never_ran: true,
        tag: None,
        body: b"abc".to_vec(),
    };
    assert_eq!(parse(text).unwrap(), Some(expected));
}

#[test]
fn response_without_a_valid_length_is_malformed() {
    for text in [
        "HTTP/1.1 200 OK\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\nabc",
        "HTTP/1.1 101 Other\r\n\r\n",
        "SMTP ready\r\n\r\n",
    ] {
        assert!(parse(text.as_bytes()).is_err(), "{text:?}");
    }
    assert_eq!(
        parse(b"HTTP/1.1 204 Done\r\n\r\n").unwrap().unwrap().status,
        204
    );
}

#[test]
fn interim_responses_and_trailing_bytes_are_skipped() {
    let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n\
        HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Le\xff";
    let expected = Response {
        status: 200,
        never_ran: false,
        tag: None,
        body: b"ok".to_vec(),
    };
    assert_eq!(parse(text).unwrap(), Some(expected));
    assert_eq!(parse(&text[..40]).unwrap(), None);
}
