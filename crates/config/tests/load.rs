//! Loading a configuration: every error names its location and key, and no part of a rejected configuration is used.

use std::fs;
use std::path::PathBuf;

use stonefold_config::{Config, Layers, Loaded, Role, ValueSource, load, schema};

const VALID: &str = r#"
[node]
listen = "127.0.0.1:6379"
discovery = "127.0.0.1:8500"

[[class]]
name = "read"
aim = "600ms"
deadline = "1s 200ms"
effect = "safe"
"#;

fn layers(text: &str) -> (tempfile::TempDir, Layers) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("node.toml");
    fs::write(&path, text).unwrap();
    (dir, Layers { file: Some(path), ..Layers::default() })
}

fn load_error(text: &str) -> String {
    let (_dir, layers) = layers(text);
    let error = load::<Config>(&layers).err().unwrap_or_else(|| panic!("accepted: {text}"));
    let text = error.to_string();
    text.split_once("node.toml:").map_or(text.clone(), |(_, rest)| rest.to_owned())
}

#[test]
fn errors_name_the_location_the_key_and_the_allowed_values() {
    let swap = |from: &str, to: &str| VALID.replace(from, to);
    let cases = [
        (swap("listen", "lisen"), "3:1: node.lisen: unknown key", "did you mean `listen`?"),
        (swap("[node]", "[nod]"), "2:2: nod: unknown key", "did you mean `node`?"),
        (swap("aim", "amount"), "8:1: class[0].amount: unknown key", "known here: name, aim, deadline"),
        (swap("\"600ms\"", "600"), "8:1: class[0].aim", "expected a duration of 1ms to 1h"),
        (
            swap("600ms", "2h"),
            "8:1: class[0].aim",
            "\"2h\" is not allowed here: expected a duration of 1ms to 1h",
        ),
        (swap("600ms", "-5ms"), "8:1: class[0].aim", "1ms to 1h"),
        (swap("1s 200ms", "500ms"), "9:1: class[0].deadline", "not be shorter than the aim"),
        (swap("\"safe\"", "\"sfae\""), "10:1: class[0].effect", "`safe`, `keyed`, `unsafe`"),
        (swap("name = \"read\"\n", ""), "6:1: class[0]", "missing field `name`"),
        (swap("127.0.0.1:6379", "localhost"), "3:1: node.listen", "invalid socket address"),
        (swap("listen = \"127.0.0.1:6379\"", ""), "2:2: node.listen", "where clients connect"),
        (swap("effect", "worth = 0\neffect"), "10:1: class[0].worth", "a number above 0"),
        (format!("{VALID}\n[limits]\nmemory = \"1KiB\""), "13:1: limits.memory", "a size of 16MiB to 64GiB"),
        (
            format!("{VALID}\n[limits]\nsockets = 1.5"),
            "13:1: limits.sockets",
            "a whole number of 120 to 1048576",
        ),
        (format!("{VALID}\n[log]\nlevel = \"inf\""), "13:1: log.level", "bad log level"),
        (
            swap("[node]", "[node]\nindex = 4\nsiblings = 4"),
            "3:1: node.index",
            "none of node.siblings: 0 to 3",
        ),
        (
            format!("{VALID}\n[[class]]\nname = \"read\"\naim=\"1ms\"\ndeadline=\"1ms\"\neffect=\"safe\""),
            "13:1: class[1].name",
            "used twice",
        ),
        (
            format!("{VALID}\n[[tenant]]\nname=\"a\"\nshare=0.8\n[[tenant]]\nname=\"b\"\nshare=0.8"),
            "12:3: tenant",
            "add up to 1.600",
        ),
        (format!("{VALID}\n[[tenant]]\nname=\"a,b\"\nshare=0.8"), "13:1: tenant[0].name", "is no name"),
        (swap("aim = ", "aim "), "8:5", ""),
        (swap("[node]", "[node"), "2:", ""),
        (String::new(), "node.listen", "needed"),
    ];
    for (text, place, why) in cases {
        let message = load_error(&text);
        assert!(
            message.contains(place) && message.contains(why),
            "{message}\n  should name {place:?} and {why:?}"
        );
    }
}

