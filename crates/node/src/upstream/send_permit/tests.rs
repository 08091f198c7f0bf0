use super::*;

#[tokio::test(start_paused = true)]
async fn nothing_starts_for_a_disconnected_client_and_earlier_starts_are_known() {
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
    client.mark_disconnected(); // again, as by a session that ends after its client
    assert_eq!(client.disconnected_at(), Some(disconnected_at));
    assert!(after.start(deadline).is_none());
    assert_eq!([started.is_set(), never.is_set()], [true, false]);
    assert!(
        !started.is_after(disconnected_at) && started.is_after(disconnected_at - Duration::from_millis(2))
    );
}

#[tokio::test(start_paused = true)]
async fn nothing_starts_once_less_time_is_left_than_can_be_stated() {
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
async fn stated_time_exceeds_the_clients_by_the_delay_of_the_last_byte() {
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
