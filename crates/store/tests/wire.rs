//! Connections of the store. Callers are rejected if they have no key or another one, or if they send replayed,
//! truncated, altered, endless or no messages.

use std::net::IpAddr;
use std::time::Duration;

use proptest::prelude::*;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::message::{Request, RequestError, Response};
use stonefold_store::raft::Entry;
use stonefold_store::replica::{Replica, ReplicaOptions, Transport};
use stonefold_store::state::limits::MAX_LIST_BYTES;
use stonefold_store::state::{AdminOverride, Change, Proposal, Reply};
use stonefold_store::wire::{
    ClientHandshake, ConnectionLimiter, HELLO_BYTES, HandshakeError, Key, Keys, MAX_SUBSCRIBERS, Opener,
    PROOF_BYTES, Sealer, SealingError, ServerHandshake, TcpTransport, WELCOME_BYTES, serve,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How long a test waits for an operation.
const TIMEOUT: Duration = Duration::from_secs(20);

fn key(n: u8) -> Key {
    Key::new([n; 32])
}

fn keys(n: u8) -> Keys {
    Keys::new(key(n), None)
}

/// Completes a handshake. Returns the connection's key as the client and as the server derive it.
fn complete_handshake(client_keys: &Keys, server_keys: &Keys) -> Result<(Key, Key), HandshakeError> {
    let (client, hello) = ClientHandshake::new(client_keys, [1; 32]);
    let (server, welcome) = ServerHandshake::new(server_keys, &hello, [2; 32])?;
    let (client_key, proof) = client.finish(&welcome)?;
    Ok((client_key, server.finish(&proof)?))
}

#[test]
fn both_sides_prove_their_key_and_two_keys_are_accepted_during_rotation() {
    let (old, both) = (keys(1), Keys::new(key(2), Some(key(1))));
    for (client_keys, server_keys) in [(&old, &both), (&both, &both), (&old, &old)] {
        let (client_key, server_key) = complete_handshake(client_keys, server_keys).unwrap();
        assert_eq!(client_key, server_key);
    }
    assert_eq!(complete_handshake(&keys(2), &old).unwrap_err(), HandshakeError::UnknownKey);
    // Neither a server nor a client completes a handshake without the key.
    let (client, hello) = ClientHandshake::new(&old, [1; 32]);
    assert_eq!(client.finish(&[7; WELCOME_BYTES]).unwrap_err(), HandshakeError::Proof);
    let (server, _) = ServerHandshake::new(&old, &hello, [2; 32]).unwrap();
    assert_eq!(server.finish(&[0; PROOF_BYTES]).unwrap_err(), HandshakeError::Proof);
    assert_eq!(
        ServerHandshake::new(&old, &[b'G'; HELLO_BYTES], [2; 32]).err(),
        Some(HandshakeError::Protocol)
    );
}

#[test]
fn replayed_handshakes_are_rejected() {
    // The server rejects a client's messages of another connection, because its own nonce differs.
    let (client, hello) = ClientHandshake::new(&keys(1), [1; 32]);
    let (_, welcome) = ServerHandshake::new(&keys(1), &hello, [2; 32]).unwrap();
    let (_, proof) = client.finish(&welcome).unwrap();
    let (second_server, _) = ServerHandshake::new(&keys(1), &hello, [3; 32]).unwrap();
    assert_eq!(second_server.finish(&proof).unwrap_err(), HandshakeError::Proof);
    // The client rejects the welcome of another connection, because its own hello differs.
    let (second_client, _) = ClientHandshake::new(&keys(1), [4; 32]);
    assert_eq!(second_client.finish(&welcome).unwrap_err(), HandshakeError::Proof);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn altered_replayed_or_reordered_messages_are_rejected(body in proptest::collection::vec(any::<u8>(), 0..200), position in any::<prop::sample::Index>()) {
        let (mut sealer, mut opener) = (Sealer::new(key(1), true), Opener::new(key(1), true));
        let frame = sealer.seal(&body).unwrap();
        let head = frame[..4].try_into().unwrap();
        prop_assert_eq!(opener.sealed_len(head).unwrap(), frame.len() - 4);
        let mut altered = frame[4..].to_vec();
        let at = position.index(altered.len());
        altered[at] ^= 1;
        prop_assert!(opener.open(&altered).is_err() && opener.open(&frame[4..4 + at]).is_err());
        prop_assert_eq!(opener.open(&frame[4..]).unwrap(), &body[..]);
        // A replayed message, one that is received out of order, and one that is reflected to its sender are rejected.
        prop_assert_eq!(opener.open(&frame[4..]), Err(SealingError::Mac));
        let (first, second) = (sealer.seal(b"1").unwrap(), sealer.seal(b"2").unwrap());
        prop_assert!(opener.open(&second[4..]).is_err() && opener.open(&first[4..]).is_ok());
        prop_assert!(Opener::new(key(1), false).open(&frame[4..]).is_err());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let framed = [&[1u8], &bytes[..]].concat();
        let _ = stonefold_store::codec::decode::<Request>("a request", &framed);
        let _ = stonefold_store::codec::decode::<Response>("a response", &framed);
        let _ = stonefold_store::codec::decode::<Entry>("a log entry", &framed);
        let _ = stonefold_store::snapshot::open_snapshot(&bytes);
    }
}

#[test]
fn failing_addresses_are_banned_and_connections_are_limited() {
    let (mut limiter, bad, good) =
        (ConnectionLimiter::default(), IpAddr::from([127, 0, 0, 2]), IpAddr::from([127, 0, 0, 1]));
    for _ in 0..10 {
        assert!(limiter.admit(bad, 0));
        limiter.on_failure(bad, 0);
        limiter.on_closed();
    }
    assert!(!limiter.admit(bad, 9_999) && limiter.admit(good, 9_999));
    limiter.on_closed();
    assert!(limiter.admit(bad, 10_000), "the ban has expired");
    let admitted = (0..100).filter(|_| limiter.admit(good, 10_000)).count();
    assert_eq!(admitted, 63, "64 connections may be open at a time");
    assert_eq!(limiter.rejected_connections, 1 + 37);
    // Subscribers don't count as open connections, and have a limit of their own.
    (0..63).for_each(|_| limiter.on_closed());
    let subscribers = (0..MAX_SUBSCRIBERS + 44)
        .filter(|_| {
            limiter.admit(good, 10_000)
                && (limiter.admit_subscriber() || {
                    limiter.on_closed();
                    false
                })
        })
        .count();
    assert_eq!(subscribers, MAX_SUBSCRIBERS);
    limiter.on_subscriber_closed();
    assert!(
        limiter.admit(good, 10_000)
            && limiter.admit_subscriber()
            && limiter.admit(good, 10_000)
            && !limiter.admit_subscriber()
    );
    // Rejections are logged at each change of the reason, and at rejections 1, 2, 4, 8 and so on.
    let logged: Vec<u64> =
        (0..100).filter_map(|n| limiter.on_rejected(if n == 20 { "b" } else { "a" })).collect();
    assert_eq!(logged, [1, 2, 4, 8, 16, 21, 22, 32, 64]);
}

/// A member that listens on a local port.
struct TestMember {
    addr: String,
    replica: Replica<TcpTransport>,
    tcp: TcpTransport,
    stop: CancellationToken,
    _dir: tempfile::TempDir,
}

/// Starts a cluster of one member.
async fn start_cluster() -> TestMember {
    let member = start_member(1).await;
    member.replica.bootstrap().await.unwrap();
    member.replica.confirm(Instant::now() + TIMEOUT).await.unwrap();
    member
}

/// Starts a member that belongs to no cluster yet.
async fn start_member(member: u64) -> TestMember {
    let dir = tempfile::tempdir().unwrap();
    let disk = Disk::create(dir.path(), Identity { cluster: 9, member }).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let tcp = TcpTransport::member(keys(1), 9, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await.unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp.clone(), stop.clone()));
    TestMember { addr, replica, tcp, stop, _dir: dir }
}

