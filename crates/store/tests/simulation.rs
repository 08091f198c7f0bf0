//! Clusters of three and five in virtual time; see `sim`.

mod sim;

use std::thread;
use std::time::Duration;

use sim::net::{Net, Wire, addr};
use sim::platter::Platter;
use sim::{Broken, run};
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::message::{Caller, Request, Response};
use stonefold_store::replica::{Options, Replica};
use stonefold_store::state::{AdminOverride, Change, Proposal};
use tokio::time::Instant;

/// Runs many seeds on all cores; tells the first that shows something wrong.
fn wrong(seeds: std::ops::Range<u64>, members: u64, broken: Broken) -> Option<(u64, String)> {
    let workers = thread::available_parallelism().map_or(2, |cores| cores.get()) as u64;
    thread::scope(|scope| {
        let runs: Vec<_> = (0..workers)
            .map(|worker| {
                let mine = seeds.clone().filter(move |seed| seed % workers == worker);
                scope.spawn(move || {
                    mine.map(|seed| (seed, run(seed, members, broken)))
                        .find_map(|(seed, report)| report.verdict.err().map(|what| (seed, what)))
                })
            })
            .collect();
        runs.into_iter().filter_map(|run| run.join().unwrap()).min()
    })
}

#[test]
fn nothing_answered_for_is_lost_and_nothing_goes_back() {
    assert_eq!(wrong(0..150, 3, Broken::Nothing), None);
    assert_eq!(wrong(1_000..1_050, 5, Broken::Nothing), None);
}

#[test]
fn the_checker_finds_what_is_not_synced_and_reads_without_a_quorum() {
    for broken in [Broken::Sync, Broken::Quorum] {
        assert!(wrong(0..40, 3, broken).is_some(), "{broken:?} shows in none of 40 seeds");
    }
}

#[test]
fn without_a_quorum_the_log_grows_to_a_bound_and_no_further() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(async {
        let net = Net::default();
        for member in [1, 2] {
            let disk = Disk::with_backend(Platter::default(), Identity { cluster: 1, member }).unwrap();
            let wire = Wire { net: net.clone(), me: member, life: member };
            let replica = Replica::start(disk, Options::new(addr(member)), wire).await.unwrap();
            net.links().running.insert(member, (member, replica));
        }
        let first = net.replica(1).unwrap();
        first.bootstrap().await.unwrap();
        let added = first.answer(Caller::Client, Request::AddMember { member: 2, addr: addr(2) }).await;
        assert!(matches!(added, Response::MembersChanged(Ok(()))), "{added:?}");
        net.links().parted.insert((1, 2));
        let mut refused = 0;
        for client in 0..600 {
            let change = Change::Override {
                server: "s-1".into(),
                admin_override: AdminOverride { out_of_service: true, since_ms: 0 },
            };
            let proposal = Proposal { client, sequence: 1, change };
            refused += u32::from(
                first.propose(proposal, Instant::now() + Duration::from_millis(100)).await.is_err(),
            );
        }
        let status = first.status();
        assert!(
            refused == 600 && (100..=256).contains(&(status.last_index - status.applied_index)),
            "{status:?}"
        );
    });
}
