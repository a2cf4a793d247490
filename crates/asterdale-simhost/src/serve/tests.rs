use super::*;

#[test]
fn empty_batch_gets_an_empty_reply() {
    let mut out = Vec::new();
    serve(
        &[0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 16, 0, 0, 0, 0][..],
        &mut out,
    )
    .unwrap();
    assert_eq!(out, [0, 0, 0, 8, 0, 0, 0, 0]);
}

#[test]
fn truncated_batch_is_an_error() {
    let cut = [0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 80, 0, 0, 0, 1, 4];
    let text = serve(&cut[..], Vec::new()).unwrap_err().to_string();
    assert_eq!(text, "frame, offset 17: 17 bytes of 80");
}

#[test]
fn unknown_code_is_reported_with_its_record() {
    let mut bytes = vec![0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 144, 0, 0, 0, 2];
    bytes.resize(144, 0);
    bytes[16] = 4;
    bytes[80] = 99;
    let text = serve(&bytes[..], Vec::new()).unwrap_err().to_string();
    assert_eq!(text, "record 1, offset 80: unknown code 99");
}

/// A batch of these records at time 0, with the settings of one class in its tail.
fn batch(records: &[&[u8]]) -> Vec<u8> {
    let settings = br#"{"extra": {"cores": 2}, "lanes": [{"name": "read"}]}"#;
    let mut bytes = vec![0; 16];
    for record in records {
        let mut record = record.to_vec();
        if record[0] == 8 {
            record.extend([0; 12]); // the seed, and the offset of the settings
            record.extend((settings.len() as u32).to_be_bytes());
        }
        record.resize(64, 0);
        bytes.extend(record);
    }
    bytes.extend(settings);
    let (size, count) = (bytes.len() as u32, records.len() as u32);
    bytes[8..12].copy_from_slice(&size.to_be_bytes());
    bytes[12..16].copy_from_slice(&count.to_be_bytes());
    bytes
}

#[test]
fn start_of_an_instance_is_answered_with_health_and_a_tick() {
    let mut out = Vec::new();
    serve(&batch(&[&[4, 0, 3], &[8]])[..], &mut out).unwrap();
    let codes: Vec<u8> = out[8..].chunks(16).map(|record| record[0]).collect();
    assert_eq!(codes, [6, 15, 2]);
    assert_eq!(out[8..11], [6, 0, 3]);
}

#[test]
fn record_before_any_context_is_an_error() {
    let text = serve(&batch(&[&[8]])[..], Vec::new())
        .unwrap_err()
        .to_string();
    assert_eq!(text, "record 0, offset 16: code 8 before any context");
}

#[test]
fn event_of_an_instance_that_has_exited_is_ignored() {
    let mut out = Vec::new();
    serve(&batch(&[&[4, 0, 3], &[8], &[2], &[9]])[..], &mut out).unwrap();
    assert_eq!(out.len(), 8 + 3 * 16);
}

#[test]
fn unknown_outcome_is_reported_with_its_record() {
    let text = serve(&batch(&[&[4, 0, 3], &[8], &[9]])[..], Vec::new())
        .unwrap_err()
        .to_string();
    assert_eq!(text, "record 2, offset 144: unknown outcome 0");
}

#[test]
fn request_of_an_unknown_class_is_an_error() {
    let mut arrival = [0; 64];
    (arrival[0], arrival[26]) = (6, 5);
    let text = serve(&batch(&[&[4, 0, 3], &[8], &arrival])[..], Vec::new())
        .unwrap_err()
        .to_string();
    assert_eq!(text, "record 2, offset 144: class 5 of 1");
}
