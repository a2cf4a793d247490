//! The part of the startup that differs if this process takes over from a previous one in a hot restart: it then
//! inherits the listening sockets, the control socket and the engine's state.

use std::net::TcpListener;

use asterdale_engine::engine::EngineSettings;
use asterdale_engine::log::Log;
use asterdale_engine::{Engine, EnginePorts};

use super::{ActorContext, AssemblyError};
use crate::frontend::{self, ListenerSettings};
use crate::start::StartSettings;
#[cfg(feature = "upgrade")]
use crate::threads::spawn;
#[cfg(feature = "upgrade")]
use crate::upgrade;

/// What this process inherits from a previous one, if it was started for a hot restart.
pub struct PreviousProcess {
    #[cfg(feature = "upgrade")]
    inherited: Option<upgrade::Inherited>,
}

/// A previous process on standby: it takes the work back if this process ends without releasing it from this duty.
pub struct Standby {
    #[cfg(feature = "upgrade")]
    previous: Option<upgrade::FrameWriter>,
}

impl Standby {
    /// Notifies the previous process that this one has ended normally.
    pub fn release(self) {
        #[cfg(feature = "upgrade")]
        if let Some(previous) = self.previous {
            previous.send_release();
        }
    }
}

impl PreviousProcess {
    /// Receives the state of the previous process, if this one was started for a hot restart.
    #[cfg(feature = "upgrade")]
    pub fn inherit(start: &StartSettings) -> Result<PreviousProcess, AssemblyError> {
        let classes = start.settings.class_names.len();
        let inherited = upgrade::inherit(classes, start.max_descriptors)
            .map_err(|e| AssemblyError::HotRestart(e.into()))?;
        Ok(PreviousProcess { inherited })
    }

    /// Inherits nothing: this build can't do hot restarts.
    #[cfg(not(feature = "upgrade"))]
    pub fn inherit(_: &StartSettings) -> Result<PreviousProcess, AssemblyError> {
        Ok(PreviousProcess {})
    }

    /// Offsets the ranges of connection numbers, so that no two connections of processes that exchange state have the
    /// same number.
    pub fn separate_connection_numbers(&self, listeners: &mut [ListenerSettings]) {
        /// Bits of a connection number below the process's epoch.
        #[cfg(feature = "upgrade")]
        const EPOCH_SHIFT: u32 = 32;
        #[cfg(feature = "upgrade")]
        if let Some(inherited) = &self.inherited {
            for listener in listeners {
                listener.first_connection += inherited.epoch << EPOCH_SHIFT;
            }
        }
        #[cfg(not(feature = "upgrade"))]
        let _ = listeners;
    }

    /// A listening socket for each listener: inherited, or newly bound.
    pub fn listening_sockets(
        &mut self,
        listeners: &[ListenerSettings],
        log: &Log,
    ) -> Result<Vec<TcpListener>, AssemblyError> {
        let socket = |listener: &ListenerSettings| {
            let address = listener.address;
            #[cfg(feature = "upgrade")]
            if let Some(socket) = self
                .inherited
                .as_mut()
                .and_then(|inherited| inherited.take_listener(address))
            {
                return Ok(socket);
            }
            frontend::bind(address, log).map_err(|source| AssemblyError::Listen { address, source })
        };
        listeners.iter().map(socket).collect()
    }

    /// Starts the server of the control socket, if the start file has one. Hot restarts are requested there.
    #[cfg(feature = "upgrade")]
    pub fn start_control_server(
        &self,
        start: &StartSettings,
        sockets: &[TcpListener],
        context: &ActorContext,
    ) -> Result<(), AssemblyError> {
        let Some(path) = &start.control_socket else {
            return Ok(());
        };
        let io_error =
            |e: std::io::Error| AssemblyError::HotRestart(format!("control socket: {e}").into());
        let path = std::path::PathBuf::from(path);
        let socket = match &self.inherited {
            Some(inherited) => inherited.control.try_clone().map_err(io_error)?,
            None => upgrade::bind_control_socket(&path)
                .map_err(|e| AssemblyError::HotRestart(e.into()))?,
        };
        let server = upgrade::ControlServer {
            path,
            socket,
            listeners: sockets
                .iter()
                .map(TcpListener::try_clone)
                .collect::<Result<_, _>>()
                .map_err(io_error)?,
            epoch: self
                .inherited
                .as_ref()
                .map_or(1, |inherited| inherited.epoch),
            previous_process: self.inherited.as_ref().map(upgrade::Inherited::old_process),
            engine: context.engine.clone(),
            log: context.log.clone(),
        };
        spawn("control", move || server.serve())?;
        Ok(())
    }

    /// Starts nothing: this build has no control socket.
    #[cfg(not(feature = "upgrade"))]
    pub fn start_control_server(
        &self,
        _: &StartSettings,
        _: &[TcpListener],
        _: &ActorContext,
    ) -> Result<(), AssemblyError> {
        Ok(())
    }

    /// The engine: with the inherited state, or an empty one.
    #[cfg(feature = "upgrade")]
    pub fn into_engine(
        self,
        settings: EngineSettings,
        ports: EnginePorts,
        context: &ActorContext,
    ) -> Result<(Engine, Standby), AssemblyError> {
        let Some(inherited) = self.inherited else {
            return Ok((Engine::new(settings, ports), Standby { previous: None }));
        };
        let (classes, epoch) = (settings.settings.class_names.len(), inherited.epoch);
        let previous = Some(inherited.old_process());
        let engine = Engine::restore(
            settings,
            ports,
            &inherited.state,
            &inherited.remote_connections(),
            inherited.mirror_to_old_process(),
        )
        .map_err(|e| AssemblyError::HotRestart(e.into()))?;
        slog::info!(context.log.lines, "hot restart: state restored";
            "process" => std::process::id(), "epoch" => epoch, "summary" => ?engine.summary());
        let messages = context.engine.clone();
        spawn("hearing", move || {
            inherited.relay_from_old_process(&messages, classes);
        })?;
        Ok((engine, Standby { previous }))
    }

    /// An empty engine.
    #[cfg(not(feature = "upgrade"))]
    pub fn into_engine(
        self,
        settings: EngineSettings,
        ports: EnginePorts,
        _: &ActorContext,
    ) -> Result<(Engine, Standby), AssemblyError> {
        Ok((Engine::new(settings, ports), Standby {}))
    }
}
