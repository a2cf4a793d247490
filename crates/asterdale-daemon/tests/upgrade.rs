//! Hot restarts that fail, one by one: the test takes the new process's part of the protocol. The proof `upgrade` covers
//! those that succeed, and crashes under load.
#![cfg(feature = "upgrade")]

use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use asterdale_hot_restart::frame::{encode, FrameDecoder};
use asterdale_hot_restart::message::frame::Payload;
use asterdale_hot_restart::message::{
    Hello, ListenersAdopted, Refuse, StateLoaded, TrialStateLoaded,
};
use asterdale_testkit::scripted::{wait_until, Backend, WAIT_TIMEOUT};
use serde_json::json;
use std::io::{Read, Write};

const ID_A: &str = "00000000000000aa";
const ID_B: &str = "00000000000000bb";
const KEY: (&str, &str) = ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");

struct TestSite {
    folder: PathBuf,
    backend: Backend,
}

impl Drop for TestSite {
    fn drop(&mut self) {
        for process in asterdale_testkit::proofs::upgrade::processes(self.backend.start_file()) {
            asterdale_testkit::proofs::upgrade::signal(process, "KILL");
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn folder(mode: u32) -> PathBuf {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("asterdale-up-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::set_permissions(&folder, std::fs::Permissions::from_mode(mode)).unwrap();
    folder
}

impl TestSite {
    fn new() -> TestSite {
        let folder = folder(0o700);
        let control = folder.join("control");
        let backend =
            Backend::start_before_runtime(|config| config["upgrade"] = json!({"control": control}));
        drop(backend.connect());
        backend.runtime.set_ready();
        backend.counters_until(|count| count("links") == 1);
        TestSite { folder, backend }
    }

    fn control(&self) -> PathBuf {
        self.folder.join("control")
    }

    /// A program that writes its nonce to a file and sleeps, while the test plays its part of the protocol.
    fn scripted_program(&self) -> PathBuf {
        let (path, nonce) = (self.folder.join("scripted"), self.folder.join("nonce"));
        let text = format!(
            "#!/bin/sh\nprintf %s \"$ASTERDALE_HANDOVER_NONCE\" > {0}.new\nmv {0}.new {0}\nexec sleep 60\n",
            nonce.display()
        );
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
        path
    }

    fn request_upgrade(&self, binary: &Path) -> Child {
        Command::new(asterdale_testkit::process::program())
            .args(["upgrade", "--control"])
            .arg(self.control())
            .arg("--binary")
            .arg(binary)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    }

    /// Starts an upgrade to the scripted program. Returns the requester, the new process's connection, on which no hello
    /// has been sent yet, and the nonce.
    fn start_upgrade(&self) -> (Child, ScriptedProcess, Vec<u8>) {
        let requester = self.request_upgrade(&self.scripted_program());
        let nonce = self.folder.join("nonce");
        wait_until("the nonce", || nonce.exists());
        let stream = UnixStream::connect(self.control()).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        (
            requester,
            ScriptedProcess {
                stream,
                decoder: FrameDecoder::default(),
            },
            std::fs::read(nonce).unwrap(),
        )
    }

    /// Checks that the old process serves while it waits for the new one.
    fn assert_serves_meanwhile(&self) {
        let mut edge = self.backend.connect();
        edge.send_task(1, "page", ID_A, &[]);
        self.backend.runtime.expect_command("start");
        self.backend
            .runtime
            .send_run_end(ID_A, "PASS", b"meanwhile");
        assert_eq!(edge.read_response().unwrap().body, b"meanwhile");
    }

    /// Checks that the old process serves as if nothing had happened: a request runs, and its retry does not.
    fn assert_old_process_serves(&self, requester: Child, reason: &str) {
        let output = requester.wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            text.contains("the old process carries on") && text.contains(reason),
            "{text}"
        );
        let mut edge = self.backend.connect();
        edge.send_task(1, "bid", ID_B, &[KEY]);
        wait_until("the start", || {
            self.backend
                .runtime
                .try_next_command()
                .is_some_and(|command| command["rid"] == ID_B)
        });
        self.backend.runtime.send_run_end(ID_B, "PASS", b"sold");
        assert_eq!(edge.read_response().unwrap().body, b"sold");
        edge.send_task(2, "bid", ID_A, &[KEY]);
        assert_eq!(edge.read_response().unwrap().body, b"sold");
    }
}

struct ScriptedProcess {
    stream: UnixStream,
    decoder: FrameDecoder,
}

impl ScriptedProcess {
    fn send(&mut self, payload: Payload) {
        self.stream.write_all(&encode(payload)).unwrap();
    }

    fn send_hello(&mut self, nonce: &[u8], version: u32) {
        self.send(Payload::Hello(Hello {
            version,
            state_format: asterdale::snapshot::FORMAT_VERSION,
            nonce: nonce.to_vec(),
        }));
    }

    /// The next message; `None` at the end of the stream. Descriptors that come with it are dropped.
    fn receive(&mut self) -> Option<Payload> {
        loop {
            if let Some(payload) = self.decoder.next_message().unwrap() {
                return Some(payload);
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(count) if count > 0 => self.decoder.push(&bytes[..count]),
                _ => return None,
            }
        }
    }

    /// Runs the protocol until the state is received and only its confirmation is missing; returns the state's epoch.
    fn receive_state(&mut self, nonce: &[u8]) -> u64 {
        self.send_hello(nonce, asterdale_hot_restart::VERSION);
        assert!(matches!(self.receive(), Some(Payload::Listeners(_))));
        self.send(Payload::ListenersAdopted(ListenersAdopted {}));
        while !matches!(self.receive().unwrap(), Payload::TrialState(chunk) if chunk.is_last) {}
        self.send(Payload::TrialStateLoaded(TrialStateLoaded {}));
        loop {
            if let Payload::State(chunk) = self.receive().unwrap() {
                if chunk.is_last {
                    return chunk.epoch;
                }
            }
        }
    }
}

#[test]
fn another_release_and_an_invalid_nonce_are_rejected() {
    let site = TestSite::new();
    let (requester, mut scripted, nonce) = site.start_upgrade();
    scripted.send_hello(&nonce, 99);
    site.assert_old_process_serves(requester, "version 99");
    let site = TestSite::new();
    let (requester, mut other_process, _) = site.start_upgrade();
    other_process.send_hello(b"made up", asterdale_hot_restart::VERSION);
    site.assert_old_process_serves(
        requester,
        "another process connected in place of the new process",
    );
}

#[test]
fn the_old_process_serves_if_the_new_one_ends_with_the_listeners() {
    let site = TestSite::new();
    let (requester, mut scripted, nonce) = site.start_upgrade();
    scripted.send_hello(&nonce, asterdale_hot_restart::VERSION);
    assert!(matches!(scripted.receive(), Some(Payload::Listeners(_))));
    drop(scripted);
    site.assert_old_process_serves(requester, "has ended");
}

#[test]
fn a_refusal_or_an_unexpected_message_ends_the_attempt() {
    let site = TestSite::new();
    let (requester, mut scripted, nonce) = site.start_upgrade();
    scripted.send_hello(&nonce, asterdale_hot_restart::VERSION);
    scripted.send(Payload::Refuse(Refuse {
        reason: "no disk".into(),
    }));
    site.assert_old_process_serves(requester, "no disk");
    let site = TestSite::new();
    let (requester, mut scripted, nonce) = site.start_upgrade();
    scripted.send_hello(&nonce, asterdale_hot_restart::VERSION);
    scripted.send(Payload::StateLoaded(StateLoaded { epoch: 2 }));
    site.assert_old_process_serves(requester, "sent an unexpected message");
}

#[test]
fn a_new_process_that_hangs_with_the_state_is_killed_and_queued_requests_are_served() {
    let site = TestSite::new();
    let mut edge = site.backend.connect();
    edge.send_task(1, "page", ID_A, &[]);
    site.backend.runtime.expect_command("start");
    let (requester, mut scripted, nonce) = site.start_upgrade();
    assert_eq!(scripted.receive_state(&nonce), 2);
    // Nothing is started now; new requests are queued.
    let mut other = site.backend.connect();
    other.send_task(1, "page", "00000000000000cc", &[]);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(site.backend.runtime.try_next_command(), None);
    site.backend
        .runtime
        .send_run_end(ID_A, "PASS", b"meanwhile");
    // After a second the old process continues.
    assert_eq!(edge.read_response().unwrap().body, b"meanwhile");
    wait_until("the start", || {
        site.backend
            .runtime
            .try_next_command()
            .is_some_and(|command| command["rid"] == "00000000000000cc")
    });
    site.backend
        .runtime
        .send_run_end("00000000000000cc", "PASS", b"late");
    assert_eq!(other.read_response().unwrap().body, b"late");
    site.assert_old_process_serves(requester, "too long");
    // The new process's confirmation would be too late: the connection is closed.
    assert_eq!(scripted.receive(), None);
}

#[test]
fn a_second_upgrade_is_rejected_while_one_is_under_way() {
    let site = TestSite::new();
    let (requester, scripted, _nonce) = site.start_upgrade();
    let second = site
        .request_upgrade(&site.folder.join("nowhere"))
        .wait_with_output()
        .unwrap();
    assert!(String::from_utf8(second.stderr)
        .unwrap()
        .contains("an upgrade is under way"));
    drop(scripted);
    let mut other_process = UnixStream::connect(site.control()).unwrap();
    other_process
        .write_all(&encode(Payload::Hello(Hello::default())))
        .unwrap();
    site.assert_old_process_serves(
        requester,
        "another process connected in place of the new process",
    );
}

#[test]
fn the_control_socket_needs_a_private_folder_and_no_other_process() {
    let site = TestSite::new();
    let start_error = |control: PathBuf| {
        let mut config = asterdale_testkit::scripted::start_file_json(
            asterdale_testkit::scripted::unused_address(),
            asterdale_testkit::scripted::unused_address(),
            asterdale_testkit::scripted::unused_address(),
            asterdale_testkit::scripted::unused_address(),
        );
        config["upgrade"] = json!({"control": control});
        let (child, file) = asterdale_testkit::scripted::launch(&config);
        let output = child.wait_with_output().unwrap();
        std::fs::remove_file(file).unwrap();
        assert_eq!(output.status.code(), Some(1));
        String::from_utf8(output.stderr).unwrap()
    };
    assert!(start_error(site.control()).contains("another process holds it"));
    let open = folder(0o755);
    assert!(start_error(open.join("control")).contains("closed to all others"));
    assert!(start_error(open.join("nowhere/control")).contains("upgrade.control"));
    std::fs::remove_dir_all(open).unwrap();
    // The socket of a process that was killed is replaced.
    let stale = folder(0o700);
    drop(std::os::unix::net::UnixListener::bind(stale.join("control")).unwrap());
    let backend = Backend::start_before_runtime(|config| {
        config["upgrade"] = json!({"control": stale.join("control")});
    });
    drop(backend.connect());
    drop(UnixStream::connect(stale.join("control")).unwrap());
    std::fs::remove_dir_all(stale).unwrap();
}

#[test]
fn a_new_process_that_hangs_before_hello_is_killed() {
    let site = TestSite::new();
    let requester = site.request_upgrade(&site.scripted_program());
    site.assert_serves_meanwhile();
    site.assert_old_process_serves(requester, "too long in phase Offered");
}

#[test]
fn too_few_descriptors_are_detected_before_the_new_process_serves() {
    let site = TestSite::new();
    let path = site.folder.join("limited");
    for descriptors in [4, 6, 9, 12, 24, 512] {
        let program = asterdale_testkit::process::program();
        let program = std::fs::canonicalize(program).unwrap();
        let text = format!(
            "#!/bin/sh\nulimit -n {descriptors}\nexec {} \"$@\"\n",
            program.display()
        );
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
        // If this were not detected, the new process would later serve but accept no connections.
        let output = site.request_upgrade(&path).wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            text.contains("the old process carries on"),
            "{descriptors}: {text}"
        );
    }
    let last = site.request_upgrade(&site.folder.join("nowhere"));
    site.assert_old_process_serves(last, "nowhere");
}

#[test]
fn draining_during_the_attempt_ends_both_processes_in_order() {
    let mut site = TestSite::new();
    let mut edge = site.backend.connect();
    edge.send_task(1, "page", ID_A, &[]);
    site.backend.runtime.expect_command("start");
    let (requester, mut scripted, nonce) = site.start_upgrade();
    scripted.send_hello(&nonce, asterdale_hot_restart::VERSION);
    assert!(matches!(scripted.receive(), Some(Payload::Listeners(_))));
    site.backend.signal("-HUP");
    site.backend.signal("-TERM");
    wait_until("the notice", || {
        site.backend.log().contains("engine: draining")
    });
    site.backend.runtime.send_run_end(ID_A, "PASS", b"in time");
    assert_eq!(edge.read_response().unwrap().body, b"in time");
    assert!(site.backend.wait_for_exit().0.success());
    assert_eq!(scripted.receive(), None);
    drop(requester.wait_with_output());
}

#[test]
fn the_new_process_serves_alone_if_the_old_one_is_killed() {
    let site = TestSite::new();
    let mut edge = site.backend.connect();
    edge.send_task(1, "bid", ID_A, &[KEY]);
    site.backend.runtime.expect_command("start");
    site.backend.runtime.send_run_end(ID_A, "PASS", b"sold");
    assert_eq!(edge.expect_status(1), "200");
    site.backend.signal("-USR2");
    wait_until("the new process", || {
        site.backend.log().contains("hot restart: state restored")
    });
    let new = new_process_id(&site.backend.log());
    site.backend.signal("-KILL");
    // The first connections may still be accepted by the process that is killed.
    wait_until("an answer", || {
        let mut edge = site.backend.connect();
        edge.try_send(&asterdale_testkit::scripted::request(
            1,
            "/healthz",
            &[],
            b"",
        ))
        .is_ok()
            && matches!(edge.try_read_response(), Ok(Some(answer)) if answer.status() == "200")
    });
    let mut edge = site.backend.connect();
    edge.send_task(1, "bid", ID_B, &[KEY]);
    assert_eq!(edge.read_response().unwrap().body, b"sold");
    assert_eq!(site.backend.runtime.try_next_command(), None);
    asterdale_testkit::proofs::upgrade::signal(new, "KILL");
}

/// The id of the process that took over, from its line in the log.
fn new_process_id(log: &str) -> u32 {
    let line = log
        .lines()
        .rfind(|line| line.contains("hot restart: state restored"))
        .unwrap();
    let number = line.split("process: ").nth(1).unwrap();
    number.split(',').next().unwrap().trim().parse().unwrap()
}

/// The summary of the state in the first line of the log with this event.
fn summary(log: &str, event: &str) -> String {
    let line = log
        .lines()
        .find(|line| line.contains(event))
        .unwrap_or_else(|| panic!("no {event} in {log}"));
    let from = line.find("Summary {").unwrap();
    line[from..line[from..].find('}').unwrap() + from].to_owned()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn the_new_process_continues_from_the_state_and_replies_over_the_old_connections() {
    let mut site = TestSite::new();
    let mut edge = site.backend.connect();
    for n in 0..40u16 {
        let id = format!("{n:016x}");
        edge.send_task(n + 1, "page", &id, &[]);
        site.backend.runtime.expect_command("start");
        site.backend.runtime.send_run_end(&id, "PASS", b"warm");
        assert_eq!(edge.expect_status(n + 1), "200");
    }
    edge.send_task(50, "bid", ID_A, &[KEY]);
    site.backend.runtime.expect_command("start");
    // SIGUSR2 starts a hot restart to the same program.
    site.backend.signal("-USR2");
    wait_until("the new process", || {
        let log = site.backend.log();
        log.contains("hot restart: state restored")
            && log.contains("hot restart: committed to the new process")
    });
    let new = new_process_id(&site.backend.log());
    let log = site.backend.log();
    assert_eq!(
        summary(&log, "hot restart: committed to the new process"),
        summary(&log, "hot restart: state restored")
    );
    // A request that the old process had started ends in the new one, and its response goes over the old one's connection.
    wait_until("the link", || {
        site.backend
            .log()
            .matches("runtime: link established")
            .count()
            == 2
    });
    site.backend.runtime.send_run_end(ID_A, "PASS", b"sold");
    let answer = edge.read_response().unwrap();
    assert_eq!((answer.request, answer.body.as_slice()), (50, &b"sold"[..]));
    assert_eq!(
        edge.read_response(),
        None,
        "a connection of the old process stays"
    );
    let mut other = site.backend.connect();
    other.send_task(1, "bid", ID_B, &[KEY]);
    assert_eq!(other.read_response().unwrap().body, b"sold");
    assert_eq!(site.backend.runtime.try_next_command(), None);
    // When the new process is killed, the old one takes the work back and knows which requests ran.
    let late = ("HTTP_IDEMPOTENCY_KEY", "late");
    other.send_task(2, "bid", "00000000000000cc", &[late]);
    site.backend.runtime.expect_command("start");
    asterdale_testkit::proofs::upgrade::signal(new, "KILL");
    // The new process's connections break. If `other` is still a connection of the old process, the response on it does
    // not say whether the request ran.
    let end = other.read_response();
    assert!(
        end.as_ref().is_none_or(|answer| answer.status() == "500"),
        "{end:?}"
    );
    wait_until("the old process to take the work back", || {
        site.backend
            .log()
            .contains("hot restart: new process ended, work taken back")
    });
    site.backend
        .runtime
        .send_run_end("00000000000000cc", "PASS", b"by the dead one");
    let mut again = site.backend.connect();
    again.send_task(1, "bid", "00000000000000dd", &[late]);
    assert_eq!(again.read_response().unwrap().body, b"by the dead one");
    assert_eq!(site.backend.runtime.try_next_command(), None);
    site.backend.signal("-TERM");
    assert!(site.backend.wait_for_exit().0.success());
}
