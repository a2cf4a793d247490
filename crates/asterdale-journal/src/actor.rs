//! The journal's actor: it applies commands to the index and writes the changes, many commands in one commit (group commit).
//! Every answer is sent after the commit that it depends on. All commands that arrive during a commit share the next one.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use crate::clock::unix_time_ms;
use crate::command::{JournalAnswer, JournalCommand, JournalEvent, JournalSettings};
use crate::entry::FolderHeader;
use crate::error::StoreError;
use crate::failpoint::{self, Failpoint};
use crate::folder;
use crate::index::{ClaimRequest, KeyIndex, KeyStatus, KeyWrite};
use crate::recovery::{self, PreviousRun};
use crate::store::Store;

/// The interval at which the folder's timestamp is refreshed while nothing else is written: a fifth of the maximal age of a
/// timestamp that the recovery check accepts as current.
const TIMESTAMP_INTERVAL: Duration = Duration::from_secs(1);
/// The maximal number of commands of a commit after the first one.
const MAX_BATCH_COMMANDS: usize = 512;
/// The maximal number of expired keys that one commit deletes.
const MAX_EXPIRED_KEYS: usize = 1024;
/// The interval between attempts to reopen the file after a failure other than a failed sync.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// The maximal number of writes that are buffered while the disk fails: outcomes of requests that ran meanwhile. Beyond it
/// the oldest are dropped; the state of their keys is unknown after a crash.
const MAX_UNWRITTEN_WRITES: usize = 65_536;
/// How long the failpoint that starts requests before their intents are on disk delays the commit, as a slow disk would.
const EARLY_START_DELAY: Duration = Duration::from_millis(30);

/// The state of the folder after it was opened.
pub(crate) struct FolderState {
    pub(crate) index: KeyIndex,
    pub(crate) store: Store,
    pub(crate) header: FolderHeader,
    pub(crate) previous_run: Option<PreviousRun>,
    /// Folder time when it was opened, in milliseconds.
    pub(crate) started_at_ms: f64,
    /// The end of the quiet period that the previous run stored, in folder time.
    pub(crate) previous_quiet_until_ms: f64,
}

/// The state of the journal's thread.
pub(crate) struct Actor<F> {
    settings: JournalSettings,
    /// `None` after a failed commit, until the file is reopened.
    store: Option<Store>,
    index: KeyIndex,
    header: FolderHeader,
    started: Instant,
    started_at_ms: f64,
    previous_run: Option<PreviousRun>,
    previous_quiet_until_ms: f64,
    is_recovery_checked: bool,
    /// Writes that have not been committed yet.
    unwritten: Vec<KeyWrite>,
    /// Whether this run may start no more executions: a sync failed, the folder was replaced, or a newer process has the name.
    is_stopped: bool,
    reopen_at: Instant,
    committed_at: Instant,
    on_event: F,
}

/// A claim whose intent is part of the next commit.
struct PendingClaim {
    request: u64,
    key: Vec<u8>,
    claim: u64,
}

/// The effects of the commands of one commit.
#[derive(Default)]
struct Batch {
    writes: Vec<KeyWrite>,
    answers: Vec<(u64, JournalAnswer)>,
    claims: Vec<PendingClaim>,
    is_header_changed: bool,
    flush: Option<Sender<()>>,
}

impl Batch {
    fn answer(&mut self, request: u64, answer: JournalAnswer) {
        self.answers.push((request, answer));
    }
}

impl<F: Fn(JournalEvent)> Actor<F> {
    pub(crate) fn new(settings: JournalSettings, folder: FolderState, on_event: F) -> Actor<F> {
        let now = Instant::now();
        Actor {
            settings,
            store: Some(folder.store),
            index: folder.index,
            header: folder.header,
            started: now,
            started_at_ms: folder.started_at_ms,
            previous_run: folder.previous_run,
            previous_quiet_until_ms: folder.previous_quiet_until_ms,
            is_recovery_checked: false,
            unwritten: Vec::new(),
            is_stopped: false,
            reopen_at: now,
            committed_at: now,
            on_event,
        }
    }

