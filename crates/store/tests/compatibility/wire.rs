//! The handshake, sealed messages, derived keys, the key file, and how a caller introduces itself.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

use stonefold_store::codec::encode;
use stonefold_store::message::{Request, Response};
use stonefold_store::replica::Transport;
use stonefold_store::wire::{
    ClientHandshake, HELLO_BYTES, Key, Keys, Opener, PROOF_BYTES, Sealer, ServerHandshake, TcpTransport,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::fixture::{self, Table};

const FILE: &str = "wire.hex";
const CLUSTER: u128 = 9;
const WAIT: Duration = Duration::from_secs(20);

fn keys() -> Keys {
    Keys::new(Key::new([7; 32]), None)
}

/// A handshake with fixed nonces, and the first message of either side.
fn conversation() -> Table {
    let (asking, hello) = ClientHandshake::new(&keys(), [1; 32]);
    let (welcoming, welcome) = ServerHandshake::new(&keys(), &hello, [2; 32]).unwrap();
    let (key, proof) = asking.finish(&welcome).unwrap();
    let theirs = welcoming.finish(&proof).unwrap();
    let question = Sealer::new(key, true).seal(b"question").unwrap();
    let answer = Sealer::new(theirs, false).seal(b"answer").unwrap();
    let (_, subscriber) = ClientHandshake::new(&keys().subscriber_keys(), [1; 32]);
    [
        ("hello", hello.to_vec()),
        ("hello-subscriber", subscriber.to_vec()),
        ("welcome", welcome.to_vec()),
        ("proof", proof.to_vec()),
        ("sealed-question", question),
        ("sealed-answer", answer),
        ("membership-key", keys().membership_keys()[0].to_vec()),
    ]
    .map(|(name, bytes)| (name.to_owned(), bytes))
    .into()
}

/// The next message on a connection.
async fn receive(stream: &mut TcpStream, opener: &mut Opener) -> Vec<u8> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).await.unwrap();
    let mut rest = vec![0; opener.sealed_len(head).unwrap()];
    stream.read_exact(&mut rest).await.unwrap();
    opener.open(&rest).unwrap().to_vec()
}

/// What a caller says first, and what it asks then, once it is let in.
async fn called(listener: &TcpListener) -> (Vec<u8>, Vec<u8>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut hello = [0; HELLO_BYTES];
    stream.read_exact(&mut hello).await.unwrap();
    let (welcoming, welcome) = ServerHandshake::new(&keys(), &hello, [2; 32]).unwrap();
    stream.write_all(&welcome).await.unwrap();
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await.unwrap();
    let key = welcoming.finish(&proof).unwrap();
    let (mut sealer, mut opener) = (Sealer::new(key.clone(), false), Opener::new(key, true));
    let introduction = receive(&mut stream, &mut opener).await;
    let admitted: Result<(), String> = Ok(());
    let answer = encode("an answer", &admitted).unwrap();
    stream.write_all(&sealer.seal(&answer).unwrap()).await.unwrap();
    let request = receive(&mut stream, &mut opener).await;
    let answer = encode("an answer", &Response::ReadIndex(Ok(8))).unwrap();
    stream.write_all(&sealer.seal(&answer).unwrap()).await.unwrap();
    (introduction, request)
}

async fn introductions() -> Table {
    let callers = [
        ("introduction-member", TcpTransport::member(keys(), CLUSTER, 3, "127.0.0.1:7003".into())),
        ("introduction-client", TcpTransport::client(keys(), CLUSTER)),
        ("introduction-subscriber", TcpTransport::subscriber(keys(), CLUSTER)),
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let mut table = Table::new();
    for (name, tcp) in callers {
        let ask = tcp.request(1, &addr, Request::ReadIndex, WAIT);
        let ((introduction, request), answer) = tokio::join!(called(&listener), ask);
        assert!(matches!(answer, Ok(Response::ReadIndex(Ok(8)))), "{answer:?}");
        assert_eq!(request, [1, 4], "{name}");
        table.insert(name.into(), introduction);
    }
    table
}

async fn all() -> Table {
    let mut table = conversation();
    table.extend(introductions().await);
    table
}

pub(crate) async fn write_fixture() {
    fixture::write_table(FILE, &all().await);
}

#[tokio::test]
async fn handshakes_and_introductions_are_written_as_before() {
    fixture::assert_same_bytes(FILE, &all().await);
}

#[test]
fn a_handshake_is_read_as_before() {
    let table = fixture::read_table(FILE);
    let bytes = |name: &str| table[name].as_slice();
    let (welcoming, _) = ServerHandshake::new(&keys(), bytes("hello").try_into().unwrap(), [2; 32]).unwrap();
    let theirs = welcoming.finish(bytes("proof").try_into().unwrap()).unwrap();
    let (asking, _) = ClientHandshake::new(&keys(), [1; 32]);
    let (key, _) = asking.finish(bytes("welcome").try_into().unwrap()).unwrap();
    assert_eq!(Opener::new(theirs, true).open(&bytes("sealed-question")[4..]).unwrap(), b"question");
    assert_eq!(Opener::new(key, false).open(&bytes("sealed-answer")[4..]).unwrap(), b"answer");
    // Version, cluster, party and address.
    assert_eq!(bytes("introduction-member"), b"\x01\x09\x00\x03\x0e127.0.0.1:7003");
    assert_eq!(bytes("introduction-client"), b"\x01\x09\x01\x00");
    assert_eq!(bytes("introduction-subscriber"), b"\x01\x09\x02\x00");
}

#[test]
fn a_key_file_is_read_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("key");
    fs::write(&path, format!("# A remark.\n{}\n\n{}\n", "07".repeat(32), "08".repeat(32))).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
    let read = Keys::read(&path).unwrap();
    let written = Keys::new(Key::new([7; 32]), Some(Key::new([8; 32])));
    assert_eq!(read.membership_keys(), written.membership_keys());
    let subscribers = folder.path().join("subscribers");
    keys().write_subscriber_keys(&subscribers).unwrap();
    let (_, hello) = ClientHandshake::new(&Keys::read(&subscribers).unwrap(), [1; 32]);
    assert_eq!(hello.to_vec(), fixture::read_table(FILE)["hello-subscriber"]);
    let text = fs::read_to_string(&subscribers).unwrap();
    assert!(text.starts_with("# The key of a store's subscribers.\n"), "{text}");
}
