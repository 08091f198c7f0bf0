//! Connections between replicas against callers that must be rejected: without the key, with another one, or with
//! replayed, cut, altered, endless or no messages.

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

const PATIENCE: Duration = Duration::from_secs(20);

fn key(n: u8) -> Key {
    Key::new([n; 32])
}

fn keys(n: u8) -> Keys {
    Keys::new(key(n), None)
}

/// Both ends of a connection whose sides have proved themselves.
fn shaken(asking: &Keys, welcoming: &Keys) -> Result<(Key, Key), HandshakeError> {
    let (asks, hello) = ClientHandshake::new(asking, [1; 32]);
    let (welcomes, welcome) = ServerHandshake::new(welcoming, &hello, [2; 32])?;
    let (mine, proof) = asks.finish(&welcome)?;
    Ok((mine, welcomes.finish(&proof)?))
}

#[test]
fn both_sides_prove_a_key_and_two_are_accepted_during_rotation() {
    let (old, both) = (keys(1), Keys::new(key(2), Some(key(1))));
    for (asking, welcoming) in [(&old, &both), (&both, &both), (&old, &old)] {
        let (mine, theirs) = shaken(asking, welcoming).unwrap();
        assert_eq!(mine, theirs);
    }
    assert_eq!(shaken(&keys(2), &old).unwrap_err(), HandshakeError::UnknownKey);
    // A hello that names a key it does not have, and a welcome by somebody who has not got it.
    let (asks, hello) = ClientHandshake::new(&old, [1; 32]);
    assert_eq!(asks.finish(&[7; WELCOME_BYTES]).unwrap_err(), HandshakeError::Proof);
    let (welcomes, _) = ServerHandshake::new(&old, &hello, [2; 32]).unwrap();
    assert_eq!(welcomes.finish(&[0; PROOF_BYTES]).unwrap_err(), HandshakeError::Proof);
    assert_eq!(
        ServerHandshake::new(&old, &[b'G'; HELLO_BYTES], [2; 32]).err(),
        Some(HandshakeError::Protocol)
    );
}

#[test]
fn replayed_handshakes_are_rejected() {
    // All that one side said on another connection, said again: the other side's nonce is another one now.
    let (asks, hello) = ClientHandshake::new(&keys(1), [1; 32]);
    let (_, welcome) = ServerHandshake::new(&keys(1), &hello, [2; 32]).unwrap();
    let (_, proof) = asks.finish(&welcome).unwrap();
    let (again, _) = ServerHandshake::new(&keys(1), &hello, [3; 32]).unwrap();
    assert_eq!(again.finish(&proof).unwrap_err(), HandshakeError::Proof);
    // And the welcome, to another hello.
    let (other, _) = ClientHandshake::new(&keys(1), [4; 32]);
    assert_eq!(other.finish(&welcome).unwrap_err(), HandshakeError::Proof);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn altered_replayed_or_reordered_messages_are_rejected(body in proptest::collection::vec(any::<u8>(), 0..200), place in any::<prop::sample::Index>()) {
        let (mut sealer, mut opener) = (Sealer::new(key(1), true), Opener::new(key(1), true));
        let frame = sealer.seal(&body).unwrap();
        let head = frame[..4].try_into().unwrap();
        prop_assert_eq!(opener.sealed_len(head).unwrap(), frame.len() - 4);
        let mut changed = frame[4..].to_vec();
        let at = place.index(changed.len());
        changed[at] ^= 1;
        prop_assert!(opener.open(&changed).is_err() && opener.open(&frame[4..4 + at]).is_err());
        prop_assert_eq!(opener.open(&frame[4..]).unwrap(), &body[..]);
        // Once more, later than another, or sent back.
        prop_assert_eq!(opener.open(&frame[4..]), Err(SealingError::Mac));
        let (left_out, next) = (sealer.seal(b"1").unwrap(), sealer.seal(b"2").unwrap());
        prop_assert!(opener.open(&next[4..]).is_err() && opener.open(&left_out[4..]).is_ok());
        prop_assert!(Opener::new(key(1), false).open(&frame[4..]).is_err());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let framed = [&[1u8], &bytes[..]].concat();
        let _ = stonefold_store::codec::decode::<Request>("a question", &framed);
        let _ = stonefold_store::codec::decode::<Response>("an answer", &framed);
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
    assert!(limiter.admit(bad, 10_000), "its time is over");
    let more = (0..100).filter(|_| limiter.admit(good, 10_000)).count();
    assert_eq!(more, 63, "and 64 at a time in all");
    assert_eq!(limiter.rejected_connections, 1 + 37);
    // Subscribers leave their places to others, and have a bound of their own.
    (0..63).for_each(|_| limiter.on_closed());
    let all = (0..MAX_SUBSCRIBERS + 44)
        .filter(|_| {
            limiter.admit(good, 10_000)
                && (limiter.admit_subscriber() || {
                    limiter.on_closed();
                    false
                })
        })
        .count();
    assert_eq!(all, MAX_SUBSCRIBERS);
    limiter.on_subscriber_closed();
    assert!(
        limiter.admit(good, 10_000)
            && limiter.admit_subscriber()
            && limiter.admit(good, 10_000)
            && !limiter.admit_subscriber()
    );
    // Rejections are logged for each new reason, and ever more rarely for the same one.
    let logged: Vec<u64> =
        (0..100).filter_map(|n| limiter.on_rejected(if n == 20 { "b" } else { "a" })).collect();
    assert_eq!(logged, [1, 2, 4, 8, 16, 21, 22, 32, 64]);
}

struct Served {
    addr: String,
    replica: Replica<TcpTransport>,
    tcp: TcpTransport,
    stop: CancellationToken,
    _dir: tempfile::TempDir,
}

async fn served() -> Served {
    let served = listening(1).await;
    served.replica.bootstrap().await.unwrap();
    served.replica.confirm(Instant::now() + PATIENCE).await.unwrap();
    served
}

async fn listening(member: u64) -> Served {
    let dir = tempfile::tempdir().unwrap();
    let disk = Disk::create(dir.path(), Identity { cluster: 9, member }).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let tcp = TcpTransport::member(keys(1), 9, member, addr.clone());
    let replica = Replica::start(disk, ReplicaOptions::new(addr.clone()), tcp.clone()).await.unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, replica.clone(), tcp.clone(), stop.clone()));
    Served { addr, replica, tcp, stop, _dir: dir }
}

