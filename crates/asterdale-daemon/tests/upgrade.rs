//! Upgrades that go wrong, one by one: a test speaks in the place of the new process. What goes well, and what is
//! killed under load, is shown by the proof `upgrade`.
#![cfg(feature = "upgrade")]

use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use asterdale_hot_restart::frame::{encode, Incoming};
use asterdale_hot_restart::message::frame::What;
use asterdale_hot_restart::message::{Adopted, Hello, Loaded, Probed, Refuse};
use asterdale_testkit::scripted::{until, Backend, PATIENCE};
use serde_json::json;
use std::io::{Read, Write};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";
const KEY: (&str, &str) = ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");

struct Site {
    folder: PathBuf,
    backend: Backend,
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in asterdale_testkit::proofs::upgrade::processes(self.backend.file()) {
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

impl Site {
    fn new() -> Site {
        let folder = folder(0o700);
        let control = folder.join("control");
        let backend =
            Backend::start_before_runtime(|config| config["upgrade"] = json!({"control": control}));
        drop(backend.connect());
        backend.runtime.up();
        backend.counters_until(|count| count("links") == 1);
        Site { folder, backend }
    }

    fn control(&self) -> PathBuf {
        self.folder.join("control")
    }

    /// A program in whose place the test speaks: it tells its nonce, and sleeps.
    fn puppet(&self) -> PathBuf {
        let (path, nonce) = (self.folder.join("puppet"), self.folder.join("nonce"));
        let text = format!(
            "#!/bin/sh\nprintf %s \"$ASTERDALE_HANDOVER_NONCE\" > {0}.new\nmv {0}.new {0}\nexec sleep 60\n",
            nonce.display()
        );
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
        path
    }

    fn ask(&self, binary: &Path) -> Child {
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

    /// An upgrade to the puppet, and the puppet's connection, which has not spoken yet.
    fn begin(&self) -> (Child, Puppet, Vec<u8>) {
        let asked = self.ask(&self.puppet());
        let nonce = self.folder.join("nonce");
        until("the nonce", || nonce.exists());
        let stream = UnixStream::connect(self.control()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        (
            asked,
            Puppet {
                stream,
                incoming: Incoming::default(),
            },
            std::fs::read(nonce).unwrap(),
        )
    }

    /// The old process serves while it waits for the new one.
    fn carries_on_meanwhile(&self) {
        let mut edge = self.backend.connect();
        edge.task(1, "page", A, &[]);
        self.backend.runtime.command("start");
        self.backend.runtime.end(A, "PASS", b"meanwhile");
        assert_eq!(edge.answer().unwrap().body, b"meanwhile");
    }

    /// The old process carries on as if nothing had happened: a bid is run, and its repeat is not.
    fn carries_on(&self, asked: Child, why: &str) {
        let output = asked.wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            text.contains("the old process carries on") && text.contains(why),
            "{text}"
        );
        let mut edge = self.backend.connect();
        edge.task(1, "bid", B, &[KEY]);
        until("the start", || {
            self.backend
                .runtime
                .commanded()
                .is_some_and(|command| command["rid"] == B)
        });
        self.backend.runtime.end(B, "PASS", b"sold");
        assert_eq!(edge.answer().unwrap().body, b"sold");
        edge.task(2, "bid", A, &[KEY]);
        assert_eq!(edge.answer().unwrap().body, b"sold");
    }
}

struct Puppet {
    stream: UnixStream,
    incoming: Incoming,
}

impl Puppet {
    fn say(&mut self, what: What) {
        self.stream.write_all(&encode(what)).unwrap();
    }

    fn hello(&mut self, nonce: &[u8], version: u32) {
        self.say(What::Hello(Hello {
            version,
            shape: asterdale::snapshot::FORMAT_VERSION,
            nonce: nonce.to_vec(),
        }));
    }

    /// The next frame; `None` at the end. Descriptors that come with it are dropped.
    fn hear(&mut self) -> Option<What> {
        loop {
            if let Some(what) = self.incoming.take().unwrap() {
                return Some(what);
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(count) if count > 0 => self.incoming.add(&bytes[..count]),
                _ => return None,
            }
        }
    }

    /// As far as the last word: it has the state, and is about to say so.
    fn up_to_the_state(&mut self, nonce: &[u8]) -> u64 {
        self.hello(nonce, asterdale_hot_restart::VERSION);
        assert!(matches!(self.hear(), Some(What::Offer(_))));
        self.say(What::Adopted(Adopted {}));
        while !matches!(self.hear().unwrap(), What::Trial(part) if part.last) {}
        self.say(What::Probed(Probed {}));
        loop {
            if let What::State(part) = self.hear().unwrap() {
                if part.last {
                    return part.epoch;
                }
            }
        }
    }
}

#[test]
fn another_release_and_a_stranger_are_turned_away() {
    let site = Site::new();
    let (asked, mut puppet, nonce) = site.begin();
    puppet.hello(&nonce, 99);
    site.carries_on(asked, "version 99");
    let site = Site::new();
    let (asked, mut stranger, _) = site.begin();
    stranger.hello(b"made up", asterdale_hot_restart::VERSION);
    site.carries_on(asked, "a stranger");
}

#[test]
fn one_that_ends_with_the_listener_in_hand_leaves_it_to_the_old_one() {
    let site = Site::new();
    let (asked, mut puppet, nonce) = site.begin();
    puppet.hello(&nonce, asterdale_hot_restart::VERSION);
    assert!(matches!(puppet.hear(), Some(What::Offer(_))));
    drop(puppet);
    site.carries_on(asked, "has ended");
}

#[test]
fn one_that_refuses_or_speaks_out_of_turn_is_not_waited_for() {
    let site = Site::new();
    let (asked, mut puppet, nonce) = site.begin();
    puppet.hello(&nonce, asterdale_hot_restart::VERSION);
    puppet.say(What::Refuse(Refuse {
        why: "no disk".into(),
    }));
    site.carries_on(asked, "no disk");
    let site = Site::new();
    let (asked, mut puppet, nonce) = site.begin();
    puppet.hello(&nonce, asterdale_hot_restart::VERSION);
    puppet.say(What::Loaded(Loaded { epoch: 2 }));
    site.carries_on(asked, "out of turn");
}

#[test]
fn one_that_falls_silent_with_the_state_in_hand_is_killed_and_what_came_meanwhile_is_served() {
    let site = Site::new();
    let mut edge = site.backend.connect();
    edge.task(1, "page", A, &[]);
    site.backend.runtime.command("start");
    let (asked, mut puppet, nonce) = site.begin();
    assert_eq!(puppet.up_to_the_state(&nonce), 2);
    // Nothing is started now; what comes waits.
    let mut other = site.backend.connect();
    other.task(1, "page", "00000000000000cc", &[]);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(site.backend.runtime.commanded(), None);
    site.backend.runtime.end(A, "PASS", b"meanwhile");
    // After a second the old one goes on.
    assert_eq!(edge.answer().unwrap().body, b"meanwhile");
    until("the start", || {
        site.backend
            .runtime
            .commanded()
            .is_some_and(|command| command["rid"] == "00000000000000cc")
    });
    site.backend
        .runtime
        .end("00000000000000cc", "PASS", b"late");
    assert_eq!(other.answer().unwrap().body, b"late");
    site.carries_on(asked, "too long");
    // Its word comes too late: nobody hears it.
    assert_eq!(puppet.hear(), None);
}

#[test]
fn a_second_upgrade_is_turned_away_while_one_is_under_way() {
    let site = Site::new();
    let (asked, puppet, _nonce) = site.begin();
    let second = site
        .ask(&site.folder.join("nowhere"))
        .wait_with_output()
        .unwrap();
    assert!(String::from_utf8(second.stderr)
        .unwrap()
        .contains("an upgrade is under way"));
    drop(puppet);
    let mut stranger = UnixStream::connect(site.control()).unwrap();
    stranger
        .write_all(&encode(What::Hello(Hello::default())))
        .unwrap();
    site.carries_on(asked, "a stranger");
}

#[test]
fn the_control_socket_is_bound_only_where_nobody_else_can_come_and_nobody_holds_it() {
    let site = Site::new();
    let told = |control: PathBuf| {
        let mut config = asterdale_testkit::scripted::config(
            asterdale_testkit::scripted::address(),
            asterdale_testkit::scripted::address(),
            asterdale_testkit::scripted::address(),
            asterdale_testkit::scripted::address(),
        );
        config["upgrade"] = json!({"control": control});
        let (child, file) = asterdale_testkit::scripted::launch(&config);
        let output = child.wait_with_output().unwrap();
        std::fs::remove_file(file).unwrap();
        assert_eq!(output.status.code(), Some(1));
        String::from_utf8(output.stderr).unwrap()
    };
    assert!(told(site.control()).contains("another process holds it"));
    let open = folder(0o755);
    assert!(told(open.join("control")).contains("closed to all others"));
    assert!(told(open.join("nowhere/control")).contains("upgrade.control"));
    std::fs::remove_dir_all(open).unwrap();
    // What a process that was killed left behind is no hindrance.
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
fn one_that_hangs_before_it_speaks_is_killed_and_the_old_one_carries_on() {
    let site = Site::new();
    let asked = site.ask(&site.puppet());
    site.carries_on_meanwhile();
    site.carries_on(asked, "too long: Offered");
}

#[test]
fn one_that_has_too_few_descriptors_is_found_out_before_it_has_the_work() {
    let site = Site::new();
    let path = site.folder.join("poor");
    for descriptors in [4, 6, 9, 12, 24, 512] {
        let program = asterdale_testkit::process::program();
        let program = std::fs::canonicalize(program).unwrap();
        let text = format!(
            "#!/bin/sh\nulimit -n {descriptors}\nexec {} \"$@\"\n",
            program.display()
        );
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
        // Before the commit: after it, it would have the work and accept nothing.
        let output = site.ask(&path).wait_with_output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(
            text.contains("the old process carries on"),
            "{descriptors}: {text}"
        );
    }
    let last = site.ask(&site.folder.join("nowhere"));
    site.carries_on(last, "nowhere");
}

#[test]
fn told_to_leave_in_the_middle_the_old_one_leaves_in_order_and_the_new_one_ends() {
    let mut site = Site::new();
    let mut edge = site.backend.connect();
    edge.task(1, "page", A, &[]);
    site.backend.runtime.command("start");
    let (asked, mut puppet, nonce) = site.begin();
    puppet.hello(&nonce, asterdale_hot_restart::VERSION);
    assert!(matches!(puppet.hear(), Some(What::Offer(_))));
    site.backend.signal("-HUP");
    site.backend.signal("-TERM");
    until("the notice", || {
        site.backend.log().contains("engine: draining")
    });
    site.backend.runtime.end(A, "PASS", b"in time");
    assert_eq!(edge.answer().unwrap().body, b"in time");
    assert!(site.backend.ended().0.success());
    assert_eq!(puppet.hear(), None);
    drop(asked.wait_with_output());
}

#[test]
fn a_guardian_that_is_killed_leaves_the_new_process_serving_alone() {
    let site = Site::new();
    let mut edge = site.backend.connect();
    edge.task(1, "bid", A, &[KEY]);
    site.backend.runtime.command("start");
    site.backend.runtime.end(A, "PASS", b"sold");
    assert_eq!(edge.status(1), "200");
    site.backend.signal("-USR2");
    until("the new process", || {
        site.backend.log().contains("this process goes on")
    });
    let new = successor(&site.backend.log());
    site.backend.signal("-KILL");
    // The first connections may still have been taken by the one that is killed.
    until("an answer", || {
        let mut edge = site.backend.connect();
        edge.try_send(&asterdale_testkit::scripted::request(
            1,
            "/healthz",
            &[],
            b"",
        ))
        .is_ok()
            && matches!(edge.try_answer(), Ok(Some(answer)) if answer.status() == "200")
    });
    let mut edge = site.backend.connect();
    edge.task(1, "bid", B, &[KEY]);
    assert_eq!(edge.answer().unwrap().body, b"sold");
    assert_eq!(site.backend.runtime.commanded(), None);
    asterdale_testkit::proofs::upgrade::signal(new, "KILL");
}

/// The process that went on, by its own line.
fn successor(log: &str) -> u32 {
    let line = log
        .lines()
        .rfind(|line| line.contains("this process goes on"))
        .unwrap();
    let number = line.split("process: ").nth(1).unwrap();
    number.split(',').next().unwrap().trim().parse().unwrap()
}

/// What a line of the log says of the module, after these words.
fn summary(log: &str, words: &str) -> String {
    let line = log
        .lines()
        .find(|line| line.contains(words))
        .unwrap_or_else(|| panic!("no {words} in {log}"));
    let from = line.find("Summary {").unwrap();
    line[from..line[from..].find('}').unwrap() + from].to_owned()
}

#[test]
fn the_new_process_goes_on_where_the_old_one_stood_and_answers_over_its_connections() {
    let mut site = Site::new();
    let mut edge = site.backend.connect();
    for n in 0..40u16 {
        let id = format!("{n:016x}");
        edge.task(n + 1, "page", &id, &[]);
        site.backend.runtime.command("start");
        site.backend.runtime.end(&id, "PASS", b"warm");
        assert_eq!(edge.status(n + 1), "200");
    }
    edge.task(50, "bid", A, &[KEY]);
    site.backend.runtime.command("start");
    // By the signal: to the program that runs.
    site.backend.signal("-USR2");
    until("the new process", || {
        site.backend.log().contains("this process goes on")
    });
    let new = successor(&site.backend.log());
    let log = site.backend.log();
    assert_eq!(
        summary(&log, "hot restart: committed to the new process"),
        summary(&log, "this process goes on")
    );
    // What the old one had started ends for the new one, and is answered over the old one's connection.
    until("the link", || {
        site.backend
            .log()
            .matches("runtime: link established")
            .count()
            == 2
    });
    site.backend.runtime.end(A, "PASS", b"sold");
    let answer = edge.answer().unwrap();
    assert_eq!((answer.request, answer.body.as_slice()), (50, &b"sold"[..]));
    assert_eq!(edge.answer(), None, "a connection of the old process stays");
    let mut other = site.backend.connect();
    other.task(1, "bid", B, &[KEY]);
    assert_eq!(other.answer().unwrap().body, b"sold");
    assert_eq!(site.backend.runtime.commanded(), None);
    // Killed, its work comes back to the old one, which knows what the dead one had run.
    let late = ("HTTP_IDEMPOTENCY_KEY", "late");
    other.task(2, "bid", "00000000000000cc", &[late]);
    site.backend.runtime.command("start");
    asterdale_testkit::proofs::upgrade::signal(new, "KILL");
    // Its connections break; what came over the old one's (one of which may have been made since) hears that
    // nothing is claimed.
    let end = other.answer();
    assert!(
        end.as_ref().is_none_or(|answer| answer.status() == "500"),
        "{end:?}"
    );
    until("the way back", || {
        site.backend
            .log()
            .contains("hot restart: new process ended, work taken back")
    });
    site.backend
        .runtime
        .end("00000000000000cc", "PASS", b"by the dead one");
    let mut again = site.backend.connect();
    again.task(1, "bid", "00000000000000dd", &[late]);
    assert_eq!(again.answer().unwrap().body, b"by the dead one");
    assert_eq!(site.backend.runtime.commanded(), None);
    site.backend.signal("-TERM");
    assert!(site.backend.ended().0.success());
}
