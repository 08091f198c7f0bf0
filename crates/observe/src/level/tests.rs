use super::*;

#[test]
fn levels_are_checked_and_come_back_as_they_went() {
    for text in ["info", "warn,stonefold_node=debug", "off"] {
        let levels: Levels = text.parse().unwrap();
        assert_eq!(levels.to_string().parse::<Levels>().unwrap(), levels, "{text}");
    }
    for text in ["inf", "info,node=loud", "debug=debug=debug", "verbose"] {
        assert!(text.parse::<Levels>().is_err(), "{text}");
    }
}
