//! The ownership actor: it passes messages, commands and times to the state machines of the owner and the replica, and
//! carries out their actions. It makes no decisions of its own.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use asterdale_membership::authentication::MessageAuthenticator;
use asterdale_ownership::message::{decode, member, MessageBody};
use asterdale_ownership::replica::ReplicaConfig;
use asterdale_ownership::{Action, Owner, Replica, StorageWrite};
use crossbeam_channel::{after, select, unbounded, Receiver};

use super::handle::{OwnershipCommand, OwnershipHandle};
use super::settings::{LocalProcess, OwnershipActorSettings, OwnershipNotification};
use super::storage::{ReplicaDisk, ReplicaStorage};
use crate::persistent_streams::PersistentStreams;
use crate::threads;

/// The capacity of the queue of received messages. If the queue is full, messages are dropped; their senders repeat what has
/// to arrive.
pub(crate) const MESSAGE_QUEUE_CAPACITY: usize = 8192;
/// The longest wait for a message or command, so that a clock step cannot block the actor.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// The maximal number of messages, and of commands, that are handled before the resulting actions are carried out. The
/// results of one batch share messages and log entries.
const MAX_BATCH: usize = 256;
/// The interval at which the storage's timestamp is refreshed while nothing else is written.
const TIMESTAMP_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the actor's thread.
struct Actor<F> {
    /// `None` if this process is no replica, or its storage has failed.
    replica: Option<Replica>,
    owner: Owner,
    started: Instant,
    address: SocketAddr,
    authenticator: MessageAuthenticator,
    streams: PersistentStreams,
    lease_end_us: Arc<AtomicU64>,
    storage: Option<Arc<Mutex<dyn ReplicaStorage>>>,
    saved_at: Instant,
    on_notification: F,
}

/// Starts the actor's thread. It calls `on_notification` for each notification, in order; the callback must not block.
pub(crate) fn start(
    settings: OwnershipActorSettings,
    local: LocalProcess,
    streams: PersistentStreams,
    messages: Receiver<Vec<u8>>,
    on_notification: impl Fn(OwnershipNotification) + Send + 'static,
) -> io::Result<OwnershipHandle> {
    // Unbounded: commands come from one thread, which limits its number of unanswered commands.
    let (sender, commands) = unbounded();
    let started = Instant::now();
    let lease_end_us = Arc::new(AtomicU64::new(0));
    let handle = OwnershipHandle {
        commands: sender,
        started,
        lease_end_us: lease_end_us.clone(),
        lease_ms: settings.parameters.lease_ms,
    };
    let owner = new_owner(&settings, &local);
    threads::spawn("ownership", move || {
        let address = local.address;
        let authenticator = local.authenticator.clone();
        // Created on the actor's thread, since the Raft library's state must stay on one thread.
        let (replica, storage) = new_replica(settings, local);
        let actor = Actor {
            replica,
            owner,
            started,
            address,
            authenticator,
            streams,
            lease_end_us,
            storage,
            saved_at: started,
            on_notification,
        };
        actor.run(&messages, &commands);
    })?;
    Ok(handle)
}

fn new_owner(settings: &OwnershipActorSettings, local: &LocalProcess) -> Owner {
    Owner::new(
        0.0,
        member(&local.name, local.node_id, local.address),
        settings
            .replicas
            .iter()
            .map(|(_, address)| *address)
            .collect(),
        settings.parameters.clone(),
        local.authenticator.clone(),
    )
}

/// Creates the replica, if this process is in the list of replicas. Also returns the storage, if there is one.
fn new_replica(
    settings: OwnershipActorSettings,
    local: LocalProcess,
) -> (Option<Replica>, Option<Arc<Mutex<dyn ReplicaStorage>>>) {
    let is_replica = settings
        .replicas
        .iter()
        .any(|(name, _)| *name == local.name);
    let (stored, storage) = settings
        .disk
        .map(|ReplicaDisk { saved, storage }| (saved, storage))
        .unzip();
    let config = ReplicaConfig {
        member: member(&local.name, local.node_id, local.address),
        replicas: settings.replicas,
        settings: settings.parameters,
        authenticator: local.authenticator,
        seed: local.random_seed,
        unix_s: settings.unix_time_s,
        stored,
    };
    (is_replica.then(|| Replica::new(0.0, config)), storage)
}

impl<F: Fn(OwnershipNotification)> Actor<F> {
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Runs until all senders of messages or of commands are dropped.
    fn run(mut self, messages: &Receiver<Vec<u8>>, commands: &Receiver<OwnershipCommand>) {
        loop {
            let timer = after(self.time_to_next_wake());
            let mut actions = Vec::new();
            select! {
                recv(messages) -> message => match message {
                    Ok(message) => self.handle_message(&message, &mut actions),
                    Err(_) => return,
                },
                recv(commands) -> command => match command {
                    Ok(command) => self.handle_command(command, &mut actions),
                    Err(_) => return,
                },
                recv(timer) -> _ => {}
            }
            for message in messages.try_iter().take(MAX_BATCH) {
                self.handle_message(&message, &mut actions);
            }
            for command in commands.try_iter().take(MAX_BATCH) {
                self.handle_command(command, &mut actions);
            }
            self.advance(&mut actions);
            self.carry_out(actions);
            self.publish_lease_end();
        }
    }

