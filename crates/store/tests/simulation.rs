//! Simulations of clusters with three and five members in virtual time; see `sim`.

mod sim;

use std::thread;
use std::time::Duration;

use sim::memory_disk::MemoryDisk;
use sim::net::{Network, SimulatedTransport, addr};
use sim::{InjectedBug, run};
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::message::{Caller, Request, Response};
use stonefold_store::replica::{Replica, ReplicaOptions};
use stonefold_store::state::{AdminOverride, Change, Proposal};
use tokio::time::Instant;

/// Runs many seeds on all cores. Returns the first seed that violates an invariant, and the violation.
fn first_failure(seeds: std::ops::Range<u64>, members: u64, bug: InjectedBug) -> Option<(u64, String)> {
    let workers = thread::available_parallelism().map_or(2, |cores| cores.get()) as u64;
    thread::scope(|scope| {
        let runs: Vec<_> = (0..workers)
            .map(|worker| {
                let worker_seeds = seeds.clone().filter(move |seed| seed % workers == worker);
                scope.spawn(move || {
                    worker_seeds
                        .map(|seed| (seed, run(seed, members, bug)))
                        .find_map(|(seed, report)| report.verdict.err().map(|violation| (seed, violation)))
                })
            })
            .collect();
        runs.into_iter().filter_map(|run| run.join().unwrap()).min()
    })
}

#[test]
fn acknowledged_writes_survive_and_state_never_goes_back() {
    assert_eq!(first_failure(0..150, 3, InjectedBug::None), None);
    assert_eq!(first_failure(1_000..1_050, 5, InjectedBug::None), None);
}

#[test]
fn the_checker_detects_missing_syncs_and_reads_without_a_quorum() {
    for bug in [InjectedBug::MissingSync, InjectedBug::UnconfirmedReads] {
        assert!(first_failure(0..40, 3, bug).is_some(), "{bug:?} is detected with none of 40 seeds");
    }
}

#[test]
fn without_a_quorum_the_log_stays_bounded() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.unwrap().block_on(async {
        let net = Network::default();
        for member in [1, 2] {
            let disk = Disk::with_backend(MemoryDisk::default(), Identity { cluster: 1, member }).unwrap();
            let transport = SimulatedTransport { net: net.clone(), me: member, incarnation: member };
            let replica = Replica::start(disk, ReplicaOptions::new(addr(member)), transport).await.unwrap();
            net.links().running.insert(member, (member, replica));
        }
        let leader = net.replica(1).unwrap();
        leader.bootstrap().await.unwrap();
        let response = leader.answer(Caller::Client, Request::AddMember { member: 2, addr: addr(2) }).await;
        assert!(matches!(response, Response::MembersChanged(Ok(()))), "{response:?}");
        net.links().partitioned.insert((1, 2));
        let mut failed = 0;
        for client in 0..600 {
            let change = Change::Override {
                server: "s-1".into(),
                admin_override: AdminOverride { disabled: true, since_ms: 0 },
            };
            let proposal = Proposal { client, sequence: 1, change };
            failed += u32::from(
                leader.propose(proposal, Instant::now() + Duration::from_millis(100)).await.is_err(),
            );
        }
        let status = leader.status();
        assert!(
            failed == 600 && (100..=256).contains(&(status.last_index - status.applied_index)),
            "{status:?}"
        );
    });
}