/// A proposal to disable a server.
fn disable_server(sequence: u64) -> Request {
    let change = Change::Override {
        server: "s-1".into(),
        admin_override: AdminOverride { disabled: true, since_ms: sequence },
    };
    Request::Propose(Proposal { client: 5, sequence, change })
}

#[tokio::test]
async fn a_retried_proposal_is_applied_once() {
    let member = start_cluster().await;
    let client = TcpTransport::client(keys(1), 9);
    let mut replies = Vec::new();
    for _ in 0..3 {
        match client.request(1, &member.addr, disable_server(1), TIMEOUT).await.unwrap() {
            Response::Proposed(Ok(reply)) => replies.push(reply),
            other => panic!("{other:?}"),
        }
    }
    assert!(matches!(replies[0], Reply::Applied(_)) && replies.iter().all(|reply| *reply == replies[0]));
    member.stop.cancel();
}

#[tokio::test]
async fn large_entries_reach_a_new_member_in_several_messages() {
    let (member, new_member) = (start_cluster().await, start_member(2).await);
    for version in 1..=8 {
        let text = "x".repeat(MAX_LIST_BYTES);
        let change = Change::List { version, text, learned_by: 1, started: Vec::new() };
        let proposal = Proposal { client: version, sequence: 1, change };
        member.replica.propose(proposal, Instant::now() + TIMEOUT).await.unwrap();
    }
    let add = Request::AddMember { member: 2, addr: new_member.addr.clone() };
    let response = member.replica.answer(stonefold_store::message::Caller::Client, add).await;
    assert!(matches!(response, Response::MembersChanged(Ok(()))), "{response:?}");
    let mut applied = new_member.replica.applied_index();
    let list = || new_member.replica.shared().read().state.list().map(|list| list.version);
    while list() != Some(8) {
        applied.changed().await.unwrap();
    }
    new_member.stop.cancel();
    member.stop.cancel();
}