    /// Handles commands until all handles are dropped.
    pub(crate) fn run(mut self, commands: &Receiver<JournalCommand>) {
        let mut received = Vec::new();
        loop {
            match commands.recv_timeout(TIMESTAMP_INTERVAL) {
                Ok(command) => received.push(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            received.extend(commands.try_iter().take(MAX_BATCH_COMMANDS));
            self.process(received.drain(..));
        }
    }

    fn folder_time_ms(&self) -> f64 {
        self.started_at_ms + self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Applies commands, writes what they changed in one commit, and sends the answers.
    fn process(&mut self, commands: impl Iterator<Item = JournalCommand>) {
        let now_ms = self.folder_time_ms();
        self.reopen_after_failure();
        let mut batch = Batch::default();
        for command in commands {
            self.apply(now_ms, command, &mut batch);
        }
        let expired = self.index.remove_expired(now_ms, MAX_EXPIRED_KEYS);
        batch.writes.extend(expired);
        self.commit_batch(&mut batch);
        self.send_answers(batch);
    }

    fn apply(&mut self, now_ms: f64, command: JournalCommand, batch: &mut Batch) {
        match command {
            JournalCommand::Lookup {
                request,
                key,
                body_digest,
            } => {
                let status = self.index.lookup(now_ms, &key, body_digest);
                batch.answer(request, JournalAnswer::Status(status));
            }
            JournalCommand::Claim {
                request,
                key,
                body_digest,
                attempt_id,
                window_ms,
            } => {
                let claim = ClaimRequest {
                    key: &key,
                    body_digest,
                    attempt_id: &attempt_id,
                    window_ms,
                };
                self.claim(now_ms, request, claim, batch);
            }
            JournalCommand::RecordOutcome {
                request,
                key,
                claim,
                result,
            } => {
                let outcome = self.index.record_outcome(&key, claim, result);
                batch.writes.extend(outcome);
                batch.answer(request, JournalAnswer::OutcomeRecorded);
            }
            JournalCommand::CancelClaim { key, claim } => {
                batch.writes.extend(self.index.cancel_claim(&key, claim));
            }
            JournalCommand::CancelRequest(request) => self.cancel_request(request, batch),
            other => self.apply_process_event(now_ms, other, batch),
        }
    }

    /// Applies the commands that concern the process and not a key.
    fn apply_process_event(&mut self, now_ms: f64, command: JournalCommand, batch: &mut Batch) {
        match command {
            JournalCommand::Joined {
                generation,
                remembered,
            } => {
                self.check_recovery(now_ms, remembered);
                self.set_generation(generation, batch);
            }
            JournalCommand::GenerationChanged(generation) => {
                self.set_generation(generation, batch);
            }
            JournalCommand::NoFleet => {
                self.check_recovery(now_ms, 0);
                batch.is_header_changed = true;
            }
            JournalCommand::Superseded => self.is_stopped = true,
            JournalCommand::Flush(reply) => batch.flush = Some(reply),
            JournalCommand::Lookup { .. }
            | JournalCommand::Claim { .. }
            | JournalCommand::RecordOutcome { .. }
            | JournalCommand::CancelClaim { .. }
            | JournalCommand::CancelRequest(_) => {}
        }
    }

    fn claim(&mut self, now_ms: f64, request: u64, claim: ClaimRequest<'_>, batch: &mut Batch) {
        if self.is_stopped || self.store.is_none() {
            let status = match self.index.lookup(now_ms, claim.key, claim.body_digest) {
                KeyStatus::Absent => KeyStatus::Unavailable,
                status => status,
            };
            batch.answer(request, JournalAnswer::Status(status));
            return;
        }
        let (number, intent) = match self.index.claim(now_ms, claim) {
            Ok(claimed) => claimed,
            Err(status) => return batch.answer(request, JournalAnswer::Status(status)),
        };
        batch.writes.push(intent);
        if failpoint::is_active(Failpoint::StartBeforeIntent) {
            let answer = JournalAnswer::Claimed(number);
            (self.on_event)(JournalEvent::Answered(request, answer));
            std::thread::sleep(EARLY_START_DELAY);
            return;
        }
        batch.claims.push(PendingClaim {
            request,
            key: claim.key.to_vec(),
            claim: number,
        });
    }

    fn cancel_request(&mut self, request: u64, batch: &mut Batch) {
        batch.answers.retain(|(number, _)| *number != request);
        let pending = batch
            .claims
            .iter()
            .position(|claim| claim.request == request);
        if let Some(position) = pending {
            let claim = batch.claims.swap_remove(position);
            let delete = self.index.cancel_claim(&claim.key, claim.claim);
            batch.writes.extend(delete);
        }
    }

    fn set_generation(&mut self, generation: u64, batch: &mut Batch) {
        self.header.generation = self.header.generation.max(generation);
        batch.is_header_changed = true;
    }

    /// Does the recovery check once, and sets the quiet period according to its result.
    fn check_recovery(&mut self, now_ms: f64, remembered_generation: u64) {
        if std::mem::replace(&mut self.is_recovery_checked, true) {
            return;
        }
        let verdict = recovery::assess(self.previous_run, remembered_generation);
        // A quiet period of the previous run continues: its timestamps do not prove that no earlier entry was lost.
        let quiet_until_ms = match verdict.is_trusted() {
            true if self.previous_quiet_until_ms > now_ms => self.previous_quiet_until_ms,
            true => 0.0,
            false => now_ms + self.settings.max_window_ms,
        };
        self.header.quiet_until_ms = quiet_until_ms;
        self.index.set_quiet_until(quiet_until_ms);
        let quiet_ms = (quiet_until_ms - now_ms).max(0.0);
        (self.on_event)(JournalEvent::RecoveryChecked { verdict, quiet_ms });
    }

    fn commit_batch(&mut self, batch: &mut Batch) {
        let is_due = batch.is_header_changed
            || !batch.writes.is_empty()
            || self.committed_at.elapsed() >= TIMESTAMP_INTERVAL;
        if !is_due {
            return;
        }
        let Err(error) = self.commit(std::mem::take(&mut batch.writes)) else {
            return;
        };
        (self.on_event)(JournalEvent::Failed(error));
        // The intents may or may not be on disk: none of these executions may start.
        for claim in std::mem::take(&mut batch.claims) {
            let delete = self.index.cancel_claim(&claim.key, claim.claim);
            self.unwritten.extend(delete);
            let answer = JournalAnswer::Status(KeyStatus::Unavailable);
            batch.answer(claim.request, answer);
        }
    }

    fn send_answers(&self, batch: Batch) {
        let claimed = batch
            .claims
            .into_iter()
            .map(|claim| (claim.request, JournalAnswer::Claimed(claim.claim)));
        for (request, answer) in batch.answers.into_iter().chain(claimed) {
            (self.on_event)(JournalEvent::Answered(request, answer));
        }
        if let Some(reply) = batch.flush {
            // The caller may have timed out.
            let _ = reply.send(());
        }
    }

    /// Writes these and all earlier unwritten changes in one commit. They stay buffered while no file is open.
    fn commit(&mut self, writes: Vec<KeyWrite>) -> Result<(), StoreError> {
        self.committed_at = Instant::now();
        self.unwritten.extend(writes);
        if self.unwritten.len() > MAX_UNWRITTEN_WRITES {
            self.unwritten
                .drain(..self.unwritten.len() - MAX_UNWRITTEN_WRITES);
        }
        let Some(store) = &self.store else {
            return Ok(());
        };
        self.header.folder_time_ms = self.folder_time_ms();
        self.header.unix_time_ms = unix_time_ms();
        match store.commit(&self.unwritten, &self.header) {
            Ok(()) => {
                self.unwritten.clear();
                Ok(())
            }
            Err(error) => {
                self.is_stopped |= store.sync_failed();
                self.store = None;
                self.reopen_at = Instant::now() + REOPEN_INTERVAL;
                Err(error)
            }
        }
    }

    /// Reopens the file after a failure other than a failed sync, such as a full disk, and commits the unwritten changes.
    fn reopen_after_failure(&mut self) {
        if self.store.is_some() || self.is_stopped || Instant::now() < self.reopen_at {
            return;
        }
        self.reopen_at = Instant::now() + REOPEN_INTERVAL;
        let Ok((store, stored)) = folder::open(&self.settings) else {
            return;
        };
        let is_same_run = stored.header.is_some_and(|header| {
            (header.folder_id, header.run) == (self.header.folder_id, self.header.run)
        });
        if !is_same_run {
            // The folder was deleted or replaced while the file was closed.
            self.is_stopped = true;
            return;
        }
        self.store = Some(store);
        if self.commit(Vec::new()).is_ok() {
            (self.on_event)(JournalEvent::Recovered);
        }
    }
}
