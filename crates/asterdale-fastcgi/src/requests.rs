//! Requests put together from the records of one connection.

use std::collections::HashMap;

use crate::kind;
use crate::record::{Malformed, Record};

/// What the requests of one connection that have begun may take in all: 32 heads and bodies of the platform
/// take less. So a thousand connections that begin and never end can't fill the memory.
const MOST: usize = 96 * 1024;
/// The platform's bound for a body.
const MOST_BODY: usize = 2 * 1024;
/// The role that this side plays.
const RESPONDER: u16 = 1;
const KEEP_CONN: u8 = 1;

/// A request that has come whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Whole {
    /// Its parameters, see [`crate::Params`].
    pub params: Vec<u8>,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection stays open after the answer.
    pub keep: bool,
}

struct Partial {
    whole: Whole,
    params_done: bool,
    body_done: bool,
}

/// What a record comes to.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// More records are needed, or this one means nothing here.
    Nothing,
    /// This request has come whole.
    Whole(u16, Whole),
    /// The peer no longer waits for this request, which had come whole before.
    Abort(u16),
    /// Owed at once: an END_REQUEST with this protocol state.
    Refuse(u16, u8),
    /// This request's body is too long, and may never end: the request is over, and what follows is no use.
    TooLong(u16),
    /// Owed at once: the values of the variables that are named.
    Values(Vec<u8>),
    /// Owed at once: this type is not known.
    Unknown(u8),
}

/// The requests of one connection that have not come whole.
#[derive(Default)]
pub struct Requests {
    partial: HashMap<u16, Partial>,
    /// Bytes of their parameters and bodies.
    bytes: usize,
}

impl Requests {
    /// How many have begun and not come whole.
    pub fn begun(&self) -> usize {
        self.partial.len()
    }

