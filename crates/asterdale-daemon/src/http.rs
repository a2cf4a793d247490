//! The little HTTP/1.1 that is spoken beside the main protocol: one call on a connection, and its reply.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// No head may be longer, and no body: the platform's bodies are a few KiB.
const MOST: usize = 64 * 1024;

/// A reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// It carries `Op-Not-Begun: 1`.
    pub not_begun: bool,
    /// The connection may carry another call.
    pub keep: bool,
    /// Its body.
    pub body: Vec<u8>,
}

fn bad(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Reads one reply, until `end` at the latest.
pub fn reply(mut stream: &TcpStream, end: Instant) -> io::Result<Reply> {
    let mut got = Vec::with_capacity(1024);
    let mut chunk = [0; 4096];
    loop {
        if let Some((reply, _)) = parse(&got)? {
            return Ok(reply);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => got.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Err(io::ErrorKind::TimedOut.into()),
            Err(e) => return Err(e),
        }
        if got.len() > 2 * MOST {
            return Err(bad("a reply too long"));
        }
    }
}

/// The reply that these bytes begin with, and its length, once it is whole.
fn parse(got: &[u8]) -> io::Result<Option<(Reply, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let at = match head.parse(got) {
        Ok(httparse::Status::Complete(at)) => at,
        Ok(httparse::Status::Partial) if got.len() > MOST => return Err(bad("a head too long")),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(bad("no HTTP")),
    };
    let field = |name: &str| {
        head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value.trim_ascii())
    };
    let status = head.code.unwrap_or(0);
    if field("transfer-encoding").is_some() {
        return Err(bad("a body in chunks"));
    }
    let length = match field("content-length") {
        Some(text) => std::str::from_utf8(text).ok().and_then(|text| text.parse().ok()),
        None if status == 204 || status == 304 => Some(0),
        None => None,
    };
    let length: usize = length.filter(|&n| n <= MOST).ok_or_else(|| bad("a body of no known length"))?;
    let Some(body) = got.get(at..at + length) else { return Ok(None) };
    let close = field("connection").is_some_and(|text| text.eq_ignore_ascii_case(b"close"));
    let reply = Reply {
        status,
        not_begun: field("op-not-begun") == Some(b"1"),
        keep: !close && head.version == Some(1) && got.len() == at + length,
        body: body.to_vec(),
    };
    Ok(Some((reply, at + length)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reply_is_whole_at_its_last_byte_and_not_before() {
        let text = b"HTTP/1.1 503 Busy\r\nOp-Not-Begun: 1\r\ncontent-length: 3\r\n\r\nabc";
        for cut in 0..text.len() {
            assert!(parse(&text[..cut]).unwrap().is_none(), "cut at {cut}");
        }
        let (reply, length) = parse(text).unwrap().unwrap();
        let wanted = Reply { status: 503, not_begun: true, keep: true, body: b"abc".to_vec() };
        assert_eq!((reply, length), (wanted, text.len()));
    }

    #[test]
    fn a_reply_without_a_sure_end_is_an_error() {
        for text in [
            "HTTP/1.1 200 OK\r\n\r\nabc",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            "SMTP ready\r\n\r\n",
        ] {
            assert!(parse(text.as_bytes()).is_err(), "{text:?}");
        }
        assert_eq!(parse(b"HTTP/1.1 204 Done\r\n\r\n").unwrap().unwrap().0.status, 204);
    }
}
