use super::*;
use stonefold_balancer::Settings;
use stonefold_balancer::settings_document::SettingsDocument;

/// An interval of zero would make nodes poll without a pause between failed polls.
#[test]
fn a_missing_or_zero_poll_interval_falls_back_to_the_default() {
    for rules in ["{}", r#"{"MustAskIn":0}"#] {
        let class = r#"{"Name":"read","Aim":1,"HardLimit":2,"Effect":"safe"}"#;
        let text = format!(r#"{{"Classes":[{class}],"Guarantees":{rules},"RegistryMode":"subscribe"}}"#);
        let document: SettingsDocument = serde_json::from_str(&text).unwrap();
        let resolved = ResolvedSettings::try_from(document).unwrap();
        assert_eq!(resolved.settings.max_poll_interval, Settings::default().max_poll_interval);
    }
}

/// Guards against keyed writes that are repeated at servers that do not discard repeats, because a scope that is missing
/// or unknown counted as the widest one.
#[test]
fn keyed_class_must_state_which_servers_discard_repeats() {
    for (scope, is_valid) in [
        (r#","DedupScope":"all""#, true),
        (r#","DedupScope":"zone""#, true),
        (r#","DedupScope":"cell""#, true),
        (r#","DedupScope":"region""#, false),
        (r#","DedupScope":"""#, false),
        ("", false),
    ] {
        let class =
            format!(r#"{{"Name":"write","Aim":1,"HardLimit":2,"Effect":"keyed","Window":3000{scope}}}"#);
        let document: SettingsDocument =
            serde_json::from_str(&format!(r#"{{"Classes":[{class}]}}"#)).unwrap();
        assert_eq!(ResolvedSettings::try_from(document).is_ok(), is_valid, "{scope}");
    }
}
