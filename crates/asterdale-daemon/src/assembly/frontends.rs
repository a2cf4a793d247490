//! Creates and starts the FastCGI frontends of all listeners.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::unbounded;

use super::{ActorContext, AssemblyError};
#[cfg(feature = "tls")]
use crate::frontend::TlsAcceptor;
use crate::frontend::{
    self, EventLoop, FrontendGroup, FrontendHandle, FrontendPorts, ListenerSettings, Writer,
};
use crate::start::StartSettings;
use crate::threads::spawn;

/// The listeners that the start file configures. They share the bounds of connections and memory.
#[cfg(feature = "tls")]
pub fn listener_settings(start: &StartSettings) -> Result<Vec<ListenerSettings>, AssemblyError> {
    /// Numbers of TLS connections start here. Plain connections never reach such high numbers.
    const FIRST_TLS_CONNECTION: u64 = 1 << 48;
    let listener_count = 1 + usize::from(start.tls.is_some());
    let mut listeners = vec![ListenerSettings {
        address: start.listen,
        first_connection: 0,
        listener_count,
        tls: None,
    }];
    if let Some(tls) = &start.tls {
        let acceptor = TlsAcceptor::new(tls)?;
        listeners.push(ListenerSettings {
            address: tls.listen,
            first_connection: FIRST_TLS_CONNECTION,
            listener_count,
            tls: Some(Arc::new(acceptor)),
        });
    }
    Ok(listeners)
}

/// The listener that the start file configures.
#[cfg(not(feature = "tls"))]
pub fn listener_settings(start: &StartSettings) -> Result<Vec<ListenerSettings>, AssemblyError> {
    Ok(vec![ListenerSettings {
        address: start.listen,
        first_connection: 0,
        listener_count: 1,
    }])
}

/// Frontends that do not serve yet.
pub struct Frontends {
    handles: Vec<Arc<FrontendHandle>>,
    event_loops: Vec<EventLoop>,
    writer: Writer,
}

impl Frontends {
    /// Creates a frontend for each listener.
    pub fn create(
        start: &StartSettings,
        listeners: &[ListenerSettings],
        context: &ActorContext,
    ) -> Result<Frontends, AssemblyError> {
        // The number of queued replies is bounded by that of open requests.
        let (sender, replies) = unbounded();
        let started_at = Instant::now();
        let ports = FrontendPorts {
            engine: context.engine.clone(),
            writer: sender,
            request_memory: context.request_memory.clone(),
            counters: context.counters.clone(),
            log: context.log.clone(),
            started_at,
        };
        let (handles, event_loops) = listeners
            .iter()
            .map(|listener| frontend::create(start, listener.clone(), ports.clone()))
            .collect::<Result<Vec<_>, _>>()
            .map_err(AssemblyError::Frontend)?
            .into_iter()
            .unzip();
        let writer = Writer {
            replies,
            engine: context.engine.clone(),
            counters: context.counters.clone(),
            started_at,
        };
        Ok(Frontends {
            handles,
            event_loops,
            writer,
        })
    }

    /// Starts the writer, and an event loop on each of these sockets.
    pub fn start(self, sockets: Vec<TcpListener>) -> Result<FrontendGroup, AssemblyError> {
        let writer = self.writer;
        spawn("writer", move || writer.run())?;
        for (event_loop, socket) in self.event_loops.into_iter().zip(sockets) {
            // A listener accepts no connections without its event loop, so the process ends, as after any panic.
            spawn("frontend", move || {
                event_loop
                    .run(socket)
                    .unwrap_or_else(|e| panic!("event loop of a frontend failed: {e}"))
            })?;
        }
        Ok(FrontendGroup(self.handles))
    }
}
