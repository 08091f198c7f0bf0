//! Start times as computed with a clock that is right, behind or ahead.

use super::*;

const NOW_MS: f64 = 1_796_202_289_441.0;
const MINUTE_MS: f64 = 60_000.0;

fn starts(started_ms: &[f64], arrival: ListArrival) -> Vec<Option<Micros>> {
    let server = |started_ms: &f64| {
        let text = format!(
            r#"{{"id":"s","addr":"127.0.0.1:1","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1.0,"started_ms":{started_ms}}}"#
        );
        serde_json::from_str::<ListedServer>(&text).unwrap()
    };
    let servers: Vec<ListedServer> = started_ms.iter().map(server).collect();
    let starts = StartTimeConversion::new(&servers, arrival);
    started_ms.iter().map(|&started_ms| starts.driver_time(started_ms)).collect()
}

#[test]
fn start_reported_at_runtime_counts_from_the_report() {
    let now = micros_from_millis(NOW_MS);
    for off_ms in [0.0, -60.0 * MINUTE_MS, 60.0 * MINUTE_MS] {
        assert_eq!(starts(&[NOW_MS + off_ms, 0.0], ListArrival::Update(now)), [Some(now), None]);
    }
}

#[test]
fn first_list_reveals_a_clock_that_is_behind() {
    let stated = [NOW_MS - MINUTE_MS, NOW_MS - 1_000.0, 0.0];
    let as_stated = [Some(micros_from_millis(stated[0])), Some(micros_from_millis(stated[1])), None];
    assert_eq!(starts(&stated, ListArrival::First(micros_from_millis(NOW_MS))), as_stated);
    // With a clock an hour behind, the latest start is taken to be now, and the others keep their distance to it.
    let now = micros_from_millis(NOW_MS - 60.0 * MINUTE_MS);
    let minute = micros_from_millis(MINUTE_MS - 1_000.0);
    assert_eq!(starts(&stated, ListArrival::First(now)), [Some(now - minute), Some(now), None]);
}

#[test]
fn reported_start_that_seems_long_past_reveals_a_clock_that_is_ahead() {
    let now = micros_from_millis(NOW_MS);
    let ahead = |started_ms: f64, arrival: ListArrival| {
        StartTimeConversion::new(&[], arrival).clock_ahead(started_ms)
    };
    assert_eq!(
        ahead(NOW_MS - 60.0 * MINUTE_MS, ListArrival::Update(now)),
        Some(micros_from_millis(60.0 * MINUTE_MS))
    );
    assert_eq!(
        ahead(NOW_MS - MINUTE_MS / 2.0, ListArrival::Update(now)),
        None,
        "a report may be delayed by half a minute"
    );
    assert_eq!(ahead(NOW_MS + MINUTE_MS, ListArrival::Update(now)), None);
    assert_eq!(ahead(0.0, ListArrival::Update(now)), None, "0 stands for a start long ago");
    assert_eq!(ahead(NOW_MS - 60.0 * MINUTE_MS, ListArrival::First(now)), None);
}
