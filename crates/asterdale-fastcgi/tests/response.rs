//! Encoding of responses, read back by the record reader.

use asterdale_fastcgi::{
    end_request_response, unknown_type_response, values_response, RecordReader, Response,
};

fn decode(response: &Response) -> Vec<(u8, u16, Vec<u8>)> {
    let bytes = response
        .slices()
        .iter()
        .flat_map(|chunk| chunk.to_vec())
        .collect::<Vec<u8>>();
    let (mut reader, mut records) = (RecordReader::default(), Vec::new());
    for chunk in bytes.chunks(4096) {
        reader.free_space()[..chunk.len()].copy_from_slice(chunk);
        reader.commit(chunk.len());
        while let Some(record) = reader.next_record().unwrap() {
            records.push((
                record.record_type,
                record.request_id,
                record.content.to_vec(),
            ));
        }
    }
    records
}

#[test]
fn a_response_is_stdout_its_end_and_end_request() {
    for length in 0..9 {
        let response = Response::new(300, "Status: 200\r\n\r\n", vec![9; length].into());
        let mut content = b"Status: 200\r\n\r\n".to_vec();
        content.extend(vec![9; length]);
        let end_request = vec![0; 8];
        assert_eq!(
            decode(&response),
            [
                (6, 300, content),
                (6, 300, Vec::new()),
                (3, 300, end_request)
            ]
        );
    }
}

#[test]
fn only_requested_and_defined_variables_are_returned() {
    let records = decode(&values_response(b"\x0f\0FCGI_MPXS_CONNS\x03\0ABC", 5, 32));
    assert_eq!(records, [(10, 0, b"\x0f\x01FCGI_MPXS_CONNS1".to_vec())]);
    assert_eq!(
        decode(&unknown_type_response(99)),
        [(11, 0, vec![99, 0, 0, 0, 0, 0, 0, 0])]
    );
    assert_eq!(
        decode(&end_request_response(2, 3)),
        [(3, 2, vec![0, 0, 0, 0, 3, 0, 0, 0])]
    );
}