#[test]
fn store_section_needs_exactly_the_keys_of_its_role() {
    let store = |rest: &str| format!("{VALID}\n[store]\ndir = \"d\"\nkey_file = \"k\"\n{rest}");
    let cluster = format!("cluster = \"{}\"\n", "0a".repeat(16));
    let subscriber = |rest: &str| store(&format!("role = \"subscriber\"\n{rest}"));
    let publishers = "publishers = [[\"127.0.0.1:2\"], [\"127.0.0.1:3\", \"127.0.0.1:4\"]]\n";
    for (text, key, why) in [
        (store(""), "store.listen", "needed by a member"),
        (store("listen = \"10.0.0.1:1\""), "store.listen", "no loopback address"),
        (store(&format!("listen = \"127.0.0.1:1\"\n{cluster}")), "store.cluster", "only a subscriber"),
        (store(&format!("listen = \"127.0.0.1:1\"\n{publishers}")), "store.publishers", "only a subscriber"),
        (store("role = \"leader\""), "store.role", "expected `member` or `subscriber`"),
        (subscriber(publishers), "store.cluster", "needed by a subscriber"),
        (subscriber(&format!("cluster = \"12\"\n{publishers}")), "store.cluster", "32 hex digits"),
        (subscriber(&cluster), "store.publishers", "needed by a subscriber"),
        (subscriber(&format!("{cluster}publishers = [[]]")), "store.publishers", "the nearest first"),
        (
            subscriber(&format!("{cluster}{publishers}listen = \"127.0.0.1:3\"")),
            "store.publishers",
            "this very node",
        ),
        (
            subscriber(&format!("{cluster}publishers = [[\"x\"]]")),
            "store.publishers",
            "invalid socket address",
        ),
    ] {
        let message = load_error(&text);
        assert!(
            message.contains(key) && message.contains(why),
            "{message}\n  should name {key:?} and {why:?}"
        );
    }
    // Valid sections: a member's without a role, which is the default, a subscriber's and a relay's.
    for (text, role, listens) in [
        (store("listen = \"127.0.0.1:1\""), Role::Member, true),
        (subscriber(&format!("{cluster}{publishers}")), Role::Subscriber, false),
        (subscriber(&format!("{cluster}{publishers}listen = \"127.0.0.1:1\"")), Role::Subscriber, true),
    ] {
        let (_dir, layers) = layers(&text);
        let tree = load::<Config>(&layers).unwrap_or_else(|error| panic!("{error}: {text}")).tree;
        let platform = tree.to_platform(1).to_string();
        let store = tree.store.unwrap();
        assert_eq!((store.role, store.listen.is_some()), (role, listens));
        assert!(!platform.contains("subscriber") && !platform.contains("publishers"), "{platform}");
    }
}

#[test]
fn truncated_file_is_rejected_or_complete() {
    for end in 0..VALID.len() {
        let (_dir, layers) = layers(&VALID[..end]);
        if let Ok(Loaded { tree, .. }) = load::<Config>(&layers) {
            assert_eq!(tree.classes.len(), 1, "cut at {end}");
        }
    }
}

