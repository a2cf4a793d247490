//! The talk on real sockets: processes that find each other, and strangers who cost them nothing.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use asterdale_membership::{Event, MembershipConfig, Metadata, Phase, Settings};
use asterdale_transport::{control, start, Transport, TransportSettings};

const PATIENCE: Duration = Duration::from_secs(30);

/// An address whose port is free for both.
fn address() -> SocketAddr {
    loop {
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let at = udp.local_addr().unwrap();
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

fn place(name: &str, listen: SocketAddr, seeds: &[SocketAddr]) -> TransportSettings {
    let terms = Settings {
        probe_interval_ms: 100.0,
        probe_timeout_ms: 30.0,
        ..Settings::default()
    };
    let nonce = u64::from(listen.port()) << 8 | name.len() as u64;
    let start = MembershipConfig {
        name: name.to_owned(),
        address: listen,
        last_generation: 0,
        nonce,
        seeds: seeds.to_vec(),
        key: b"sixteen bytes ok".to_vec(),
        settings: terms,
        random_seed: nonce,
    };
    TransportSettings {
        listen,
        control_socket: None,
        membership: start,
        ownership: None,
    }
}

fn talk(place: TransportSettings) -> (Transport, Receiver<Event>) {
    let (to, events) = channel();
    let talk = start(place, move |event| drop(to.send(event.clone())), |_| ()).unwrap();
    (talk, events)
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn processes_find_each_other_tell_how_they_do_and_leave() {
    let (one, two) = (address(), address());
    let mut first = place("one", one, &[]);
    let path = std::env::temp_dir().join(format!("asterdale-transport-{}", std::process::id()));
    first.control_socket = Some(path.clone());
    let (first, _) = talk(first);
    let (second, events) = talk(place("two", two, &[one]));
    until("both", || {
        first.summary.live_members() == 2 && second.summary.live_members() == 2
    });
    assert!(events.iter().any(|event| event == Event::Joined(1)));
    second.publish_status(Metadata {
        phase: Phase::Ready,
        load_percent: 30,
        warm_percent: 100,
    });
    until("its word", || {
        first.summary.warm_members() == 1 && !first.summary.is_local_warm()
    });
    let shown = control::show(&path).unwrap();
    assert_eq!(shown.live_generations().len(), 2);
    assert!(shown.certain && shown.to_table().contains("two"));
    assert!(second.leave());
    until("its leave", || {
        control::show(&path).unwrap().members[0].status == "left"
    });
    assert_eq!(first.summary.live_members(), 1);
    control::leave(&path).unwrap();
    assert!(control::show(&path).is_ok_and(|shown| shown.standing == "ended"));
    let _ = std::fs::remove_file(path);
}

#[test]
fn strangers_that_send_noise_or_nothing_keep_nobody_out() {
    let one = address();
    let (first, _) = talk(place("one", one, &[]));
    until("itself", || first.summary.live_members() == 1);
    // More silent streams than there are places, lengths that no exchange has, and noise on both ways.
    let silent: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(one).unwrap()).collect();
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..200u8 {
        noise.send_to(&vec![n; usize::from(n) * 12], one).unwrap();
        if n % 8 == 0 {
            let mut long = TcpStream::connect(one).unwrap();
            let _ = long.write_all(&[0xff, 0xff, 0xff, n, 1, 2, 3]);
        }
    }
    // All of it ends within its time, and whoever has the key gets in.
    let (second, _) = talk(place("two", address(), &[one]));
    until("both", || {
        first.summary.live_members() == 2 && second.summary.live_members() == 2
    });
    let shown = first.status_report().unwrap();
    assert!(
        shown.counts["foreign"] > 0 && shown.counts["unreadable"] > 0,
        "{:?}",
        shown.counts
    );
    for mut stream in silent {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        assert_eq!(
            stream.read(&mut [0; 8]).unwrap_or(0),
            0,
            "nothing is said to a stranger"
        );
    }
}

#[test]
fn another_key_is_another_fleet() {
    let one = address();
    let (first, _) = talk(place("one", one, &[]));
    let mut other = place("two", address(), &[one]);
    other.membership.key = b"another sixteen.".to_vec();
    let (second, _) = talk(other);
    until("each alone", || {
        first.summary.live_members() == 1 && second.summary.live_members() == 1
    });
    until("a refusal", || {
        first.status_report().unwrap().counts["foreign"] > 2
    });
    assert_eq!(
        (first.summary.live_members(), second.summary.live_members()),
        (1, 1)
    );
}
