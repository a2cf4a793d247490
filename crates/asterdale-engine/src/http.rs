//! The little HTTP/1.1 that is spoken beside the main protocol: one call on a connection, and its reply.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// No head may be longer, and no body: the platform's bodies are a few KiB.
const MOST: usize = 64 * 1024;
/// No tag that is kept is longer.
const MOST_TAG: usize = 128;

/// A reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// It carries `Op-Not-Begun: 1`.
    pub not_begun: bool,
    /// Its entity tag, if it has a short one.
    pub tag: Option<Vec<u8>>,
    /// Its body.
    pub body: Vec<u8>,
}

fn bad(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The bytes of one reply, as they come.
#[derive(Default)]
pub struct Collector {
    got: Vec<u8>,
}

impl Collector {
    /// Takes these; the reply, once it is whole. What comes after it is nobody's.
    pub fn take(&mut self, bytes: &[u8]) -> io::Result<Option<Reply>> {
        self.got.extend_from_slice(bytes);
        match parse(&self.got)? {
            None if self.got.len() > 2 * MOST => Err(bad("a reply too long")),
            reply => Ok(reply),
        }
    }
}

/// Reads one reply, until `end` at the latest. What comes after it is nobody's.
pub fn reply(mut stream: &TcpStream, end: Instant) -> io::Result<Reply> {
    let mut got = Collector::default();
    let mut chunk = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => {
                if let Some(reply) = got.take(&chunk[..n])? {
                    return Ok(reply);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into())
            }
            Err(e) => return Err(e),
        }
    }
}

/// The reply that these bytes begin with, once it is whole. Interim replies before it are passed over.
fn parse(mut got: &[u8]) -> io::Result<Option<Reply>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let at = match head.parse(got) {
            Ok(httparse::Status::Complete(at)) => at,
            Ok(httparse::Status::Partial) if got.len() > MOST => {
                return Err(bad("a head too long"))
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(bad("no HTTP")),
        };
        let status = head.code.unwrap_or(0);
        if (100..200).contains(&status) && status != 101 {
            got = &got[at..];
            continue;
        }
        let fields = |name: &'static str| {
            let all = head
                .headers
                .iter()
                .filter(move |h| h.name.eq_ignore_ascii_case(name));
            all.map(|h| h.value.trim_ascii())
        };
        if fields("transfer-encoding").next().is_some() {
            return Err(bad("a body in chunks"));
        }
        let length =
            length(fields("content-length"), status).ok_or_else(|| bad("no sure length"))?;
        let Some(body) = got.get(at..at + length) else {
            return Ok(None);
        };
        let not_begun = fields("op-not-begun").next() == Some(b"1");
        // One that is longer would make the next request long: it goes without.
        let tag = fields("etag")
            .next()
            .filter(|tag| tag.len() <= MOST_TAG)
            .map(<[u8]>::to_vec);
        return Ok(Some(Reply {
            status,
            not_begun,
            tag,
            body: body.to_vec(),
        }));
    }
}

/// The length of the body: digits alone, and the same in all fields that tell it.
fn length<'a>(mut told: impl Iterator<Item = &'a [u8]>, status: u16) -> Option<usize> {
    let Some(first) = told.next() else {
        return (status == 204 || status == 304).then_some(0);
    };
    if told.any(|other| other != first) || !first.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(first)
        .ok()?
        .parse()
        .ok()
        .filter(|&n| n <= MOST)
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
        let wanted = Reply {
            status: 503,
            not_begun: true,
            tag: None,
            body: b"abc".to_vec(),
        };
        assert_eq!(parse(text).unwrap(), Some(wanted));
    }

    #[test]
    fn a_reply_without_a_sure_end_is_an_error() {
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
    fn interim_replies_before_it_and_noise_after_it_are_no_part_of_it() {
        let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n\
            HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Le\xff";
        let wanted = Reply {
            status: 200,
            not_begun: false,
            tag: None,
            body: b"ok".to_vec(),
        };
        assert_eq!(parse(text).unwrap(), Some(wanted));
        assert_eq!(parse(&text[..40]).unwrap(), None);
    }
}
