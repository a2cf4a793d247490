//! The mailbox of an actor that waits for sockets: a letter wakes it as a byte on a socket does.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crossbeam_channel::{unbounded, Receiver, Sender};
use mio::{Poll, Token, Waker};

/// The end that anybody writes to. Never waits.
pub struct MailboxSender<T> {
    letters: Sender<T>,
    waker: Arc<Waker>,
    woken: Arc<AtomicBool>,
}

impl<T> Clone for MailboxSender<T> {
    fn clone(&self) -> MailboxSender<T> {
        MailboxSender {
            letters: self.letters.clone(),
            waker: self.waker.clone(),
            woken: self.woken.clone(),
        }
    }
}

/// The actor's end.
pub struct MailboxReceiver<T> {
    letters: Receiver<T>,
    woken: Arc<AtomicBool>,
}

/// A mailbox that wakes this poll with this token.
pub fn open<T>(poll: &Poll, token: Token) -> io::Result<(MailboxSender<T>, MailboxReceiver<T>)> {
    let (to, from) = unbounded();
    let waker = Arc::new(Waker::new(poll.registry(), token)?);
    let woken = Arc::new(AtomicBool::new(false));
    Ok((
        MailboxSender {
            letters: to,
            waker,
            woken: woken.clone(),
        },
        MailboxReceiver {
            letters: from,
            woken,
        },
    ))
}

impl<T> MailboxSender<T> {
    /// Hands a letter over; `false` if nobody will read it.
    pub fn send(&self, letter: T) -> bool {
        if self.letters.send(letter).is_err() {
            return false;
        }
        // One wake is enough for all letters that lie there when the actor looks.
        self.woken.swap(true, Ordering::AcqRel) || self.waker.wake().is_ok()
    }
}

impl<T> MailboxReceiver<T> {
    /// The letters that are there. One that comes from now on wakes the actor again.
    pub fn take(&self) -> impl Iterator<Item = T> + '_ {
        // Against a letter whose sender found the flag still set and woke nobody: this swap comes after that one,
        // and so finds the letter there.
        self.woken.swap(false, Ordering::AcqRel);
        self.letters.try_iter()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use mio::Events;
    use std::thread;
    use std::time::Duration;

    #[test]
    fn every_letter_is_read_by_an_actor_that_only_looks_when_it_is_woken() {
        const EACH: usize = 5000;
        let mut poll = Poll::new().unwrap();
        let (post, letters) = open(&poll, Token(0)).unwrap();
        let senders: Vec<_> = (0..3)
            .map(|_| {
                let post = post.clone();
                thread::spawn(move || (0..EACH).for_each(|n| assert!(post.send(n))))
            })
            .collect();
        let (mut events, mut read) = (Events::with_capacity(8), 0);
        while read < 3 * EACH {
            poll.poll(&mut events, Some(Duration::from_secs(30)))
                .unwrap();
            assert!(
                !events.is_empty(),
                "nobody was woken for the rest of {read} letters"
            );
            read += letters.take().count();
        }
        senders
            .into_iter()
            .for_each(|sender| sender.join().unwrap());
        drop(letters);
        assert!(!post.send(0));
    }
}
