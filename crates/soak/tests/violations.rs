//! Violation counters in the nodes' metrics are added up by invariant.

use std::collections::BTreeMap;

use stonefold_soak::violations::add_violations;

#[test]
fn violation_counts_are_added_up_by_invariant() {
    let metrics = "# TYPE svc_invariant_violations_total counter\n\
        svc_invariant_violations_total{invariant=\"no_close_owing\"} 2\n\
        svc_invariant_violations_total{invariant=\"answer_in_time\"} 0\nsvc_inflight 7\neof\n";
    let mut counts = BTreeMap::new();
    add_violations(metrics, &mut counts);
    add_violations(metrics, &mut counts);
    assert_eq!(counts, BTreeMap::from([("no_close_owing".into(), 4), ("answer_in_time".into(), 0)]));
}
