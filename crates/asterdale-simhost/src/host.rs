//! All instances of this process: routes the records of a batch to them.

use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use crate::event::Event;
use crate::instance::{Instance, InstanceId};
use crate::wire::{action_code, event_code, Batch, Malformed, Problem, Reply};

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: HashMap<InstanceId, Instance>,
}

impl Host {
    /// Handles one batch; the actions of the instances go into the reply.
    ///
    /// # Errors
    /// A record is malformed. Records before it have been handled.
    pub fn handle_batch(&mut self, batch: &Batch<'_>, reply: &mut Reply) -> Result<(), Malformed> {
        let now_ms = batch.header.clock_ns as f64 / 1e6;
        let mut context = None;
        for index in 0..batch.header.records {
            let record = batch.record(index);
            let code = record.code();
            if code == event_code::CONTEXT {
                context = Some(InstanceId(record.u16(1)));
                continue;
            }
            let id = context.ok_or_else(|| batch.malformed(index, Problem::NoContext(code)))?;
            match code {
                event_code::START => self.start(id, batch, index, now_ms, reply)?,
                event_code::EXIT => drop(self.instances.remove(&id)),
                _ => self
                    .handle_event(id, batch, index, now_ms, reply)
                    .map_err(|problem| batch.malformed(index, problem))?,
            }
        }
        Ok(())
    }

    /// Starts an instance. If it panics, it is not added and the panic is reported.
    fn start(
        &mut self,
        id: InstanceId,
        batch: &Batch<'_>,
        index: usize,
        now_ms: f64,
        reply: &mut Reply,
    ) -> Result<(), Malformed> {
        let seed = batch.record(index).u64(1);
        let settings = asterdale_parameters::read(seed, batch.tail(index, 9)?)
            .map_err(|e| batch.malformed(index, Problem::Settings(e)))?;
        match catch_panic(|| Instance::start(id, settings, now_ms, reply)) {
            Ok(instance) => drop(self.instances.insert(id, instance)),
            Err(PanicMessage(message)) => reply.text_action(id.0, action_code::PANICKED, &message),
        }
        Ok(())
    }

    /// Handles an event of an instance. If the instance panics, it is removed and the panic is reported.
    fn handle_event(
        &mut self,
        id: InstanceId,
        batch: &Batch<'_>,
        index: usize,
        now_ms: f64,
        reply: &mut Reply,
    ) -> Result<(), Problem> {
        let record = batch.record(index);
        let Some(instance) = self.instances.get_mut(&id) else {
            return match record.code() {
                event_code::CALL_NEEDED..=event_code::CALL_ENDED => Ok(()), // the instance has exited or panicked
                other => Err(Problem::UnknownCode(other)),
            };
        };
        let event = Event::decode(record)?;
        match catch_panic(|| instance.handle(event, now_ms, reply)) {
            Ok(result) => result,
            Err(PanicMessage(message)) => {
                reply.text_action(id.0, action_code::PANICKED, &message);
                self.instances.remove(&id);
                Ok(())
            }
        }
    }
}

/// The message of a panic.
struct PanicMessage(String);

fn catch_panic<T>(call: impl FnOnce() -> T) -> Result<T, PanicMessage> {
    catch_unwind(AssertUnwindSafe(call)).map_err(|panic| {
        let message = panic.downcast_ref::<String>().map(String::as_str);
        let message = message.or(panic.downcast_ref::<&str>().copied());
        PanicMessage(message.unwrap_or("panic").to_owned())
    })
}
