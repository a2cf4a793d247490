//! An in-memory disk with injected faults. After a crash, any subset of the writes since the last sync may have reached the
//! disk, in any order, and writes may be torn. Syncs can fail and the disk can be full.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The size of an atomic write, in bytes.
const SECTOR_BYTES: usize = 512;

#[derive(Clone, Debug)]
enum Operation {
    Write(u64, Vec<u8>),
    SetLength(u64),
}

/// The injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The power fails at the operation of this number.
    Power(u64),
    /// The sync of this number fails, and the writes before it are lost.
    Sync(u64),
    /// The disk is full from the operation of this number on.
    Full(u64),
}

#[derive(Debug)]
struct State {
    /// The contents as of the last successful sync.
    durable: Vec<u8>,
    /// The contents that reads return.
    current: Vec<u8>,
    /// Operations since the last sync.
    pending: Vec<Operation>,
    operations: u64,
    syncs: u64,
    fault: Fault,
    is_power_off: bool,
}

/// A disk; clones share their contents.
#[derive(Clone, Debug)]
pub struct Disk(Arc<Mutex<State>>);

fn apply(bytes: &mut Vec<u8>, operation: &Operation) {
    match operation {
        Operation::SetLength(length) => bytes.resize(*length as usize, 0),
        Operation::Write(offset, data) => {
            let end = *offset as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset as usize..end].copy_from_slice(data);
        }
    }
}

impl Disk {
    /// A disk with these contents.
    pub fn new(bytes: Vec<u8>, fault: Fault) -> Disk {
        let current = bytes.clone();
        let (pending, operations, syncs, is_power_off) = (Vec::new(), 0, 0, false);
        Disk(Arc::new(Mutex::new(State {
            durable: bytes,
            current,
            pending,
            operations,
            syncs,
            fault,
            is_power_off,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of attempted operations that change the disk.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// The contents after a crash now: a random subset of the operations since the last sync, in random order, some torn.
    pub fn crashed(&self, seed: u64) -> Vec<u8> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let state = self.state();
        let mut bytes = state.durable.clone();
        let mut pending = state.pending.clone();
        for n in (1..pending.len()).rev() {
            pending.swap(n, (random.next_u64() % (n as u64 + 1)) as usize);
        }
        for operation in pending {
            match (random.next_u32() % 4, operation) {
                (0, _) => {}
                (1, Operation::Write(offset, data)) => {
                    let sectors = data.len().div_ceil(SECTOR_BYTES);
                    let from = random.next_u32() as usize % (sectors + 1) * SECTOR_BYTES;
                    if from < data.len() {
                        let to = data
                            .len()
                            .min(from + (1 + random.next_u32() as usize % sectors) * SECTOR_BYTES);
                        apply(
                            &mut bytes,
                            &Operation::Write(offset + from as u64, data[from..to].to_vec()),
                        );
                    }
                }
                (_, operation) => apply(&mut bytes, &operation),
            }
        }
        bytes
    }

    /// The current bytes.
    pub fn bytes(&self) -> Vec<u8> {
        self.state().current.clone()
    }
}

impl State {
    fn begin_operation(&mut self) -> Result<()> {
        self.operations += 1;
        match self.fault {
            Fault::Power(number) if self.operations >= number => self.is_power_off = true,
            Fault::Full(number) if self.operations >= number => {
                return Err(Error::new(ErrorKind::StorageFull, "the disk is full"));
            }
            _ => {}
        }
        if self.is_power_off {
            return Err(Error::other("the power is off"));
        }
        Ok(())
    }
}

impl redb::StorageBackend for Disk {
    fn len(&self) -> Result<u64> {
        Ok(self.state().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let state = self.state();
        let from = offset as usize;
        let range = state.current.get(from..from + out.len());
        out.copy_from_slice(
            range.ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "read past the end"))?,
        );
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        let operation = Operation::SetLength(len);
        apply(&mut state.current, &operation);
        state.pending.push(operation);
        Ok(())
    }

    fn sync_data(&self) -> Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        state.syncs += 1;
        if matches!(state.fault, Fault::Sync(number) if state.syncs == number) {
            // Like kernels: the pages are marked clean, but are not on disk.
            state.pending.clear();
            return Err(Error::other("the sync failed"));
        }
        state.durable = state.current.clone();
        state.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        let operation = Operation::Write(offset, data.to_vec());
        apply(&mut state.current, &operation);
        state.pending.push(operation);
        Ok(())
    }
}
