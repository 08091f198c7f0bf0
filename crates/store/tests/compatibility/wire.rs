//! The handshake, sealed messages, derived keys, the key file, and the introductions of callers.

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
/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

fn keys() -> Keys {
    Keys::new(Key::new([7; 32]), None)
}

/// The messages of a handshake with fixed nonces, the first sealed message of either side, and a derived key.
fn handshake() -> Table {
    let (client, hello) = ClientHandshake::new(&keys(), [1; 32]);
    let (server, welcome) = ServerHandshake::new(&keys(), &hello, [2; 32]).unwrap();
    let (client_key, proof) = client.finish(&welcome).unwrap();
    let server_key = server.finish(&proof).unwrap();
    let request = Sealer::new(client_key, true).seal(b"question").unwrap();
    let response = Sealer::new(server_key, false).seal(b"answer").unwrap();
    let (_, subscriber) = ClientHandshake::new(&keys().subscriber_keys(), [1; 32]);
    [
        ("hello", hello.to_vec()),
        ("hello-subscriber", subscriber.to_vec()),
        ("welcome", welcome.to_vec()),
        ("proof", proof.to_vec()),
        ("sealed-question", request),
        ("sealed-answer", response),
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

/// Admits a caller and responds to its first request. Returns the caller's introduction and request.
async fn serve_caller(listener: &TcpListener) -> (Vec<u8>, Vec<u8>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut hello = [0; HELLO_BYTES];
    stream.read_exact(&mut hello).await.unwrap();
    let (server, welcome) = ServerHandshake::new(&keys(), &hello, [2; 32]).unwrap();
    stream.write_all(&welcome).await.unwrap();
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await.unwrap();
    let key = server.finish(&proof).unwrap();
    let (mut sealer, mut opener) = (Sealer::new(key.clone(), false), Opener::new(key, true));
    let introduction = receive(&mut stream, &mut opener).await;
    let admitted: Result<(), String> = Ok(());
    let answer = encode("an introduction's answer", &admitted).unwrap();
    stream.write_all(&sealer.seal(&answer).unwrap()).await.unwrap();
    let request = receive(&mut stream, &mut opener).await;
    let response = encode("a response", &Response::ReadIndex(Ok(8))).unwrap();
    stream.write_all(&sealer.seal(&response).unwrap()).await.unwrap();
    (introduction, request)
}

/// The introductions of all kinds of callers.
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
        let response = tcp.request(1, &addr, Request::ReadIndex, REQUEST_TIMEOUT);
        let ((introduction, request), response) = tokio::join!(serve_caller(&listener), response);
        assert!(matches!(response, Ok(Response::ReadIndex(Ok(8)))), "{response:?}");
        assert_eq!(request, [1, 4], "{name}");
        table.insert(name.into(), introduction);
    }
    table
}

/// All rows of the fixture.
async fn encoded() -> Table {
    let mut table = handshake();
    table.extend(introductions().await);
    table
}

pub(crate) async fn write_fixture() {
    fixture::write_table(FILE, &encoded().await);
}

#[tokio::test]
async fn handshakes_and_introductions_are_written_as_in_the_fixture() {
    fixture::assert_same_bytes(FILE, &encoded().await);
}

#[test]
fn the_handshake_of_the_fixture_is_accepted() {
    let table = fixture::read_table(FILE);
    let bytes = |name: &str| table[name].as_slice();
    let (server, _) = ServerHandshake::new(&keys(), bytes("hello").try_into().unwrap(), [2; 32]).unwrap();
    let server_key = server.finish(bytes("proof").try_into().unwrap()).unwrap();
    let (client, _) = ClientHandshake::new(&keys(), [1; 32]);
    let (client_key, _) = client.finish(bytes("welcome").try_into().unwrap()).unwrap();
    assert_eq!(Opener::new(server_key, true).open(&bytes("sealed-question")[4..]).unwrap(), b"question");
    assert_eq!(Opener::new(client_key, false).open(&bytes("sealed-answer")[4..]).unwrap(), b"answer");
    // The format's version, the cluster, the caller and its address.
    assert_eq!(bytes("introduction-member"), b"\x01\x09\x00\x03\x0e127.0.0.1:7003");
    assert_eq!(bytes("introduction-client"), b"\x01\x09\x01\x00");
    assert_eq!(bytes("introduction-subscriber"), b"\x01\x09\x02\x00");
}

#[test]
fn key_files_of_members_and_subscribers_keep_their_format() {
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
