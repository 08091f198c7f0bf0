//! A member's feed table, and deltas between lists.

use proptest::prelude::*;
use stonefold_store::applied::AppliedState;
use stonefold_store::feed::delta::diff;
use stonefold_store::feed::table::FeedTable;
use stonefold_store::state::limits::MAX_LIST_BYTES;

#[test]
fn an_empty_applied_state_gives_an_empty_table() {
    let mut table = FeedTable::default();
    table.sync_from(&AppliedState::default());
    assert_eq!((table.revision(), table.items().len(), table.last_purge()), (0, 0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn a_delta_applies_to_its_own_old_text_only(old in "[ab}]{0,60}", new in "[ab}]{0,60}", other in "[ab}]{0,60}") {
        let delta = diff(&old, &new);
        prop_assert_eq!(delta.apply(&old).unwrap(), new.clone());
        prop_assert!(delta.apply(&other).is_err() || delta.apply(&other).unwrap() == new);
        prop_assert!(new.len() <= MAX_LIST_BYTES);
    }
}
