//! Tests of the text that operators get for the members.

use super::*;

#[test]
fn each_state_and_reachability_of_a_member_is_listed_as_one_line() {
    let profile = Profile { name: "n2".into(), address: "[fd00::12]:7946".parse().unwrap(), instance: 5 };
    let states = [State::Alive, State::Suspect, State::Failed, State::Left];
    let reachabilities =
        [Reachability::Unknown, Reachability::Direct, Reachability::IndirectOnly, Reachability::Direct];
    let lines = states.into_iter().zip(reachabilities).map(|(state, reachability)| {
        let member = Member {
            profile: profile.clone(),
            incarnation: 1_790_000_000_123,
            state,
            since: 500_000,
            reachability,
        };
        line(&member, 12_840_000)
    });
    assert_eq!(
        lines.collect::<Vec<_>>(),
        [
            "n2 alive incarnation=1790000000123 for_s=12.3 reach=untried at=[fd00::12]:7946\n",
            "n2 suspect incarnation=1790000000123 for_s=12.3 reach=direct at=[fd00::12]:7946\n",
            "n2 failed incarnation=1790000000123 for_s=12.3 reach=others-only at=[fd00::12]:7946\n",
            "n2 left incarnation=1790000000123 for_s=12.3 reach=direct at=[fd00::12]:7946\n",
        ]
    );
}
