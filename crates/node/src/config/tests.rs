use super::*;
use stonefold_balancer::Settings;

/// Guards against: no pause at all between failed calls for the list, where the settings don't state how often
/// it has to be asked for.
#[test]
fn a_time_for_asking_that_is_not_stated_is_the_usual_one() {
    for rules in ["{}", r#"{"MustAskIn":0}"#] {
        let class = r#"{"Name":"read","Aim":1,"HardLimit":2,"Effect":"safe"}"#;
        let text = format!(r#"{{"Classes":[{class}],"Guarantees":{rules},"RegistryMode":"subscribe"}}"#);
        let stated: SettingsDocument = serde_json::from_str(&text).unwrap();
        let setup = ResolvedSettings::try_from(stated).unwrap();
        assert_eq!(setup.settings.max_poll_interval, Settings::default().max_poll_interval);
    }
}
