//! A frontend and its writer on a real socket, with the engine's mailbox in the hands of the test.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use asterdale_engine::counters::Counters;
use asterdale_engine::log::Log;
use asterdale_engine::memory::MemoryAccount;
use asterdale_engine::message::{EngineMessage, Request};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};

use crate::frontend::{
    create, FrontendHandle, FrontendPorts, ListenerSettings, OutgoingReply, Writer,
};
use crate::start::StartSettings;

/// Bounds each wait of a test; far longer than any of them takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A frontend that serves. Nothing reads the engine's mailbox but the test.
pub struct TestFrontend {
    pub address: SocketAddr,
    pub handle: Arc<FrontendHandle>,
    pub mailbox: Receiver<EngineMessage>,
    engine: Sender<EngineMessage>,
    pub counters: Arc<Counters>,
    pub request_memory: Arc<MemoryAccount>,
    /// The replies that the writer has not taken yet.
    pub replies: Receiver<OutgoingReply>,
}

impl TestFrontend {
    pub fn start(start: &StartSettings, mailbox_capacity: usize) -> TestFrontend {
        let frontend = TestFrontend::start_without_writer(start, mailbox_capacity);
        let writer = Writer {
            replies: frontend.replies.clone(),
            engine: frontend.engine.clone(),
            counters: frontend.counters.clone(),
            started_at: Instant::now(),
        };
        thread::spawn(move || writer.run());
        frontend
    }

    /// A frontend whose replies are never written.
    pub fn start_without_writer(start: &StartSettings, mailbox_capacity: usize) -> TestFrontend {
        let ((engine, mailbox), (writer, replies)) = (bounded(mailbox_capacity), unbounded());
        let (log, _guard) = Log::to_stderr("n", false, slog::Level::Info);
        let listener = ListenerSettings {
            address: start.listen,
            first_connection: 0,
            listener_count: 1,
            #[cfg(feature = "tls")]
            tls: None,
        };
        let request_memory = MemoryAccount::new(&start.memory);
        let counters = Arc::new(Counters::default());
        let ports = FrontendPorts {
            engine: engine.clone(),
            writer,
            request_memory: request_memory.clone(),
            counters: counters.clone(),
            log,
            started_at: Instant::now(),
        };
        let (handle, event_loop) = create(start, listener, ports).unwrap();
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        thread::spawn(move || event_loop.run(socket));
        TestFrontend {
            address,
            handle,
            mailbox,
            counters,
            request_memory,
            replies,
            engine,
        }
    }

    pub fn connect(&self) -> TcpStream {
        let client = TcpStream::connect(self.address).unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        client
    }

    pub fn next_message(&self) -> EngineMessage {
        self.mailbox
            .recv_timeout(TEST_TIMEOUT)
            .expect("a message to the engine")
    }

    pub fn next_request(&self) -> Box<Request> {
        match self.next_message() {
            EngineMessage::Request(request) => request,
            _ => panic!("not a request"),
        }
    }
}
