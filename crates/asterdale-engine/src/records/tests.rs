//! The memory of responses that are not complete.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale::events::Outcome;
use crossbeam_channel::{unbounded, Receiver};

use super::*;
use crate::message::{CallEnd, RequestId, TaskId};

/// Bounds each wait of a test; far longer than any of them takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const LIMIT_BYTES: usize = 20_000;

fn call(task: TaskId) -> Call {
    let id: RequestId = format!("{task:016x}").into_bytes().try_into().unwrap();
    Call {
        task,
        id,
        body: b"body".to_vec(),
        requested_at: Instant::now(),
        timeout: TEST_TIMEOUT,
        #[cfg(feature = "ownership")]
        fence: None,
    }
}

/// Accepts a call and reads its request. Returns its task and its connection.
fn accept_call(listener: &TcpListener) -> (TaskId, TcpStream) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"body") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        request.push(byte[0]);
    }
    let request = String::from_utf8(request).unwrap();
    let (_, id) = request.split_once("Op-Of: ").unwrap();
    (TaskId::from_str_radix(&id[..16], 16).unwrap(), stream)
}

fn next_end(mailbox: &Receiver<EngineMessage>) -> CallEnd {
    match mailbox.recv_timeout(TEST_TIMEOUT).unwrap() {
        EngineMessage::CallEnded(end) => end,
        _ => panic!("not the end of a call"),
    }
}

/// Guards against responses that never end and together take any amount of memory.
#[test]
fn the_longest_incomplete_response_gives_way_and_a_shorter_one_is_completed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (engine, mailbox) = unbounded();
    let (log, _) = Log::to_stderr("test", true, slog::Level::Critical);
    let (records, actor) = new(
        listener.local_addr().unwrap(),
        engine,
        ByteSemaphore::new(LIMIT_BYTES),
        Arc::default(),
        log,
    )
    .unwrap();
    thread::spawn(move || actor.serve());
    assert!(records.call(call(1)) && records.call(call(2)));
    let mut calls = [accept_call(&listener), accept_call(&listener)];
    calls.sort_by_key(|(task, _)| *task);
    let [(_, mut short), (_, mut long)] = calls;
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 15000\r\n\r\n";
    for (stream, length) in [(&mut short, 9_000), (&mut long, 14_000)] {
        stream.write_all(head).unwrap();
        stream.write_all(&vec![7; length]).unwrap();
    }
    let ended = next_end(&mailbox);
    assert_eq!((ended.task, ended.outcome), (2, Outcome::Reset));
    short.write_all(&[7; 6_000]).unwrap();
    let ended = next_end(&mailbox);
    assert_eq!((ended.task, ended.outcome), (1, Outcome::Ok));
    assert_eq!(ended.body, [7; 15_000]);
}
