//! What a start counts as, by clocks that are right, behind and ahead.

use super::*;

const NOW_MS: f64 = 1_796_202_289_441.0;
const MINUTE_MS: f64 = 60_000.0;

fn starts(started_ms: &[f64], dated: ListDate) -> Vec<Option<Micros>> {
    let entry = |started_ms: &f64| {
        let text = format!(
            r#"{{"id":"s","addr":"127.0.0.1:1","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1.0,"started_ms":{started_ms}}}"#
        );
        serde_json::from_str::<ListedServer>(&text).unwrap()
    };
    let entries: Vec<ListedServer> = started_ms.iter().map(entry).collect();
    let starts = Starts::new(&entries, dated);
    started_ms.iter().map(|&started_ms| starts.of(started_ms)).collect()
}

#[test]
fn what_is_told_while_we_run_starts_when_it_is_told() {
    let now = micros_from_millis(NOW_MS);
    for off_ms in [0.0, -60.0 * MINUTE_MS, 60.0 * MINUTE_MS] {
        assert_eq!(starts(&[NOW_MS + off_ms, 0.0], ListDate::Later(now)), [Some(now), None]);
    }
}

#[test]
fn a_first_list_shows_a_clock_that_is_behind() {
    let told = [NOW_MS - MINUTE_MS, NOW_MS - 1_000.0, 0.0];
    let as_told = [Some(micros_from_millis(told[0])), Some(micros_from_millis(told[1])), None];
    assert_eq!(starts(&told, ListDate::First(micros_from_millis(NOW_MS))), as_told);
    // An hour behind: the latest start is now at the latest, the others as much older as they are.
    let now = micros_from_millis(NOW_MS - 60.0 * MINUTE_MS);
    let minute = micros_from_millis(MINUTE_MS - 1_000.0);
    assert_eq!(starts(&told, ListDate::First(now)), [Some(now - minute), Some(now), None]);
}

#[test]
fn a_start_that_seems_long_ago_when_it_is_told_shows_by_how_much_the_clock_is_ahead() {
    let now = micros_from_millis(NOW_MS);
    let ahead = |started_ms: f64, dated: ListDate| Starts::new(&[], dated).ahead(started_ms);
    assert_eq!(
        ahead(NOW_MS - 60.0 * MINUTE_MS, ListDate::Later(now)),
        Some(micros_from_millis(60.0 * MINUTE_MS))
    );
    assert_eq!(ahead(NOW_MS - MINUTE_MS / 2.0, ListDate::Later(now)), None, "news may take so long");
    assert_eq!(ahead(NOW_MS + MINUTE_MS, ListDate::Later(now)), None);
    assert_eq!(ahead(0.0, ListDate::Later(now)), None, "long ago");
    assert_eq!(ahead(NOW_MS - 60.0 * MINUTE_MS, ListDate::First(now)), None);
}
