//! Vectored writes: many slices in few system calls.

use std::io::{self, IoSlice, Write};
use std::net::TcpStream;

/// Linux takes at most this many slices in one call (`UIO_MAXIOV`).
const MAX_SLICES: usize = 1024;

/// Writes all slices in order.
///
/// # Errors
/// The error of the write that failed, with the number of bytes that were written before it.
pub fn write(
    mut stream: &TcpStream,
    mut slices: &mut [IoSlice<'_>],
) -> Result<(), (usize, io::Error)> {
    let mut written = 0;
    IoSlice::advance_slices(&mut slices, 0); // skips empty slices
    while !slices.is_empty() {
        match stream.write_vectored(&slices[..slices.len().min(MAX_SLICES)]) {
            Ok(0) => return Err((written, io::ErrorKind::WriteZero.into())),
            Ok(n) => {
                written += n;
                IoSlice::advance_slices(&mut slices, n);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err((written, e)),
        }
    }
    Ok(())
}
