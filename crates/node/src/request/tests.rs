//! The metadata that is forwarded to servers.

use super::*;

#[test]
fn metadata_states_the_time_left_and_is_otherwise_forwarded_unchanged() {
    let metadata = Bytes::from_static(b"c=read,d=1480,t=acme,k=d=9");
    let request = ClientRequest {
        key: "k".into(),
        id: Bytes::new(),
        metadata,
        value: None,
        value_permit: None,
        timeout: 1_480_000,
    };
    let forwarded = |left| String::from_utf8(request.metadata_with_time_left(left)).unwrap();
    assert_eq!(forwarded(Duration::from_millis(1475)), "c=read,d=1475,t=acme,k=d=9");
    // The time is rounded down, so that no server is given more time than is left.
    assert_eq!(forwarded(Duration::from_micros(1_175_999)), "c=read,d=1175,t=acme,k=d=9");
}