#[test]
fn later_layers_override_earlier_ones_and_values_keep_their_source() {
    let (_dir, mut layers) = layers(VALID);
    layers.environment = vec![
        ("STONEFOLD_LIMITS__SOCKETS".into(), "400".into()),
        ("STONEFOLD_NODE__NAME".into(), "from-env".into()),
        ("STONEFOLD_LOG".into(), "debug".into()),
        ("HOME".into(), "/".into()),
    ];
    layers.flags = vec!["limits.sockets=500".into(), "connections.keepalive=1m".into()];
    let loaded = load::<Config>(&layers).unwrap();
    assert_eq!(loaded.tree.limits.sockets.get(), 500);
    assert_eq!(loaded.tree.node.name, "from-env");
    let explained = loaded.explain();
    let effective = |key: &str| {
        let one = explained.iter().find(|e| e.key == key).unwrap_or_else(|| panic!("{key}"));
        let origin = match &one.source {
            ValueSource::Default => "default".to_owned(),
            ValueSource::Stated(place) => place.to_string().rsplit('/').next().unwrap().to_owned(),
        };
        (one.value.clone(), origin)
    };
    assert_eq!(effective("limits.sockets"), ("500".into(), "flag --set limits.sockets=500".into()));
    assert_eq!(effective("node.name"), ("\"from-env\"".into(), "environment STONEFOLD_NODE__NAME".into()));
    assert_eq!(effective("connections.keepalive").0, "\"1m\"");
    assert_eq!(effective("class[0].aim"), ("\"600ms\"".into(), "node.toml:8:1".into()));
    assert_eq!(effective("limits.memory"), ("\"192MiB\"".into(), "default".into()));
    for (variable, flag, place) in [
        (
            Some("STONEFOLD_LIMITS__SOCKTS"),
            None,
            "environment STONEFOLD_LIMITS__SOCKTS: limits.sockts: unknown key",
        ),
        (None, Some("limits.sockets=many"), "flag --set limits.sockets=many: limits.sockets"),
        (None, Some("limits"), "expected key=value"),
        (None, Some("node.listen.more=1"), "holds no further keys"),
    ] {
        let mut layers = Layers { file: layers.file.clone(), ..Layers::default() };
        layers.environment.extend(variable.map(|name| (name.to_owned(), "400".to_owned())));
        layers.flags.extend(flag.map(str::to_owned));
        let message = load::<Config>(&layers).err().unwrap().to_string();
        assert!(message.contains(place), "{message}");
    }
}

#[test]
fn serialized_tree_deserializes_to_itself() {
    let (_dir, layers) = layers(VALID);
    let tree = load::<Config>(&layers).unwrap().tree;
    let text = toml::to_string(&tree).unwrap();
    assert_eq!(toml::from_str::<Config>(&text).unwrap(), tree);
}

#[test]
fn membership_errors_name_the_key() {
    let with_membership = |rest: &str| {
        format!("{VALID}\n[membership]\nlisten = \"127.0.0.1:1\"\ncluster = \"c\"\nkey_file = \"k\"\n{rest}")
    };
    let many: Vec<String> = (1..=1_025).map(|port| format!("\"127.0.0.1:{port}\"")).collect();
    for (text, key, why) in [
        (with_membership("listn = 1"), "membership.listn", "`listen`"),
        (with_membership("probe_interval = \"50ms\""), "membership.probe_interval", "100ms"),
        (with_membership("advertise = \"10.0.0.1:1\""), "membership.advertise", "no loopback address"),
        (with_membership("").replace("\"c\"", "\"\""), "membership.cluster", "1 to 64 bytes"),
        (
            with_membership("").replace("[node]", &format!("[node]\nname = \"{}\"", "n".repeat(65))),
            "node.name",
            "1 to 64",
        ),
        (with_membership(&format!("seeds = [{}]", many.join(","))), "membership.seeds", "at most 1024"),
        (with_membership("seeds = [\"x\"]"), "membership.seeds", "invalid socket address"),
        (with_membership("").replace("key_file = \"k\"", ""), "membership", "key_file"),
    ] {
        let message = load_error(&text);
        assert!(
            message.contains(key) && message.contains(why),
            "{message}\n  should name {key:?} and {why:?}"
        );
    }
    let (_dir, layers) = layers(&with_membership(&format!("seeds = [{}]", many[..1_024].join(","))));
    let tree = load::<Config>(&layers).unwrap_or_else(|error| panic!("{error}")).tree;
    assert!(
        !tree.to_platform(1).to_string().contains("membership"),
        "the platform's document has no membership"
    );
    assert_eq!(tree.membership.unwrap().seeds.len(), 1_024);
}

#[test]
fn schema_and_example_in_deploy_are_current() {
    let deploy = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let committed = fs::read_to_string(deploy.join("node.schema.json")).unwrap();
    let generated = serde_json::to_string_pretty(&schema()).unwrap() + "\n";
    assert_eq!(
        committed, generated,
        "the schema is outdated; run: stonefold check --schema > deploy/node.schema.json"
    );
    let example = Layers { file: Some(deploy.join("node.toml")), ..Layers::default() };
    let tree = load::<Config>(&example).unwrap().tree;
    assert_eq!(tree.classes.len(), 2);
}
