//! An actor that reads its mailbox only when it is woken reads every message.

use std::thread;
use std::time::Duration;

use mio::Events;

use super::*;

#[test]
fn actor_that_reads_only_when_woken_reads_every_message() {
    const PER_SENDER: usize = 5000;
    const SENDERS: usize = 3;
    let mut poll = Poll::new().unwrap();
    let (sender, receiver) = open(&poll, Token(0)).unwrap();
    let threads: Vec<_> = (0..SENDERS)
        .map(|_| {
            let sender = sender.clone();
            thread::spawn(move || (0..PER_SENDER).for_each(|n| assert!(sender.send(n))))
        })
        .collect();
    let (mut events, mut read) = (Events::with_capacity(8), 0);
    while read < SENDERS * PER_SENDER {
        poll.poll(&mut events, Some(Duration::from_secs(30)))
            .unwrap();
        assert!(
            !events.is_empty(),
            "no wake-up after {read} messages were read"
        );
        read += receiver.take().count();
    }
    for thread in threads {
        thread.join().unwrap();
    }
    drop(receiver);
    assert!(!sender.send(0));
}
