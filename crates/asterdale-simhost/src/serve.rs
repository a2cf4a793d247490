//! Main loop: reads a batch, handles it, and writes the reply.

use std::io::{self, Read, Write};

use crate::host::Host;
use crate::wire::{read_header, Batch, Malformed, Problem, Reply, HEADER_BYTES};

#[cfg(test)]
mod tests;

/// Why the loop ended before its input did.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A batch can't be read.
    #[error("reading a batch: {0}")]
    Read(#[source] io::Error),
    /// A reply can't be written.
    #[error("writing a reply: {0}")]
    Write(#[source] io::Error),
    /// A batch can't be handled.
    #[error(transparent)]
    Malformed(#[from] Malformed),
}

/// Serves until the input ends between two batches.
///
/// # Errors
/// The input or the output fails, or a batch is malformed.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), ServeError> {
    let (mut host, mut reply, mut frame) = (Host::default(), Reply::default(), Vec::new());
    loop {
        let mut head = [0; HEADER_BYTES];
        match fill(&mut input, &mut head).map_err(ServeError::Read)? {
            0 => return Ok(()),
            HEADER_BYTES => {}
            received => return Err(Malformed::frame(received, Problem::TruncatedHeader).into()),
        }
        let header = read_header(&head)?;
        frame.resize(header.bytes, 0);
        frame[..HEADER_BYTES].copy_from_slice(&head);
        let rest = fill(&mut input, &mut frame[HEADER_BYTES..]).map_err(ServeError::Read)?;
        let batch = Batch::new(&frame[..HEADER_BYTES + rest], header)?;
        reply.clear();
        host.handle_batch(&batch, &mut reply)?;
        output
            .write_all(&reply.frame())
            .and_then(|()| output.flush())
            .map_err(ServeError::Write)?;
    }
}

/// Reads until the buffer is full, or less if the input ends; returns the bytes that were read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(filled)
}