    /// The memory that they take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn remove(&mut self, id: u16) -> Option<Whole> {
        let whole = self.partial.remove(&id)?.whole;
        self.bytes -= whole.params.len() + whole.body.len();
        Some(whole)
    }

    /// Takes the next record. `more` says whether another request may be opened.
    pub fn take(&mut self, record: Record<'_>, more: bool) -> Result<Step, Malformed> {
        let Record { kind, id, content } = record;
        if id == 0 {
            return Ok(match kind {
                kind::GET_VALUES => Step::Values(content.to_vec()),
                kind::BEGIN_REQUEST..=kind::STDIN => Step::Nothing,
                other => Step::Unknown(other),
            });
        }
        match kind {
            kind::BEGIN_REQUEST => {
                let body = content.get(..3).ok_or(Malformed::Short(kind))?;
                if u16::from_be_bytes([body[0], body[1]]) != RESPONDER {
                    return Ok(Step::Refuse(id, crate::ended::UNKNOWN_ROLE));
                }
                if self.partial.contains_key(&id) {
                    return Err(Malformed::Twice(id));
                }
                if !more {
                    return Ok(Step::Refuse(id, crate::ended::OVERLOADED));
                }
                let whole = Whole {
                    keep: body[2] & KEEP_CONN != 0,
                    ..Whole::default()
                };
                self.partial.insert(
                    id,
                    Partial {
                        whole,
                        params_done: false,
                        body_done: false,
                    },
                );
            }
            kind::ABORT_REQUEST => {
                // One that never came whole was not taken: nothing ran, and it ends here.
                let known = self.remove(id).is_some();
                return Ok(if known {
                    Step::Refuse(id, crate::ended::COMPLETE)
                } else {
                    Step::Abort(id)
                });
            }
            kind::PARAMS | kind::STDIN => {
                let Some(partial) = self.partial.get_mut(&id) else {
                    return Ok(Step::Nothing);
                };
                let Whole { params, body, .. } = &mut partial.whole;
                if kind == kind::PARAMS && !partial.params_done {
                    partial.params_done = content.is_empty();
                    params.extend_from_slice(content);
                    self.bytes += content.len();
                } else if kind == kind::STDIN && !partial.body_done {
                    partial.body_done = content.is_empty();
                    if body.len() + content.len() > MOST_BODY {
                        self.remove(id);
                        return Ok(Step::TooLong(id));
                    }
                    body.extend_from_slice(content);
                    self.bytes += content.len();
                }
                // Two streams, which may end in either order.
                if partial.params_done && partial.body_done {
                    return Ok(self
                        .remove(id)
                        .map_or(Step::Nothing, |whole| Step::Whole(id, whole)));
                }
                if self.bytes > MOST {
                    return Err(Malformed::TooMuch);
                }
            }
            _ => {}
        }
        Ok(Step::Nothing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(kind: u8, id: u16, content: &[u8]) -> Record<'_> {
        Record { kind, id, content }
    }

    const BEGIN: &[u8] = &[0, 1, 1, 0, 0, 0, 0, 0];

    #[test]
    fn requests_that_interleave_come_whole_each_by_itself() {
        let mut requests = Requests::default();
        for (kind, id, content) in [
            (1, 1, BEGIN),
            (1, 2, &[0, 1, 0, 0, 0, 0, 0, 0]),
            (4, 2, b"pa"),
            (4, 1, b"one"),
            (4, 2, b"rt"),
            (4, 2, b""),
            (5, 2, b""),
        ] {
            let step = requests.take(record(kind, id, content), true).unwrap();
            let whole = Whole {
                params: b"part".to_vec(),
                ..Whole::default()
            };
            assert_eq!(
                step,
                if kind == 5 {
                    Step::Whole(2, whole)
                } else {
                    Step::Nothing
                }
            );
        }
        assert_eq!(requests.begun(), 1);
        assert_eq!(requests.take(record(4, 1, b""), true), Ok(Step::Nothing));
        assert_eq!(
            requests.take(record(5, 1, b"\0\xff"), true),
            Ok(Step::Nothing)
        );
        let whole = Whole {
            params: b"one".to_vec(),
            body: b"\0\xff".to_vec(),
            keep: true,
        };
        assert_eq!(
            requests.take(record(5, 1, b""), true),
            Ok(Step::Whole(1, whole))
        );
    }

    #[test]
    fn the_two_streams_may_end_in_either_order() {
        let mut requests = Requests::default();
        for (kind, content) in [(1, BEGIN), (5, &b"body"[..]), (5, b""), (4, b"head")] {
            assert_eq!(
                requests.take(record(kind, 1, content), true),
                Ok(Step::Nothing)
            );
        }
        let whole = Whole {
            params: b"head".to_vec(),
            body: b"body".to_vec(),
            keep: true,
        };
        assert_eq!(
            requests.take(record(4, 1, b""), true),
            Ok(Step::Whole(1, whole))
        );
        assert_eq!((requests.begun(), requests.bytes()), (0, 0));
    }

    #[test]
    fn a_body_that_is_too_long_is_known_before_its_end() {
        let mut requests = Requests::default();
        requests.take(record(1, 1, BEGIN), true).unwrap();
        assert_eq!(
            requests.take(record(5, 1, &[7; 2048]), true),
            Ok(Step::Nothing)
        );
        assert_eq!(
            requests.take(record(5, 1, &[7]), true),
            Ok(Step::TooLong(1))
        );
        assert_eq!((requests.begun(), requests.bytes()), (0, 0));
    }

    #[test]
    fn requests_that_begin_and_never_end_have_a_bound() {
        let mut requests = Requests::default();
        for round in 0..4 {
            requests.take(record(1, 1, BEGIN), true).unwrap();
            assert_eq!(
                requests.take(record(4, 1, &[0; 60_000]), true),
                Ok(Step::Nothing),
                "{round}"
            );
            requests.take(record(2, 1, b""), true).unwrap();
        }
        requests.take(record(1, 1, BEGIN), true).unwrap();
        requests.take(record(1, 2, BEGIN), true).unwrap();
        assert_eq!(
            requests.take(record(4, 1, &[0; 60_000]), true),
            Ok(Step::Nothing)
        );
        assert_eq!(
            requests.take(record(4, 2, &[0; 60_000]), true),
            Err(Malformed::TooMuch)
        );
    }

    #[test]
    fn what_can_not_be_taken_is_refused_or_malformed() {
        let mut requests = Requests::default();
        assert_eq!(
            requests.take(record(1, 1, &[0, 2, 1]), true),
            Ok(Step::Refuse(1, 3))
        );
        assert_eq!(
            requests.take(record(1, 1, BEGIN), false),
            Ok(Step::Refuse(1, 2))
        );
        assert_eq!(
            requests.take(record(1, 1, &[0]), true),
            Err(Malformed::Short(1))
        );
        assert_eq!(requests.take(record(1, 1, BEGIN), true), Ok(Step::Nothing));
        assert_eq!(
            requests.take(record(1, 1, BEGIN), true),
            Err(Malformed::Twice(1))
        );
        assert_eq!(
            requests.take(record(2, 1, b""), true),
            Ok(Step::Refuse(1, 0))
        );
        assert_eq!(requests.take(record(2, 1, b""), true), Ok(Step::Abort(1)));
        assert_eq!(requests.take(record(4, 9, b"x"), true), Ok(Step::Nothing));
        assert_eq!(
            requests.take(record(77, 0, b"x"), true),
            Ok(Step::Unknown(77))
        );
        assert_eq!(
            requests.take(record(9, 0, b"x"), true),
            Ok(Step::Values(b"x".to_vec()))
        );
    }
}
