//! Connections that take turns, in virtual time.

use tokio::time::advance;

use super::*;

/// Lets a connection send unserved commands whenever it may, for this long. Returns how many each one had replies to.
async fn replies_of(connections: usize, duration: Duration) -> Vec<usize> {
    let schedule = TurnSchedule::new();
    let mut accounts: Vec<TurnAccount> = (0..connections).map(|_| TurnAccount::default()).collect();
    let mut replies = vec![0; connections];
    let start = Instant::now();
    while start.elapsed() < duration {
        for (account, replies) in accounts.iter_mut().zip(&mut replies) {
            account.update(&schedule);
            if account.may_start() {
                account.charge(1);
                *replies += 1;
            }
        }
        advance(Duration::from_micros(100)).await;
    }
    replies
}

/// Guards against clients that cost more the more there are of them, or that leave no turn to others.
#[tokio::test(start_paused = true)]
async fn turns_bound_all_unserved_commands_and_go_round() {
    let duration = Duration::from_secs(1);
    let turns = duration.as_micros() as usize / TURN_INTERVAL.as_micros() as usize;
    for connections in [1, 7, 200] {
        let replies = replies_of(connections, duration).await;
        let (least, most) = (replies.iter().min().unwrap(), replies.iter().max().unwrap());
        let bound = (turns + 1 + connections) * COMMANDS_PER_TURN;
        assert!(replies.iter().sum::<usize>() <= bound, "{connections} connections: {replies:?}");
        assert!(most - least <= COMMANDS_PER_TURN, "{connections} connections: {replies:?}");
    }
}

/// Guards against a delay of clients that do not flood the node.
#[tokio::test(start_paused = true)]
async fn first_commands_and_rare_ones_wait_for_no_turn() {
    let (schedule, mut account) = (TurnSchedule::new(), TurnAccount::default());
    for _ in 0..10 * COMMANDS_PER_TURN {
        account.update(&schedule);
        assert!(account.may_start());
        account.charge(1);
        advance(TURN_INTERVAL).await;
    }
}

/// Guards against replies that were due behind a slow one and then count more than once, or not at all.
#[tokio::test(start_paused = true)]
async fn many_replies_at_once_cost_as_many_turns() {
    const TURNS: usize = 5;
    let (schedule, mut account) = (TurnSchedule::new(), TurnAccount::default());
    let start = Instant::now();
    account.charge(TURNS * COMMANDS_PER_TURN);
    while !account.may_start() {
        account.update(&schedule);
        advance(Duration::from_micros(100)).await;
    }
    assert!(start.elapsed() >= TURN_INTERVAL * (TURNS as u32 - 1), "{:?}", start.elapsed());
}
