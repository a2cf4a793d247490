//! Gathered writes: many pieces in as few system calls as they take.

use std::io::{self, IoSlice, Write};
use std::net::TcpStream;

/// The system takes no more pieces than this at once.
const MOST: usize = 1024;

/// Writes all of the pieces, in order. An error comes with how many bytes went out before it.
pub fn write(
    mut stream: &TcpStream,
    mut pieces: &mut [IoSlice<'_>],
) -> Result<(), (usize, io::Error)> {
    let mut written = 0;
    IoSlice::advance_slices(&mut pieces, 0); // passes over empty ones
    while !pieces.is_empty() {
        match stream.write_vectored(&pieces[..pieces.len().min(MOST)]) {
            Ok(0) => return Err((written, io::ErrorKind::WriteZero.into())),
            Ok(n) => {
                written += n;
                IoSlice::advance_slices(&mut pieces, n);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err((written, e)),
        }
    }
    Ok(())
}
