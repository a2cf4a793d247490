//! Hosts asterdale's decisions on the simulator's wire: batches on standard input, replies on standard
//! output.

mod host;
mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

use host::Host;
use wire::{header, Batch, Reply, HEADER};

/// Reads until the buffer is full; `Ok(n)` below its length means that the input ended there.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let (mut host, mut reply, mut frame) = (Host::default(), Reply::default(), Vec::new());
    loop {
        let mut head = [0; HEADER];
        match fill(&mut input, &mut head)? {
            0 => return Ok(()),
            HEADER => {}
            n => return Err(format!("frame, offset {n}: input ends inside a header").into()),
        }
        let read = header(&head)?;
        frame.resize(read.size, 0);
        frame[..HEADER].copy_from_slice(&head);
        let got = HEADER + fill(&mut input, &mut frame[HEADER..])?;
        let batch = Batch::new(&frame[..got], read)?;
        reply.clear();
        host.batch(&batch, &mut reply)?;
        output.write_all(&reply.frame())?;
        output.flush()?;
    }
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("asterdale-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_ends() {
        let mut out = Vec::new();
        serve(
            &[0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 16, 0, 0, 0, 0][..],
            &mut out,
        )
        .unwrap();
        assert_eq!(out, [0, 0, 0, 8, 0, 0, 0, 0]);
    }

    #[test]
    fn a_truncated_frame_is_named() {
        let cut = [0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 80, 0, 0, 0, 1, 4];
        let text = serve(&cut[..], Vec::new()).unwrap_err().to_string();
        assert_eq!(text, "frame, offset 17: 17 bytes of 80");
    }

    #[test]
    fn an_unknown_code_names_its_record_and_offset() {
        let mut bytes = vec![0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 144, 0, 0, 0, 2];
        bytes.resize(144, 0);
        bytes[16] = 4;
        bytes[80] = 99;
        let text = serve(&bytes[..], Vec::new()).unwrap_err().to_string();
        assert_eq!(text, "record 1, offset 80: unknown code 99");
    }
}
