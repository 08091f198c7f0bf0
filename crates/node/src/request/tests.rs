use std::time::Duration;

use tokio::time::advance;

use super::*;

#[tokio::test(start_paused = true)]
async fn facts_tell_what_is_left_when_they_are_written_and_else_what_came() {
    let facts = Bytes::from_static(b"c=read,d=1480,t=acme,k=d=9");
    let command = Command { key: "k".into(), id: Bytes::new(), facts, value: None, wait: 1_480_000 };
    let until = Instant::now() + Duration::from_millis(1475);
    let told = |command: &Command| String::from_utf8(command.facts_until(until)).unwrap();
    assert_eq!(told(&command), "c=read,d=1475,t=acme,k=d=9");
    // A connection that comes up late, or an attempt before this one.
    advance(Duration::from_millis(300)).await;
    assert_eq!(told(&command), "c=read,d=1175,t=acme,k=d=9");
    advance(Duration::from_secs(2)).await;
    assert_eq!(told(&command), "c=read,d=1,t=acme,k=d=9");
}
