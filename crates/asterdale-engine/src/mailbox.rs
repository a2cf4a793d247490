//! The mailbox of an actor that polls sockets: a message wakes the actor's poll as a readable socket does.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crossbeam_channel::{unbounded, Receiver, Sender};
use mio::{Poll, Token, Waker};

/// The sending half of a mailbox. Sending never blocks.
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

/// The receiving half of a mailbox, which the actor has.
pub struct MailboxReceiver<T> {
    messages: Receiver<T>,
    is_woken: Arc<AtomicBool>,
}

/// Opens a mailbox that wakes this poll with this token.
///
/// # Errors
/// If the system refuses a waker.
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
    /// Sends a message. Returns `false` if the receiver was dropped or cannot be woken.
    pub fn send(&self, message: T) -> bool {
        if self.messages.send(message).is_err() {
            return false;
        }
        // One wake-up is enough for all messages that are queued when the actor takes them.
        self.is_woken.swap(true, Ordering::AcqRel) || self.waker.wake().is_ok()
    }
}

impl<T> MailboxReceiver<T> {
    /// Takes the queued messages. A message that is sent after this call wakes the actor again.
    pub fn take(&self) -> impl Iterator<Item = T> + '_ {
        // A sender that found the flag set did not wake the poll. Its swap came before this one, so the reads that
        // follow see its message.
        self.is_woken.swap(false, Ordering::AcqRel);
        self.messages.try_iter()
    }
}

#[cfg(test)]
mod tests;
