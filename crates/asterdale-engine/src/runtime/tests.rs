//! The memory of notices that the engine has not handled.

use std::io::Write as _;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::unbounded;

use super::*;

/// Bounds each wait of a test; far longer than any of them takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const LIMIT_BYTES: usize = 10_000;
const NOTICES: usize = 100;

/// Guards against notices that wait in the engine's mailbox bounded by their number alone.
#[test]
fn reading_pauses_while_the_engine_has_not_handled_the_notices_before() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (engine, mailbox) = unbounded();
    let (_commands, link_commands) = unbounded();
    let received = ByteSemaphore::new(LIMIT_BYTES);
    let bound = received.clone();
    thread::spawn(move || {
        let (log, _) = Log::to_stderr("test", true, slog::Level::Critical);
        run(
            address,
            &link_commands,
            &engine,
            &bound,
            &Arc::default(),
            &log,
        );
    });
    let (mut link, _) = listener.accept().unwrap();
    let next = || mailbox.recv_timeout(TEST_TIMEOUT).expect("a message");
    // Keeps the link open.
    let connected = next();
    assert!(matches!(connected, EngineMessage::RuntimeConnected(_)));
    let text = "t".repeat(1000);
    for number in 1..=NOTICES {
        let line = format!("{{\"t\":\"info\",\"no\":{number},\"status\":\"{text}\"}}\n");
        link.write_all(line.as_bytes()).unwrap();
    }
    let max_line_bytes = text.len() + 100;
    for handled in 0..NOTICES {
        // Until there is no room for the next notice, or there is no next one.
        let end = Instant::now() + TEST_TIMEOUT;
        while received.used() + max_line_bytes <= LIMIT_BYTES && handled + mailbox.len() < NOTICES {
            assert!(Instant::now() < end, "{} bytes", received.used());
            thread::sleep(Duration::from_millis(1));
        }
        let bytes = received.used();
        assert!(bytes <= LIMIT_BYTES, "{bytes} of {LIMIT_BYTES}");
        drop(next());
    }
    assert_eq!(received.used(), 0);
}
