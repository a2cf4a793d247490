//! The subset of HTTP/1.1 that is needed for the records service, the registry and the issuer: one request and its
//! response per connection.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The maximum size of a response's head, and of its body, in bytes: the services' bodies are a few KiB.
const MAX_PART_BYTES: usize = 64 * 1024;
/// The maximum length of an entity tag, in bytes. Longer ones are ignored: the tag is part of the next request, which
/// would become long as well.
const MAX_TAG_BYTES: usize = 128;
/// The maximum number of header fields in a response.
const MAX_HEADERS: usize = 32;
/// The size of the read buffer, in bytes: responses are seldom longer.
const CHUNK_BYTES: usize = 4096;
/// The minimum read timeout: zero would mean no timeout.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// A response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Whether it carries `Op-Not-Begun: 1`, which says that the request had no effect.
    pub never_ran: bool,
    /// Its entity tag, if it has a short one.
    pub tag: Option<Vec<u8>>,
    /// Its body.
    pub body: Vec<u8>,
}

fn malformed(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Collects the bytes of one response until it is complete.
#[derive(Default)]
pub struct ResponseBuffer {
    received: Vec<u8>,
}

impl ResponseBuffer {
    /// The number of bytes that are received.
    pub fn len(&self) -> usize {
        self.received.len()
    }

    /// Whether nothing is received.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Appends received bytes. Returns the response once it is complete; bytes after it are ignored.
    ///
    /// # Errors
    /// The response is malformed or too long.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<Option<Response>> {
        self.received.extend_from_slice(bytes);
        match parse(&self.received)? {
            None if self.received.len() > 2 * MAX_PART_BYTES => {
                Err(malformed("the response is too long"))
            }
            response => Ok(response),
        }
    }
}

/// Reads one response before this deadline. Bytes after the response are ignored.
///
/// # Errors
/// The deadline passes, the connection fails, or the response is malformed.
pub fn read_response(mut stream: &TcpStream, deadline: Instant) -> io::Result<Response> {
    let mut buffer = ResponseBuffer::default();
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(remaining.max(MIN_READ_TIMEOUT)))?;
        match stream.read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => {
                if let Some(response) = buffer.push(&chunk[..length])? {
                    return Ok(response);
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

/// Parses the response at the start of these bytes; `None` while it is incomplete. Interim responses before it are
/// skipped.
fn parse(mut received: &[u8]) -> io::Result<Option<Response>> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let head_length = match head.parse(received) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if received.len() > MAX_PART_BYTES => {
                return Err(malformed("the response head is too long"))
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(malformed("the response is not HTTP/1.1")),
        };
        let rest = &received[head_length..];
        let status = head.code.unwrap_or(0);
        if is_interim(status) {
            received = rest;
            continue;
        }
        return complete(&head, status, rest);
    }
}

/// Whether this is an interim response, which another response follows. 101 switches protocols, so no HTTP response
/// follows it.
fn is_interim(status: u16) -> bool {
    (100..200).contains(&status) && status != 101
}

/// The response with this head; `None` while its body is incomplete.
fn complete(
    head: &httparse::Response<'_, '_>,
    status: u16,
    rest: &[u8],
) -> io::Result<Option<Response>> {
    let fields = |name: &'static str| {
        let named = head
            .headers
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name));
        named.map(|field| field.value.trim_ascii())
    };
    if fields("transfer-encoding").next().is_some() {
        return Err(malformed("transfer encodings are not supported"));
    }
    let length = body_length(fields("content-length"), status)
        .ok_or_else(|| malformed("the Content-Length field is missing or invalid"))?;
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let mut tags = fields("etag");
    Ok(Some(Response {
        status,
        never_ran: fields("op-not-begun").next() == Some(b"1"),
        tag: tags
            .next()
            .filter(|tag| tag.len() <= MAX_TAG_BYTES)
            .map(<[u8]>::to_vec),
        body: body.to_vec(),
    }))
}

/// The length of the body. `None` unless it consists of digits only and is the same in every field that states it.
/// Without such a field only responses that never have a body are accepted, with length 0.
fn body_length<'a>(mut lengths: impl Iterator<Item = &'a [u8]>, status: u16) -> Option<usize> {
    let Some(first) = lengths.next() else {
        return (status == 204 || status == 304).then_some(0);
    };
    if lengths.any(|other| other != first) || !first.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(first)
        .ok()?
        .parse()
        .ok()
        .filter(|&length| length <= MAX_PART_BYTES)
}

#[cfg(test)]
mod tests;
