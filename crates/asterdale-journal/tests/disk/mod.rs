//! A disk in memory that keeps its word no better than disks do: between two syncs any of what was written may be there
//! after a crash, or a part of it, in any order; syncs and writes fail, room runs out, bits flip.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The part of a write that is there whole or not at all.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The power goes at the operation of this number.
    Power(u64),
    /// The sync of this number fails, and what it was for is lost.
    Sync(u64),
    /// From this operation on there is no room.
    Full(u64),
}

#[derive(Debug)]
struct State {
    /// What is there after a crash, whatever happens.
    durable: Vec<u8>,
    /// What a reader sees.
    seen: Vec<u8>,
    /// What came since the last sync.
    pending: Vec<Op>,
    ops: u64,
    syncs: u64,
    fault: Fault,
    off: bool,
}

/// The disk.
#[derive(Clone, Debug)]
pub struct Disk(Arc<Mutex<State>>);

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Length(length) => bytes.resize(*length as usize, 0),
        Op::Write(offset, data) => {
            let end = *offset as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset as usize..end].copy_from_slice(data);
        }
    }
}

impl Disk {
    /// One with this on it.
    pub fn new(bytes: Vec<u8>, fault: Fault) -> Disk {
        let seen = bytes.clone();
        let (pending, ops, syncs, off) = (Vec::new(), 0, 0, false);
        Disk(Arc::new(Mutex::new(State {
            durable: bytes,
            seen,
            pending,
            ops,
            syncs,
            fault,
            off,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many operations it has seen.
    pub fn ops(&self) -> u64 {
        self.state().ops
    }

    /// What is there after a crash at this moment: of what was not synced some, in any order, some of it torn.
    pub fn crashed(&self, seed: u64) -> Vec<u8> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let state = self.state();
        let mut bytes = state.durable.clone();
        let mut pending = state.pending.clone();
        for n in (1..pending.len()).rev() {
            pending.swap(n, (random.next_u64() % (n as u64 + 1)) as usize);
        }
        for op in pending {
            match (random.next_u32() % 4, op) {
                (0, _) => {}
                (1, Op::Write(offset, data)) => {
                    let sectors = data.len().div_ceil(SECTOR);
                    let from = random.next_u32() as usize % (sectors + 1) * SECTOR;
                    if from < data.len() {
                        let to = data
                            .len()
                            .min(from + (1 + random.next_u32() as usize % sectors) * SECTOR);
                        apply(
                            &mut bytes,
                            &Op::Write(offset + from as u64, data[from..to].to_vec()),
                        );
                    }
                }
                (_, op) => apply(&mut bytes, &op),
            }
        }
        bytes
    }

    /// What is there now.
    pub fn bytes(&self) -> Vec<u8> {
        self.state().seen.clone()
    }
}

impl State {
    fn begin(&mut self) -> Result<()> {
        self.ops += 1;
        match self.fault {
            Fault::Power(at) if self.ops >= at => self.off = true,
            Fault::Full(at) if self.ops >= at => {
                return Err(Error::new(ErrorKind::StorageFull, "no room"));
            }
            _ => {}
        }
        if self.off {
            return Err(Error::other("the power is off"));
        }
        Ok(())
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64> {
        Ok(self.state().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let state = self.state();
        let from = offset as usize;
        let there = state.seen.get(from..from + out.len());
        out.copy_from_slice(
            there.ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "past the end"))?,
        );
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        let mut state = self.state();
        state.begin()?;
        let op = Op::Length(len);
        apply(&mut state.seen, &op);
        state.pending.push(op);
        Ok(())
    }

    fn sync_data(&self) -> Result<()> {
        let mut state = self.state();
        state.begin()?;
        state.syncs += 1;
        if matches!(state.fault, Fault::Sync(at) if state.syncs == at) {
            // As kernels do: the pages count as written from now on, and are not.
            state.pending.clear();
            return Err(Error::other("the sync failed"));
        }
        state.durable = state.seen.clone();
        state.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        let mut state = self.state();
        state.begin()?;
        let op = Op::Write(offset, data.to_vec());
        apply(&mut state.seen, &op);
        state.pending.push(op);
        Ok(())
    }
}
