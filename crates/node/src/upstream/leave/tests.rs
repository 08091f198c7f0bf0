use std::time::Duration;

use super::*;

#[tokio::test(start_paused = true)]
async fn nothing_begins_for_a_client_that_has_gone_and_what_would_is_told_from_what_began_before() {
    let client = Presence::default();
    let attempt = || {
        let begun = Begun::default();
        (Leave::new(Standing::new(), client.clone(), begun.clone()), begun)
    };
    let ((before, began), (after, never)) = (attempt(), attempt());
    assert!(before.begin());
    tokio::time::advance(Duration::from_millis(1)).await;
    client.end();
    let ended_at = client.ended_at().unwrap();
    tokio::time::advance(Duration::from_millis(1)).await;
    client.end(); // again, as by a session that ends after its client
    assert_eq!(client.ended_at(), Some(ended_at));
    assert!(!after.begin());
    assert_eq!([began.has(), never.has()], [true, false]);
    assert!(!began.after(ended_at) && began.after(ended_at - Duration::from_millis(2)));
}
