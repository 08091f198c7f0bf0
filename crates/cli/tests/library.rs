//! Clients of a well-known library, unchanged, before a node: their greeting, their pipelines, their errors.

#[path = "common/fakes.rs"]
mod fakes;

use std::thread;

use fakes::*;

const PUT: &str = "\r\n$-1\r\nany bytes";

#[test]
fn a_client_library_greets_asks_pipelines_and_reads_errors_as_from_any_server() {
    let (cache, origin, discovery) = (FakeServer::cache(), FakeServer::http(), FakeServer::http());
    let node = Node::start(&server_list(41, &[("s-5be2a07c", cache.addr)], origin.addr), discovery.addr);
    let serving = thread::spawn(move || {
        cache.next_call().reply_value("value 0");
        let write = origin.next_call();
        assert_eq!(write.words.last().unwrap(), PUT);
        write.reply_http("200 OK", "receipt");
        for _ in 0..2 {
            cache.next_call().reply_value("value");
        }
    });
    // Connecting, it tells its name and version; the node knows no such command, and that is no reason to part.
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
    put.arg("k").arg("2").arg("c=put,d=2000").arg(PUT);
    assert_eq!(put.query::<String>(&mut connection).unwrap(), "receipt");
    // Two at once: answers in the order of the questions.
    let mut pipe = redis::pipe();
    pipe.add_command(read("3")).add_command(read("4"));
    let both: Vec<String> = pipe.query(&mut connection).unwrap();
    assert!(both == ["value", "value"], "{both:?}");
    serving.join().unwrap();
    for bad in ["GET", "COMMAND", "CACHE.GET"] {
        let error = redis::cmd(bad).arg("k").query::<String>(&mut connection).unwrap_err();
        assert!(error.code() == Some("ERR"), "{bad}: {error}");
    }
    assert!(redis::cmd("PING").query::<String>(&mut connection).unwrap() == "PONG", "and it goes on");
}
