//! What a daemon with a journal directory knows after a crash: one process is killed and restarted among scripted
//! stand-ins. The proof `restarts` covers many processes and random faults.
#![cfg(all(feature = "journal", feature = "tools"))]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::Duration;

use asterdale_testkit::scripted::{wait_until, Backend};
use serde_json::{json, Value};

const KEY: (&str, &str) = ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
const OTHER_KEY: (&str, &str) = ("HTTP_IDEMPOTENCY_KEY", "77777777777777777777777777777777");
/// The retry window, and the deadline, which is the longest that a request may remain unread. With an empty journal
/// directory no keyed request is started for the sum of both.
const RETRY_WINDOW_MS: u64 = 2000;
const DEADLINE_MS: u64 = 1000;

fn journal_folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("asterdale-journal-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// Starts a backend with this journal directory, whose runtime is ready.
fn start_backend(folder: &Path) -> Backend {
    let backend = Backend::start_before_runtime(|config| {
        config["journal"] = json!({"folder": folder, "disk_mb": 16});
        for class in config["settings"]["lanes"].as_array_mut().unwrap() {
            (class["deadlineNs"], class["objectiveNs"]) =
                (json!(DEADLINE_MS * 1_000_000), json!(DEADLINE_MS * 900_000));
        }
        config["settings"]["lanes"][1]["memorySpanNs"] = json!(RETRY_WINDOW_MS * 1_000_000);
    });
    backend.runtime.set_ready();
    backend
}

/// Runs a subcommand of `asterdale journal` on a directory; returns its exit code and its output lines.
fn run_journal_command(subcommand: &str, folder: &Path) -> (i32, Vec<Value>) {
    let output = Command::new(env!("CARGO_BIN_EXE_asterdale"))
        .arg("journal")
        .arg(subcommand)
        .arg(folder)
        .output()
        .unwrap();
    let lines = String::from_utf8(output.stdout).unwrap();
    (
        output.status.code().unwrap(),
        lines
            .lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect(),
    )
}

fn execution_state(id: &str, folder: &Path) -> Option<Value> {
    run_journal_command("dump", folder)
        .1
        .into_iter()
        .find(|entry| entry["id"] == id)
        .map(|entry| entry["stage"].clone())
}

#[test]
#[expect(
    clippy::cognitive_complexity,
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn intents_and_outcomes_are_written_first_and_no_keyed_request_runs_again_after_a_crash() {
    let folder = journal_folder("crash");
    let mut backend = start_backend(&folder);
    let mut edge = backend.connect();
    // An empty directory may be a lost one: no answer says that a request never ran, and no keyed request runs.
    edge.send_task(1, "bid", "00000000000000a0", &[KEY]);
    let answer = edge.read_response().unwrap();
    assert_eq!(answer.status(), "500");
    assert!(
        answer.head.contains("X-Outcome: unknown") && answer.head.contains("Retry-After-Ms: "),
        "{}",
        answer.head
    );
    edge.send_task(2, "page", "00000000000000a1", &[]);
    assert_eq!(
        backend.runtime.expect_command("start")["rid"],
        "00000000000000a1"
    );
    backend
        .runtime
        .send_run_end("00000000000000a1", "PASS", b"page");
    assert_eq!(edge.read_response().unwrap().body, b"page");
    thread::sleep(Duration::from_millis(RETRY_WINDOW_MS + DEADLINE_MS + 300));

    edge.send_task(3, "bid", "00000000000000a2", &[KEY]);
    assert_eq!(
        backend.runtime.expect_command("start")["rid"],
        "00000000000000a2"
    );
    assert_eq!(
        execution_state("00000000000000a2", &folder),
        Some(json!("intent")),
        "the intent is written before the start is sent"
    );
    assert_eq!(
        run_journal_command("check", &folder).0,
        0,
        "the check passes while the process serves"
    );
    backend
        .runtime
        .send_run_end("00000000000000a2", "PASS", b"sold");
    assert_eq!(edge.read_response().unwrap().body, b"sold");
    assert_eq!(
        execution_state("00000000000000a2", &folder),
        Some(json!("passed")),
        "the outcome is written before the answer is sent"
    );

    edge.send_task(4, "bid", "00000000000000a3", &[OTHER_KEY]);
    backend.runtime.expect_command("start");
    backend.kill_and_restart();
    let mut edge = backend.connect();
    wait_until("the recovery check", || {
        backend
            .log()
            .contains("the folder is what the last run left")
    });
    edge.send_task(1, "bid", "00000000000000a4", &[KEY]);
    let answer = edge.read_response().unwrap();
    assert_eq!((answer.status(), &answer.body[..]), ("200", &b"sold"[..]));
    edge.send_task(2, "bid", "00000000000000a5", &[OTHER_KEY]);
    let answer = edge.read_response().unwrap();
    assert!(
        answer.head.contains("X-Outcome: unknown"),
        "{}",
        answer.head
    );
    assert_eq!(
        backend.runtime.try_next_command(),
        None,
        "neither request runs again"
    );
    let (code, stats) = run_journal_command("stats", &folder);
    assert_eq!(
        (
            code,
            &stats[0]["run"],
            &stats[0]["intents"],
            &stats[0]["passed"]
        ),
        (0, &json!(2), &json!(1), &json!(1))
    );

    // After the retry window the idempotency key can be used again.
    thread::sleep(Duration::from_millis(RETRY_WINDOW_MS + DEADLINE_MS + 300));
    edge.send_task(3, "bid", "00000000000000a6", &[OTHER_KEY]);
    assert_eq!(
        backend.runtime.expect_command("start")["rid"],
        "00000000000000a6"
    );
    backend
        .runtime
        .send_run_end("00000000000000a6", "PASS", b"again");
    assert_eq!(edge.read_response().unwrap().body, b"again");
    backend.signal("-TERM");
    assert!(backend.wait_for_exit().0.success());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn an_unreadable_journal_is_reported_by_the_exit_code() {
    let folder = journal_folder("unreadable");
    assert_eq!(
        run_journal_command("check", &folder).0,
        2,
        "a directory that does not exist"
    );
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("state.redb"), vec![7; 8192]).unwrap();
    assert_eq!(
        run_journal_command("check", &folder).0,
        2,
        "a file that the program cannot have written"
    );
    std::fs::remove_dir_all(folder).unwrap();
}