#[tokio::test]
async fn foreign_callers_are_rejected_and_only_members_may_vote() {
    let member = start_cluster().await;
    let request_as = |tcp: TcpTransport, request| {
        let addr = member.addr.clone();
        async move { tcp.request(1, &addr, request, TIMEOUT).await }
    };
    for (tcp, reason) in [
        (TcpTransport::client(keys(2), 9), "127.0.0.1"),
        (TcpTransport::client(keys(1), 8), "is not ours"),
        (TcpTransport::member(keys(1), 9, 4, "127.0.0.1:4".into()), "is not a member"),
        (TcpTransport::member(keys(1), 9, 1, member.addr.clone()), "its disk a copy"),
    ] {
        match request_as(tcp, Request::Status).await {
            Err(RequestError::Unreachable(error)) => assert!(error.contains(reason), "{error}"),
            other => panic!("{other:?}"),
        }
    }
    // A removed member that keeps requesting votes doesn't get its address banned: the other callers here have the same
    // address.
    for _ in 0..30 {
        let removed = TcpTransport::member(keys(1), 9, 4, "127.0.0.1:4".into());
        let vote = Request::Vote(openraft::raft::VoteRequest::new(openraft::Vote::new(50, 4), None));
        assert!(request_as(removed, vote).await.is_err());
    }
    let vote = Request::Vote(openraft::raft::VoteRequest::new(openraft::Vote::new(99, 4), None));
    match request_as(TcpTransport::client(keys(1), 9), vote).await.unwrap() {
        Response::MembersChanged(Err(RequestError::Rejected(reason))) => {
            assert!(reason.contains("only members"), "{reason}");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(member.replica.status().term, 1, "the vote requests start no election");
    // While the member has two keys it accepts both; callers with a removed key are rejected.
    member.tcp.set_keys(Keys::new(key(2), Some(key(1))));
    assert!(request_as(TcpTransport::client(keys(2), 9), Request::Status).await.is_ok());
    assert!(request_as(TcpTransport::client(keys(1), 9), Request::Status).await.is_ok());
    member.tcp.set_keys(keys(2));
    assert!(request_as(TcpTransport::client(keys(1), 9), Request::Status).await.is_err());
    member.stop.cancel();
}

#[tokio::test]
async fn silent_and_invalid_connections_do_not_block_other_callers() {
    let member = start_cluster().await;
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.push(TcpStream::connect(&member.addr).await.unwrap()); // never sends anything
    }
    for invalid in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4096], b"SFR1"] {
        let mut stream = TcpStream::connect(&member.addr).await.unwrap();
        stream.write_all(invalid).await.unwrap();
        let _ = stream.shutdown().await;
        let mut received = Vec::new();
        let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut received)).await.unwrap();
        assert!(received.is_empty(), "{received:?}");
    }
    let status = TcpTransport::client(keys(1), 9).request(1, &member.addr, Request::Status, TIMEOUT).await;
    assert!(matches!(status, Ok(Response::Status(_))), "{status:?}");
    member.stop.cancel();
}