    fn time_to_next_wake(&self) -> Duration {
        let replica_wake_ms = self
            .replica
            .as_ref()
            .map_or(f64::INFINITY, Replica::next_wake_ms);
        let next_wake_ms = replica_wake_ms.min(self.owner.next_wake_ms());
        let wait_s = ((next_wake_ms - self.now_ms()) / 1e3).clamp(0.0, MAX_WAIT.as_secs_f64());
        Duration::from_secs_f64(wait_s)
    }

    fn handle_message(&mut self, message: &[u8], actions: &mut Vec<Action>) {
        let now_ms = self.now_ms();
        let Some((from, address, body)) = decode(&self.authenticator, message) else {
            return;
        };
        match (body, &mut self.replica) {
            (MessageBody::Answers(answers), _) => {
                actions.extend(self.owner.receive(now_ms, answers));
            }
            (body, Some(replica)) => actions.extend(replica.receive(now_ms, &from, address, body)),
            _ => {}
        }
    }

    fn handle_command(&mut self, command: OwnershipCommand, actions: &mut Vec<Action>) {
        let now_ms = self.now_ms();
        match command {
            OwnershipCommand::Request(number, request) => self.owner.submit(number, request),
            OwnershipCommand::Cancel(number) => self.owner.stop_waiting(number),
            OwnershipCommand::DropClaim { key, fence } => self.owner.release_claim(key, fence),
            OwnershipCommand::SetTakeoverCapacity(capacity) => self.owner.set_capacity(capacity),
            OwnershipCommand::Leave(reply) => {
                actions.extend(self.owner.shut_down(now_ms));
                // The caller may have timed out.
                let _ = reply.try_send(());
            }
            OwnershipCommand::ReportStatus(reply) => {
                let replica = self.replica.as_ref();
                let status = replica.map(Replica::status).unwrap_or_default();
                // The caller may have timed out.
                let _ = reply.try_send(status);
            }
        }
    }

    /// Flushes the batched work of the state machines, and wakes those whose wake time has come.
    fn advance(&mut self, actions: &mut Vec<Action>) {
        let now_ms = self.now_ms();
        if let Some(replica) = &mut self.replica {
            actions.extend(replica.flush(now_ms));
            if replica.next_wake_ms() <= now_ms {
                actions.extend(replica.wake(now_ms));
            }
        }
        actions.extend(self.owner.flush(now_ms));
        if self.owner.next_wake_ms() <= now_ms {
            actions.extend(self.owner.wake(now_ms));
        }
        if self.replica.is_some() && self.saved_at.elapsed() >= TIMESTAMP_INTERVAL {
            // Refreshes the timestamp: the next process does not trust a storage with an old one.
            actions.push(Action::Persist(Vec::new()));
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut pending: VecDeque<Action> = actions.into();
        while let Some(action) = pending.pop_front() {
            match action {
                Action::Send(to, message) if to == self.address => {
                    pending.extend(self.deliver_locally(&message));
                }
                Action::Send(to, message) => self.streams.send(to, message),
                Action::Persist(writes) => self.persist(writes, &mut pending),
                Action::Report(event) => self.notify(OwnershipNotification::Log(event)),
                Action::Answer(number, answer) => {
                    self.notify(OwnershipNotification::Answered(number, answer));
                }
                Action::OfferOwnerless(requests) => {
                    self.notify(OwnershipNotification::OwnerlessRequests(requests));
                }
            }
        }
    }

    fn notify(&self, notification: OwnershipNotification) {
        (self.on_notification)(notification);
    }

    /// Handles a message of this process to itself, which needs no stream.
    fn deliver_locally(&mut self, message: &[u8]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.handle_message(message, &mut actions);
        let now_ms = self.now_ms();
        if let Some(replica) = &mut self.replica {
            actions.extend(replica.flush(now_ms));
        }
        actions
    }

    /// Writes to the storage. If the write fails, the process stops being a replica, and pending messages, which may depend
    /// on the write, are dropped.
    fn persist(&mut self, writes: Vec<StorageWrite>, pending: &mut VecDeque<Action>) {
        let Some(storage) = &self.storage else {
            return;
        };
        let saved = storage
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .save(writes);
        self.saved_at = Instant::now();
        if let Err(error) = saved {
            self.replica = None;
            pending.retain(|action| !matches!(action, Action::Send(..) | Action::Persist(_)));
            self.notify(OwnershipNotification::StorageFailed(error));
        }
    }

    fn publish_lease_end(&self) {
        let lease_end_ms = self.owner.lease_until_ms().max(0.0);
        self.lease_end_us
            .store((lease_end_ms * 1e3) as u64, Ordering::SeqCst);
    }
}
