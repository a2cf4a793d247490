//! Sets up the authentication of callers, if the start file requires it.

use asterdale_engine::engine::unix_ms;
use asterdale_engine::issuer::{self, KeyRefresh};
use asterdale_engine::message::EngineMessage;
use asterdale_identity::Identity;
use crossbeam_channel::{bounded, Sender};

use super::{ActorContext, AssemblyError};
use crate::error::with_sources;
use crate::start::{KeySetSource, StartSettings};
use crate::threads::spawn;

/// Capacity of the mailbox of the issuer's actor, in commands.
const ISSUER_MAILBOX_CAPACITY: usize = 16;

/// How callers are authenticated. Both fields are absent if any caller is served.
#[derive(Default)]
pub struct CallerIdentity {
    /// Authenticates and authorizes callers.
    pub identity: Option<Identity>,
    /// The actor that fetches keys from an issuer, if they come from one.
    pub issuer: Option<Sender<KeyRefresh>>,
}

/// Creates the identity state and obtains the key set. A key set from a file is sent to the engine now; one from an
/// issuer is sent when the issuer's actor has fetched it.
pub fn start(
    start: &StartSettings,
    context: &ActorContext,
) -> Result<CallerIdentity, AssemblyError> {
    let Some(settings) = &start.identity else {
        return Ok(CallerIdentity::default());
    };
    let identity =
        Identity::new(unix_ms(), settings.parameters.clone()).map_err(AssemblyError::Identity)?;
    let issuer = match &settings.key_source {
        KeySetSource::Issuer(source) => {
            let (sender, commands) = bounded(ISSUER_MAILBOX_CAPACITY);
            let (source, seed) = (source.clone(), settings.parameters.seed);
            let ActorContext {
                engine,
                counters,
                log,
                ..
            } = context.clone();
            spawn("issuer", move || {
                issuer::fetch(source, seed, &commands, &engine, &counters, &log);
            })?;
            Some(sender)
        }
        file => {
            send_key_set(file, context);
            None
        }
    };
    Ok(CallerIdentity {
        identity: Some(identity),
        issuer,
    })
}

/// Sends the key set in this file to the engine. If it can't be read, every caller is rejected until a reload.
fn send_key_set(file: &KeySetSource, context: &ActorContext) {
    match file.read_file() {
        // The engine's mailbox is open: it is created and run by the caller of `start`.
        Some(Ok(key_set)) => drop(context.engine.send(EngineMessage::KeySet(key_set))),
        Some(Err(e)) => {
            slog::error!(context.log.lines, "identity: key set not loaded"; "error" => with_sources(&e));
        }
        None => {}
    }
}
