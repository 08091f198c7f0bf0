use super::*;

#[test]
fn facts_tell_what_is_left_when_they_are_written_and_else_what_came() {
    let facts = Bytes::from_static(b"c=read,d=1480,t=acme,k=d=9");
    let command =
        ClientRequest { key: "k".into(), id: Bytes::new(), metadata: facts, value: None, timeout: 1_480_000 };
    let told = |left| String::from_utf8(command.metadata_with_time_left(left)).unwrap();
    assert_eq!(told(Duration::from_millis(1475)), "c=read,d=1475,t=acme,k=d=9");
    // Rounded down: a server is never told more than is left.
    assert_eq!(told(Duration::from_micros(1_175_999)), "c=read,d=1175,t=acme,k=d=9");
}
