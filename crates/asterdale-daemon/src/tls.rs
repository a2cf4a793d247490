//! TLS for edge nodes that show a certificate: for installations of that kind, never on the platform.
//!
//! A session's state is one for both directions. So it has a lock that is held for what is computed alone, never
//! during a system call: the edge's thread reads without it, and then takes it to decrypt; the writer takes it to
//! encrypt, and writes without it. What is encrypted and not written yet lies in order behind a second lock, which
//! whoever writes holds meanwhile; nobody waits for the socket.

use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};

use asterdale_engine::message::Certificate;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig, ServerConnection};
use sha2::{Digest, Sha256};
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::start::error::{Fault, Problem};
use crate::start::{StartError, TlsSettings};

/// Encrypted bytes that one read takes: no more plain ones come of it than a session holds.
const CHUNK: usize = 4096;
/// Names of a certificate that are looked at. One has a few.
const MOST_NAMES: usize = 16;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic anywhere ends the program.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What sessions begin with: read anew at SIGHUP, for those that begin from then on.
pub struct Doorkeeper {
    now: RwLock<Arc<ServerConfig>>,
}

fn fault(path: &str, file: &str, reason: impl std::fmt::Display) -> StartError {
    let (file, reason) = (file.to_owned(), reason.to_string());
    Fault::new(path, Problem::UnusableFile { file, reason }).into()
}

/// Reads the files that the section names. All that is wrong comes by the path of the field.
fn material(tls: &TlsSettings) -> Result<Arc<ServerConfig>, StartError> {
    let certificates = |path: &str, file: &str| {
        let read = CertificateDer::pem_file_iter(Path::new(file))
            .and_then(Iterator::collect::<Result<Vec<_>, _>>);
        match read {
            Ok(all) if all.is_empty() => Err(fault(path, file, "holds no certificate")),
            read => read.map_err(|e| fault(path, file, e)),
        }
    };
    let chain = certificates("tls.certificate", &tls.certificate_path)?;
    let key = PrivateKeyDer::from_pem_file(&tls.key_path)
        .map_err(|e| fault("tls.key", &tls.key_path, e))?;
    let mut roots = RootCertStore::empty();
    for root in certificates("tls.clients", &tls.client_ca_path)? {
        roots
            .add(root)
            .map_err(|e| fault("tls.clients", &tls.client_ca_path, e))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let clients = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone())
        .build()
        .map_err(|e| fault("tls.clients", &tls.client_ca_path, e))?;
    let mut built = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| fault("tls", "", e))?
        .with_client_cert_verifier(clients)
        .with_single_cert(chain, key)
        .map_err(|e| fault("tls.key", &tls.key_path, e))?;
    // A session that is resumed would bring no certificate to look at, and a CA that is gone would live on.
    built.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
    built.send_tls13_tickets = 0;
    Ok(Arc::new(built))
}

impl Doorkeeper {
    /// Reads all that is needed.
    pub fn new(tls: &TlsSettings) -> Result<Doorkeeper, StartError> {
        Ok(Doorkeeper {
            now: RwLock::new(material(tls)?),
        })
    }

    /// Reads it anew. If anything is wrong, what was there stays.
    pub fn reload(&self, tls: &TlsSettings) -> Result<(), StartError> {
        let read = material(tls)?;
        *self.now.write().unwrap_or_else(PoisonError::into_inner) = read;
        Ok(())
    }

    /// Begins a session on a connection. Nothing is read or written yet.
    pub fn begin(&self, stream: TcpStream) -> io::Result<Session> {
        let with = self
            .now
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut state = ServerConnection::new(with).map_err(io::Error::other)?;
        // Answers are bounded by the requests that are open; a part of one could not be taken back.
        state.set_buffer_limit(None);
        Ok(Session {
            stream,
            state: Mutex::new(state),
            out: Mutex::default(),
            chunk: Mutex::new(vec![0; CHUNK]),
            certificate: OnceLock::new(),
        })
    }
}