fn order(sequence: u64) -> Request {
    let change = Change::Override {
        server: "s-1".into(),
        admin_override: AdminOverride { disabled: true, since_ms: sequence },
    };
    Request::Propose(Proposal { client: 5, sequence, change })
}

#[tokio::test]
async fn a_retried_proposal_is_applied_once() {
    let served = served().await;
    let client = TcpTransport::client(keys(1), 9);
    let mut answers = Vec::new();
    for _ in 0..3 {
        match client.request(1, &served.addr, order(1), PATIENCE).await.unwrap() {
            Response::Proposed(Ok(reply)) => answers.push(reply),
            other => panic!("{other:?}"),
        }
    }
    assert!(matches!(answers[0], Reply::Applied(_)) && answers.iter().all(|answer| *answer == answers[0]));
    served.stop.cancel();
}

#[tokio::test]
async fn large_entries_reach_a_new_member_in_several_messages() {
    let (served, late) = (served().await, listening(2).await);
    for version in 1..=8 {
        let text = "x".repeat(MAX_LIST_BYTES);
        let change = Change::List { version, text, learned_by: 1, started: Vec::new() };
        let proposal = Proposal { client: version, sequence: 1, change };
        served.replica.propose(proposal, Instant::now() + PATIENCE).await.unwrap();
    }
    let add = Request::AddMember { member: 2, addr: late.addr.clone() };
    let answer = served.replica.answer(stonefold_store::message::Caller::Client, add).await;
    assert!(matches!(answer, Response::MembersChanged(Ok(()))), "{answer:?}");
    let mut applied = late.replica.applied_index();
    let list = || late.replica.shared().read().state.list().map(|list| list.version);
    while list() != Some(8) {
        applied.changed().await.unwrap();
    }
    late.stop.cancel();
    served.stop.cancel();
}

