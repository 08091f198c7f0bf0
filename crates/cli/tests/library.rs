//! An unchanged client library (`redis`) against a node: its handshake, its pipelines, its errors.

#[path = "common/fakes.rs"]
mod fakes;

use std::thread;

use fakes::*;

const VALUE: &str = "\r\n$-1\r\nany bytes";

/// Guards against replies that a common client library cannot read: after its handshake, to pipelined commands, and as
/// errors.
#[test]
fn redis_client_library_works_with_a_node_unchanged() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let node = Node::start(&server_list(41, &[("s-5be2a07c", cache.addr)], origin.addr), discovery.addr);
    let serving = thread::spawn(move || {
        cache.next_call().reply_value("value 0");
        let write = origin.next_call();
        assert_eq!(write.words.last().unwrap(), VALUE);
        write.reply_http("200 OK", "receipt");
        for _ in 0..2 {
            cache.next_call().reply_value("value");
        }
    });
    // On connecting, the library sends its name and version. The node rejects these commands, and the connection stays
    // open.
    let client = redis::Client::open(format!("redis://{}/", node.addr())).unwrap();
    let mut connection = client.get_connection().unwrap();
    assert!(redis::cmd("PING").query::<String>(&mut connection).unwrap() == "PONG");
    let read = |id: &str| {
        let mut command = redis::cmd("CACHE.GET");
        command.arg("k").arg(id).arg("c=read,d=2000");
        command
    };
    assert_eq!(read("1").query::<String>(&mut connection).unwrap(), "value 0");
    let mut put = redis::cmd("CACHE.SET");
    put.arg("k").arg("2").arg("c=put,d=2000").arg(VALUE);
    assert_eq!(put.query::<String>(&mut connection).unwrap(), "receipt");
    // Two pipelined reads are answered in order.
    let mut pipe = redis::pipe();
    pipe.add_command(read("3")).add_command(read("4"));
    let both: Vec<String> = pipe.query(&mut connection).unwrap();
    assert!(both == ["value", "value"], "{both:?}");
    serving.join().unwrap();
    for bad in ["GET", "COMMAND", "CACHE.GET"] {
        let error = redis::cmd(bad).arg("k").query::<String>(&mut connection).unwrap_err();
        assert!(error.code() == Some("ERR"), "{bad}: {error}");
    }
    assert!(
        redis::cmd("PING").query::<String>(&mut connection).unwrap() == "PONG",
        "the connection stays open"
    );
}
