use super::*;

#[test]
fn only_unchanged_messages_of_the_same_key_and_version_are_accepted() {
    let authenticator = MessageAuthenticator::new(b"the fleet's");
    let other_fleet = MessageAuthenticator::new(b"another's");
    let wrong_mac = Err(AuthenticationError::WrongMac);
    let message = authenticator.authenticate(b"hello");
    assert_eq!(authenticator.verify(&message), Ok(&b"hello"[..]));
    assert_eq!(other_fleet.verify(&message), wrong_mac);
    for index in 0..message.len() {
        let mut changed = message.clone();
        changed[index] ^= 4;
        let truncated = &message[..index];
        assert_eq!(authenticator.verify(&changed), wrong_mac, "{index}");
        assert_eq!(authenticator.verify(truncated), wrong_mac, "{index}");
    }
    let mut newer = vec![9];
    let mac = authenticator.mac(9, b"x").finalize().into_bytes();
    newer.extend_from_slice(&mac[..MAC_BYTES]);
    newer.push(b'x');
    let unsupported = Err(AuthenticationError::UnsupportedVersion(9));
    assert_eq!(authenticator.verify(&newer), unsupported);
}
