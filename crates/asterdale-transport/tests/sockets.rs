//! Fleets of processes on real sockets, and traffic without the fleet's key, which must not disrupt them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use asterdale_membership::{Event, MembershipConfig, Metadata, Phase, Settings};
use asterdale_transport::{control, start, Transport, TransportSettings};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A local address whose port is free over UDP and TCP.
fn free_address() -> SocketAddr {
    loop {
        let udp = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = udp.local_addr().unwrap();
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn settings(name: &str, listen: SocketAddr, seeds: &[SocketAddr]) -> TransportSettings {
    let nonce = u64::from(listen.port()) << 8 | name.len() as u64;
    let membership = MembershipConfig {
        name: name.to_owned(),
        address: listen,
        last_generation: 0,
        nonce,
        seeds: seeds.to_vec(),
        key: b"sixteen bytes ok".to_vec(),
        settings: Settings {
            probe_interval_ms: 100.0,
            probe_timeout_ms: 30.0,
            ..Settings::default()
        },
        random_seed: nonce,
    };
    TransportSettings {
        listen,
        control_socket: None,
        membership,
        ownership: None,
    }
}

fn start_process(settings: TransportSettings) -> (Transport, Receiver<Event>) {
    let (sender, events) = channel();
    let on_event = move |event: &Event| drop(sender.send(event.clone()));
    let transport = start(settings, on_event, |_| ()).unwrap();
    (transport, events)
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn live_members(transport: &Transport) -> u32 {
    transport.summary.live_members()
}

#[test]
fn two_processes_join_publish_status_and_leave() {
    let (address, second_address) = (free_address(), free_address());
    let mut first = settings("one", address, &[]);
    let path = std::env::temp_dir().join(format!("asterdale-transport-{}", std::process::id()));
    first.control_socket = Some(path.clone());
    let (first, _) = start_process(first);
    let (second, events) = start_process(settings("two", second_address, &[address]));
    wait_until("both to join", || {
        live_members(&first) == 2 && live_members(&second) == 2
    });
    assert!(events.iter().any(|event| event == Event::Joined(1)));
    second.publish_status(Metadata {
        phase: Phase::Ready,
        load_percent: 30,
        warm_percent: 100,
    });
    wait_until("the status of the second", || {
        first.summary.warm_members() == 1 && !first.summary.is_local_warm()
    });
    let report = control::show(&path).unwrap();
    assert_eq!(report.live_generations().len(), 2);
    assert!(report.has_majority && report.to_table().contains("two"));
    assert!(second.leave());
    wait_until("the leave of the second", || {
        control::show(&path).unwrap().members[0].status == "left"
    });
    assert_eq!(live_members(&first), 1);
    control::leave(&path).unwrap();
    assert!(control::show(&path).is_ok_and(|report| report.state == "ended"));
    // If the removal fails, the file is left over, and the next run replaces it.
    let _ = std::fs::remove_file(path);
}

#[test]
fn unauthenticated_traffic_and_silent_streams_do_not_disrupt_the_fleet() {
    let address = free_address();
    let (first, _) = start_process(settings("one", address, &[]));
    wait_until("the first to join", || live_members(&first) == 1);
    // More silent streams than the limit, invalid lengths, and random data over UDP and TCP.
    let silent: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let noise = UdpSocket::bind("127.0.0.1:0").unwrap();
    for byte in 0..200u8 {
        let datagram = vec![byte; usize::from(byte) * 12];
        noise.send_to(&datagram, address).unwrap();
        if byte % 8 == 0 {
            let mut stream = TcpStream::connect(address).unwrap();
            // The process may have closed the stream already.
            let _ = stream.write_all(&[0xff, 0xff, 0xff, byte, 1, 2, 3]);
        }
    }
    // The silent streams are closed at their deadlines, and a process with the key joins.
    let (second, _) = start_process(settings("two", free_address(), &[address]));
    wait_until("both to join", || {
        live_members(&first) == 2 && live_members(&second) == 2
    });
    let counters = first.status_report().unwrap().counters;
    assert!(
        counters["foreign"] > 0 && counters["unreadable"] > 0,
        "{counters:?}"
    );
    for mut stream in silent {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        assert_eq!(
            stream.read(&mut [0; 8]).unwrap_or(0),
            0,
            "an unauthenticated connection got an answer"
        );
    }
}

#[test]
fn processes_with_different_keys_do_not_join() {
    let address = free_address();
    let (first, _) = start_process(settings("one", address, &[]));
    let mut other = settings("two", free_address(), &[address]);
    other.membership.key = b"another sixteen.".to_vec();
    let (second, _) = start_process(other);
    wait_until("both to be alone", || {
        live_members(&first) == 1 && live_members(&second) == 1
    });
    wait_until("rejected messages", || {
        first.status_report().unwrap().counters["foreign"] > 2
    });
    assert_eq!((live_members(&first), live_members(&second)), (1, 1));
}
