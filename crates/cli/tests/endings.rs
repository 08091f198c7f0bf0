//! What is still owed at the instant when something ends: the orders of events that are rare, made to happen.
//! `docs/design/endings.md` lists them.

#[path = "common/fakes.rs"]
mod fakes;

use fakes::*;

const CACHE: &str = "s-5be2a07c";

/// Settings under which a connection may take as long as the test wants.
fn patient() -> String {
    SETTINGS.replace(r#""ConnectTimeout":10000.0"#, r#""ConnectTimeout":600000.0"#)
}

/// A node with one cache, and an origin to which connections don't come up.
fn with_late_origin(settings: &str) -> (Node, Fake, Late) {
    let (cache, origin) = (Fake::cache(), Late::http());
    let known = list(41, &[(CACHE, cache.addr)], origin.addr);
    let node = Start { settings, ..Start::new(&known, Fake::http().addr) }.node();
    (node, cache, origin)
}

// ---- the client leaves, or has its answer ----

#[test]
fn a_fetch_that_is_still_connecting_ends_with_its_request() {
    let (node, cache, origin) = with_late_origin(&patient());
    for leaves in [true, false] {
        let mut client = node.client();
        client.get("k", if leaves { "c=read,d=60000" } else { "c=read,d=300" });
        cache.call().miss();
        origin.awaited_by(1);
        if leaves {
            drop(client);
        } else {
            assert!(client.answer().unwrap().starts_with("-BUSY"));
        }
        origin.awaited_by(0);
    }
    // What comes next is the next one's.
    let origin = origin.let_in();
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "the-next", "c=read,d=60000"]);
    cache.call().miss();
    let call = origin.call();
    assert!(call.words.contains(&"x-correlation-id: the-next".into()), "{:?}", call.words);
    call.http("200 OK", "v");
    assert_eq!(client.answer().as_deref(), Some("v"));
}

#[test]
fn who_waits_for_a_fetch_whose_client_leaves_before_it_is_sent_fetches_under_an_id_of_its_own() {
    let (node, cache, origin) = with_late_origin(&patient());
    let (mut first, mut second) = (node.client(), node.client());
    first.get("k", "c=read,d=60000");
    cache.call().miss();
    origin.awaited_by(1);
    second.send(&["CACHE.GET", "k", "the-second", "c=read,d=60000"]);
    cache.call().miss();
    drop(first);
    let origin = {
        // Once the second one's copy of the miss is known to have been heard, its fetch is the only one under way.
        let mut third = node.client();
        third.send(&["CACHE.GET", "another", "the-third", "c=read,d=60000"]);
        cache.call().value("v");
        assert_eq!(third.answer().as_deref(), Some("v"));
        origin.awaited_by(1);
        origin.let_in()
    };
    let call = origin.call();
    assert!(call.words.contains(&"x-correlation-id: the-second".into()), "{:?}", call.words);
    call.http("200 OK", "v");
    assert_eq!(second.answer().as_deref(), Some("v"));
}

#[test]
fn a_write_that_is_still_connecting_ends_with_its_client_though_nothing_may_be_cancelled() {
    let settings = patient().replace(r#""Cancel":true"#, r#""Cancel":false"#);
    let (node, _cache, origin) = with_late_origin(&settings);
    let mut client = node.client();
    client.set("k", "c=put,d=60000,k=1", "v");
    origin.awaited_by(1);
    drop(client);
    origin.awaited_by(0);
}
