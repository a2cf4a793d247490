//! The mailbox of an actor that polls sockets: a message wakes it as a readable socket does.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crossbeam_channel::{unbounded, Receiver, Sender};
use mio::{Poll, Token, Waker};

/// The senders' end. Never blocks.
pub struct MailboxSender<T> {
    messages: Sender<T>,
    waker: Arc<Waker>,
    is_woken: Arc<AtomicBool>,
}

impl<T> Clone for MailboxSender<T> {
    fn clone(&self) -> MailboxSender<T> {
        MailboxSender {
            messages: self.messages.clone(),
            waker: self.waker.clone(),
            is_woken: self.is_woken.clone(),
        }
    }
}

/// The actor's end.
pub struct MailboxReceiver<T> {
    messages: Receiver<T>,
    is_woken: Arc<AtomicBool>,
}

/// A mailbox that wakes this poll with this token.
///
/// # Errors
/// The system refuses a waker.
pub fn open<T>(poll: &Poll, token: Token) -> io::Result<(MailboxSender<T>, MailboxReceiver<T>)> {
    let (sender, receiver) = unbounded();
    let waker = Arc::new(Waker::new(poll.registry(), token)?);
    let is_woken = Arc::new(AtomicBool::new(false));
    Ok((
        MailboxSender {
            messages: sender,
            waker,
            is_woken: is_woken.clone(),
        },
        MailboxReceiver {
            messages: receiver,
            is_woken,
        },
    ))
}

impl<T> MailboxSender<T> {
    /// Sends a message; `false` if nobody will read it.
    pub fn send(&self, message: T) -> bool {
        if self.messages.send(message).is_err() {
            return false;
        }
        // One wake-up is enough for all messages that are there when the actor looks.
        self.is_woken.swap(true, Ordering::AcqRel) || self.waker.wake().is_ok()
    }
}

impl<T> MailboxReceiver<T> {
    /// The messages that are there. One that comes from now on wakes the actor again.
    pub fn take(&self) -> impl Iterator<Item = T> + '_ {
        // A sender that found the flag set has woken nobody. Its swap came before this one, so its message is seen by
        // the reads that follow.
        self.is_woken.swap(false, Ordering::AcqRel);
        self.messages.try_iter()
    }
}

#[cfg(test)]
mod tests;
