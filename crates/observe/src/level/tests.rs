use super::*;

#[test]
fn levels_round_trip_through_text_and_unknown_ones_are_rejected() {
    for text in ["info", "warn,stonefold_node=debug", "off"] {
        let levels: Levels = text.parse().unwrap();
        assert_eq!(levels.to_string().parse::<Levels>().unwrap(), levels, "{text}");
    }
    for text in ["inf", "info,node=loud", "debug=debug=debug", "verbose"] {
        assert!(text.parse::<Levels>().is_err(), "{text}");
    }
}
