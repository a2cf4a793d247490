//! The thread that receives datagrams.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};

use asterdale_membership::message::MAX_DATAGRAM_BYTES;
use crossbeam_channel::{Sender, TrySendError};

use crate::messages::MembershipMessage;

/// Passes datagrams to the membership actor until its mailbox is closed. While the mailbox is full, datagrams are dropped and
/// counted.
pub(crate) fn receive(
    socket: &UdpSocket,
    mailbox: &Sender<MembershipMessage>,
    dropped_datagrams: &AtomicU64,
) {
    // One byte more than the maximum, to distinguish a datagram that is too long from one of the maximal length.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // The error comes from an ICMP reply: the receiver of an earlier datagram from this socket is gone.
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let datagram = MembershipMessage::Datagram(buffer[..length].to_vec());
        match mailbox.try_send(datagram) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                dropped_datagrams.fetch_add(1, Ordering::Relaxed);
            }
            Err(TrySendError::Disconnected(_)) => return,
        }
    }
}
