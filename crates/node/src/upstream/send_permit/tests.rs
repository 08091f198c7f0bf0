//! When a permit allows an attempt to start, and the time that the attempt states.

use super::*;

#[tokio::test(start_paused = true)]
async fn attempt_for_a_disconnected_client_is_not_started_and_earlier_starts_stay_recorded() {
    let client = ClientStatus::default();
    let deadline = Instant::now() + Duration::from_secs(1);
    let attempt = || {
        let conditions = SendConditions { client: client.clone(), ..SendConditions::default() };
        (SendPermit::new(ServingFlag::new(), conditions.clone()), conditions.start)
    };
    let ((before, started), (after, never)) = (attempt(), attempt());
    assert!(before.start(deadline).is_some());
    tokio::time::advance(Duration::from_millis(1)).await;
    client.mark_disconnected();
    let disconnected_at = client.disconnected_at().unwrap();
    tokio::time::advance(Duration::from_millis(1)).await;
    client.mark_disconnected(); // a second call, as from a session that ends after its client has disconnected
    assert_eq!(client.disconnected_at(), Some(disconnected_at));
    assert!(after.start(deadline).is_none());
    assert_eq!([started.is_set(), never.is_set()], [true, false]);
    assert!(
        !started.is_after(disconnected_at) && started.is_after(disconnected_at - Duration::from_millis(2))
    );
}

#[tokio::test(start_paused = true)]
async fn attempt_is_not_started_with_less_than_one_millisecond_left() {
    let deadline = Instant::now() + Duration::from_millis(300);
    let start = || {
        let conditions = SendConditions::default();
        let permit = SendPermit::new(ServingFlag::new(), conditions.clone());
        (permit.start(deadline).map(|stated| stated.remaining()), conditions.start.is_set())
    };
    assert_eq!(start(), (Some(Duration::from_millis(300)), true));
    tokio::time::advance(Duration::from_millis(299)).await;
    assert_eq!(start(), (Some(Duration::from_millis(1)), true));
    tokio::time::advance(Duration::from_micros(1)).await;
    assert_eq!(start(), (None, false));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(start(), (None, false));
}

#[tokio::test(start_paused = true)]
async fn excess_of_the_stated_time_is_the_last_byte_delay_beyond_the_reserve() {
    let permit = SendPermit::new(ServingFlag::new(), SendConditions::default());
    let started = Instant::now();
    let stated = permit.start(started + Duration::from_secs(1)).unwrap();
    assert_eq!(stated.excess(started), Duration::ZERO);
    assert_eq!(stated.excess(started + RESPONSE_RESERVE), Duration::ZERO);
    let last_byte = started + RESPONSE_RESERVE + Duration::from_millis(400);
    assert_eq!(stated.excess(last_byte), Duration::from_millis(400));
}

#[tokio::test(start_paused = true)]
async fn retry_starts_only_while_servers_discard_repeated_requests() {
    let until = Instant::now() + Duration::from_millis(100);
    let deadline = until + Duration::from_secs(1);
    let permit = || {
        let conditions = SendConditions { send_before: Some(until), ..SendConditions::default() };
        SendPermit::new(ServingFlag::new(), conditions)
    };
    tokio::time::advance(Duration::from_millis(99)).await;
    assert!(permit().start(deadline).is_some());
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(permit().start(deadline).is_none());
}