#[tokio::test]
async fn foreign_callers_are_rejected_and_only_members_may_vote() {
    let served = served().await;
    let ask = |tcp: TcpTransport, request| {
        let addr = served.addr.clone();
        async move { tcp.request(1, &addr, request, PATIENCE).await }
    };
    for (tcp, why) in [
        (TcpTransport::client(keys(2), 9), "127.0.0.1"),
        (TcpTransport::client(keys(1), 8), "is not ours"),
        (TcpTransport::member(keys(1), 9, 4, "127.0.0.1:4".into()), "is not a member"),
        (TcpTransport::member(keys(1), 9, 1, served.addr.clone()), "its disk a copy"),
    ] {
        match ask(tcp, Request::Status).await {
            Err(RequestError::Unreachable(error)) => assert!(error.contains(why), "{error}"),
            other => panic!("{other:?}"),
        }
    }
    // One that was removed and goes on campaigning bars nobody else at its address.
    for _ in 0..30 {
        let removed = TcpTransport::member(keys(1), 9, 4, "127.0.0.1:4".into());
        let vote = Request::Vote(openraft::raft::VoteRequest::new(openraft::Vote::new(50, 4), None));
        assert!(ask(removed, vote).await.is_err());
    }
    let vote = Request::Vote(openraft::raft::VoteRequest::new(openraft::Vote::new(99, 4), None));
    match ask(TcpTransport::client(keys(1), 9), vote).await.unwrap() {
        Response::MembersChanged(Err(RequestError::Rejected(why))) => {
            assert!(why.contains("only members"), "{why}");
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(served.replica.status().term, 1, "no election came of it");
    // While two keys are known both are accepted; once the first is removed its holder is rejected.
    served.tcp.set_keys(Keys::new(key(2), Some(key(1))));
    assert!(ask(TcpTransport::client(keys(2), 9), Request::Status).await.is_ok());
    assert!(ask(TcpTransport::client(keys(1), 9), Request::Status).await.is_ok());
    served.tcp.set_keys(keys(2));
    assert!(ask(TcpTransport::client(keys(1), 9), Request::Status).await.is_err());
    served.stop.cancel();
}

#[tokio::test]
async fn noise_and_silent_connections_block_nobody() {
    let served = served().await;
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.push(TcpStream::connect(&served.addr).await.unwrap()); // says nothing, ever
    }
    for noise in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4096], b"SFR1"] {
        let mut stream = TcpStream::connect(&served.addr).await.unwrap();
        stream.write_all(noise).await.unwrap();
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await.unwrap();
        assert!(answer.is_empty(), "{answer:?}");
    }
    let status = TcpTransport::client(keys(1), 9).request(1, &served.addr, Request::Status, PATIENCE).await;
    assert!(matches!(status, Ok(Response::Status(_))), "{status:?}");
    served.stop.cancel();
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

/// Passes the bytes of one direction on, the first of all and the first of each read one by one.
async fn pass_on_in_pieces(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    /// A handshake, an introduction and the beginning of a message, in bytes.
    const BEGINNING: usize = 512;
    /// A message's length and more, in bytes.
    const SINGLE_BYTES: usize = 8;
    let mut buffer = vec![0; 64 << 10];
    let mut passed = 0;
    while let Ok(read) = from.read(&mut buffer).await
        && read > 0
    {
        let single = SINGLE_BYTES.max(BEGINNING.saturating_sub(passed));
        let (first, rest) = buffer[..read].split_at(read.min(single));
        passed += read;
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

/// A way to `addr` on which bytes arrive in pieces in both directions.
async fn way_in_pieces(addr: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let way = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(&addr).await.unwrap();
            near.set_nodelay(true).unwrap();
            far.set_nodelay(true).unwrap();
            let ((near_reads, near_writes), (far_reads, far_writes)) = (near.into_split(), far.into_split());
            tokio::spawn(pass_on_in_pieces(near_reads, far_writes));
            tokio::spawn(pass_on_in_pieces(far_reads, near_writes));
        }
    });
    way
}

/// Guards against a cut that changes what a handshake or a message of the store means, for a long list too.
#[tokio::test]
async fn messages_mean_the_same_though_each_byte_of_their_beginning_comes_alone() {
    let served = served().await;
    let way = way_in_pieces(served.addr.clone()).await;
    let client = TcpTransport::client(keys(1), 9);
    let status = client.request(1, &way, Request::Status, PATIENCE).await;
    assert!(matches!(status, Ok(Response::Status(_))), "{status:?}");
    for (version, length) in [(1, 1), (2, MAX_LIST_BYTES - 1), (3, MAX_LIST_BYTES)] {
        let change = Change::List { version, text: "x".repeat(length), learned_by: 1, started: Vec::new() };
        let proposal = Request::Propose(Proposal { client: 6, sequence: version, change });
        let answer = client.request(1, &way, proposal, PATIENCE).await;
        assert!(
            matches!(answer, Ok(Response::Proposed(Ok(Reply::Applied(_))))),
            "{length} bytes: {answer:?}"
        );
        let known = served.replica.shared().read().state.list().map(|list| (list.version, list.text.len()));
        assert_eq!(known, Some((version, length)));
    }
    served.stop.cancel();
}