#[test]
fn invalid_key_files_are_rejected_with_a_reason() {
    use std::os::unix::fs::PermissionsExt;
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("key");
    Keys::generate(&path).unwrap();
    assert!(Keys::read(&path).is_ok() && Keys::generate(&path).is_err());
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    let error = || Keys::read(&path).unwrap_err().to_string();
    write("# nothing\n");
    assert!(error().contains("0 keys"), "{}", error());
    write(&format!("{}\n{}\n", "ab".repeat(32), "xy".repeat(32)));
    assert!(error().contains(":2: no key"), "{}", error());
    write(&"ab".repeat(32));
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o644)).unwrap();
    assert!(error().contains("644"), "{}", error());
}

/// Forwards the bytes of one direction. The first bytes of the connection and of each read are forwarded one by one.
async fn forward_in_pieces(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    /// How many of a connection's first bytes are forwarded one by one: enough for a handshake, an introduction and
    /// the beginning of a message.
    const CONNECTION_START_BYTES: usize = 512;
    /// How many of the first bytes of each read are forwarded one by one: more than a message's length prefix.
    const READ_START_BYTES: usize = 8;
    let mut buffer = vec![0; 64 << 10];
    let mut forwarded = 0;
    while let Ok(read) = from.read(&mut buffer).await
        && read > 0
    {
        let one_by_one = READ_START_BYTES.max(CONNECTION_START_BYTES.saturating_sub(forwarded));
        let (first, rest) = buffer[..read].split_at(read.min(one_by_one));
        forwarded += read;
        for byte in first.chunks(1) {
            if to.write_all(byte).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_micros(100)).await;
        }
        if to.write_all(rest).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await; // the receiver may have closed
}

/// Starts a proxy to `addr` that forwards bytes in pieces in both directions. Returns its address.
async fn start_fragmenting_proxy(addr: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy_addr = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(&addr).await.unwrap();
            client.set_nodelay(true).unwrap();
            server.set_nodelay(true).unwrap();
            let ((client_reader, client_writer), (server_reader, server_writer)) =
                (client.into_split(), server.into_split());
            tokio::spawn(forward_in_pieces(client_reader, server_writer));
            tokio::spawn(forward_in_pieces(server_reader, client_writer));
        }
    });
    proxy_addr
}

/// Guards against a message or a handshake that is misread when its bytes arrive in several reads. A list of the
/// maximum length is sent, too.
#[tokio::test]
async fn messages_are_read_correctly_when_their_first_bytes_arrive_one_by_one() {
    let member = start_cluster().await;
    let proxy_addr = start_fragmenting_proxy(member.addr.clone()).await;
    let client = TcpTransport::client(keys(1), 9);
    let status = client.request(1, &proxy_addr, Request::Status, TIMEOUT).await;
    assert!(matches!(status, Ok(Response::Status(_))), "{status:?}");
    for (version, length) in [(1, 1), (2, MAX_LIST_BYTES - 1), (3, MAX_LIST_BYTES)] {
        let change = Change::List { version, text: "x".repeat(length), learned_by: 1, started: Vec::new() };
        let proposal = Request::Propose(Proposal { client: 6, sequence: version, change });
        let response = client.request(1, &proxy_addr, proposal, TIMEOUT).await;
        assert!(
            matches!(response, Ok(Response::Proposed(Ok(Reply::Applied(_))))),
            "{length} bytes: {response:?}"
        );
        let committed =
            member.replica.shared().read().state.list().map(|list| (list.version, list.text.len()));
        assert_eq!(committed, Some((version, length)));
    }
    member.stop.cancel();
}
