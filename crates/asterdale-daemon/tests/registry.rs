//! Reports to registries that accept connections and do not answer.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

use asterdale_testkit::scripted::{wait_until, Backend, WAIT_TIMEOUT};
use serde_json::json;

/// A report that was read completely and is not answered yet.
struct Report {
    stream: TcpStream,
    body: String,
}

/// Starts a registry that passes its reports to the test unanswered.
fn start_registry() -> (SocketAddr, Receiver<Report>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, reports) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let request = asterdale_testkit::services::read_request(&mut BufReader::new(&stream));
            let Some((_, body)) = request else { continue };
            let _ = sender.send(Report {
                stream,
                body: String::from_utf8(body).unwrap(),
            });
        }
    });
    (address, reports)
}

impl Report {
    /// Whether the backend has closed the connection, over which it sends nothing else.
    fn is_closed(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = (&self.stream).read(&mut [0; 1]);
        !matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

#[test]
fn an_unanswered_report_does_not_delay_the_next_one() {
    let (address, reports) = start_registry();
    let backend = Backend::start_before_runtime(|config| config["registry"] = json!(address));
    let next = || reports.recv_timeout(WAIT_TIMEOUT).expect("no report came");
    let (first, second) = (next(), next());
    assert!(
        !first.is_closed(),
        "the second report waited for the end of the first"
    );
    (&second.stream)
        .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
        .unwrap();
    backend.counters_until(|count| count("reports") == 1 && count("reports_failed") == 0);
    wait_until("the first report's end", || first.is_closed());
}

#[test]
fn draining_is_reported_after_many_address_changes_while_reports_are_unanswered() {
    let (old, new) = (start_registry(), start_registry());
    let mut backend = Backend::start_before_runtime(|config| config["registry"] = json!(old.0));
    old.1.recv_timeout(WAIT_TIMEOUT).expect("no report came");
    // More address changes than a mailbox with a few slots holds while a report is unanswered. The command to report
    // draining must not be lost behind them.
    for n in 1..=40 {
        let address = if n % 2 == 1 { new.0 } else { old.0 };
        let text = backend.edit_start_file(|config| config["registry"] = json!(address));
        backend.reload(&text);
        backend.counters_until(|count| count("reloads") == n);
    }
    backend.signal("-TERM");
    let (status, log) = backend.wait_for_exit();
    assert!(status.success(), "{log}");
    let bodies: Vec<String> = [old.1, new.1]
        .iter()
        .flat_map(|reports| {
            reports
                .try_iter()
                .map(|report| report.body)
                .collect::<Vec<_>>()
        })
        .collect();
    assert!(
        bodies.iter().any(|body| body == r#"{"state":"draining"}"#),
        "{bodies:?}"
    );
}