/// One connection's TLS.
pub struct Session {
    stream: TcpStream,
    state: Mutex<ServerConnection>,
    /// Encrypted, and not written.
    out: Mutex<Vec<u8>>,
    /// The edge's thread's own.
    chunk: Mutex<Vec<u8>>,
    certificate: OnceLock<Option<Arc<Certificate>>>,
}

impl Session {
    /// The socket below.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// See [`crate::wire::Wire::read`].
    pub fn read(&self, into: &mut [u8]) -> io::Result<usize> {
        let mut chunk = lock(&self.chunk);
        loop {
            match lock(&self.state).reader().read(into) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(0),
                read => return read,
            }
            let count = (&self.stream).read(&mut chunk)?;
            if count == 0 {
                return Ok(0);
            }
            let taken = self.take(&chunk[..count]);
            // An alert that says why goes out whatever was wrong. What the socket does not take now goes out when
            // it does.
            let flushed = self.flush();
            taken?;
            match flushed {
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return Err(e),
                _ => {}
            }
        }
    }

    fn take(&self, mut bytes: &[u8]) -> io::Result<()> {
        let mut state = lock(&self.state);
        while !bytes.is_empty() {
            state.read_tls(&mut bytes)?;
            state
                .process_new_packets()
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        }
        if !state.is_handshaking() {
            self.certificate.get_or_init(|| {
                state
                    .peer_certificates()?
                    .first()
                    .and_then(shown)
                    .map(Arc::new)
            });
        }
        Ok(())
    }

    /// See [`crate::wire::Wire::write`].
    pub fn write(&self, pieces: &[IoSlice<'_>]) -> Result<(), (usize, io::Error)> {
        let all = pieces.iter().map(|piece| piece.len()).sum();
        {
            let mut state = lock(&self.state);
            let mut writer = state.writer();
            pieces
                .iter()
                .try_for_each(|piece| writer.write_all(piece))
                .map_err(|e| (0, e))?;
        }
        self.flush().map_err(|e| (all, e))
    }

    /// Writes what is encrypted, until nothing is left or the socket takes no more.
    fn flush(&self) -> io::Result<()> {
        let mut out = lock(&self.out);
        loop {
            {
                let mut state = lock(&self.state);
                while state.wants_write() {
                    state.write_tls(&mut *out)?;
                }
            }
            if out.is_empty() {
                return Ok(());
            }
            match (&self.stream).write(&out) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => drop(out.drain(..count)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Says that nothing more will come.
    pub fn finish(&self) {
        lock(&self.state).send_close_notify();
        let _ = self.flush();
    }

    /// What the client has shown, once the handshake is through.
    pub fn certificate(&self) -> Option<Arc<Certificate>> {
        self.certificate.get().cloned().flatten()
    }
}

/// What a certificate says that is of use here. That it is good was checked in the handshake.
fn shown(der: &CertificateDer<'_>) -> Option<Certificate> {
    let (_, parsed) = X509Certificate::from_der(der).ok()?;
    let names = parsed.subject_alternative_name().ok().flatten();
    let names = names
        .iter()
        .flat_map(|names| &names.value.general_names)
        .filter_map(|name| match name {
            GeneralName::DNSName(name) => Some(format!("dns:{}", name.to_ascii_lowercase())),
            GeneralName::URI(name) => Some(format!("uri:{name}")),
            GeneralName::RFC822Name(name) => Some(format!("email:{name}")),
            _ => None,
        });
    let print: String = Sha256::digest(der)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let ms = |seconds: i64| seconds as f64 * 1e3;
    Some(Certificate {
        names: names.take(MOST_NAMES).collect(),
        not_before_ms: ms(parsed.validity().not_before.timestamp()),
        not_after_ms: ms(parsed.validity().not_after.timestamp()),
        sha256_hex: print,
    })
}
