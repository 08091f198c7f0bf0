//! Injects the faults of a schedule into a running fleet.

use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use stonefold_faults::Fault as CallFault;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::fleet::{Fleet, Node, TERMINATION_GRACE};
use crate::process::{Process, SignalHandle};
use crate::schedule::{Action, Event, NodeSignal, TimedSignal};

/// Time after SIGTERM for which the load balancer in front of the nodes still opens connections to a node.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// Delay between the kill of a process and the start of the next.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Time limit for a killed process to exit.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);

impl Fleet {
    /// Injects each event at its time and waits until all of them are over.
    pub(crate) async fn inject(self: Arc<Self>, events: Vec<Event>) {
        let start = Instant::now();
        let mut running = JoinSet::new();
        for event in events {
            sleep_until(start + event.at).await;
            let fleet = self.clone();
            running.spawn(async move { fleet.inject_event(&fleet.nodes[event.node], event.action).await });
        }
        while running.join_next().await.is_some() {}
    }

    async fn inject_event(&self, node: &Node, action: Action) {
        match action {
            Action::Stall(lasts) => stall(node, lasts).await,
            Action::Signals(series) => self.send_signals(node, series).await,
            Action::Kill => self.kill(node).await,
            Action::Calls { fault, rate, lasts } => fail_calls(node, fault, rate, lasts).await,
            Action::ClockStep(milliseconds) => _ = node.setup.fault_plan.step_clock(milliseconds),
            // The emulator draws the servers that are affected; a fault that applies to none has no effect.
            Action::Site(fault) => _ = self.emulator.fault(&fault),
        }
    }

    /// Sends a series of signals; the node is restarted if one of them is SIGTERM.
    async fn send_signals(&self, node: &Node, series: Vec<TimedSignal>) {
        match series.iter().find(|signal| signal.order == NodeSignal::Terminate) {
            Some(termination) => self.terminate(node, &series, termination.after).await,
            None => {
                let Some(signals) = node.process.lock().await.as_ref().map(Process::signals) else { return };
                send_series(&signals, &series).await;
            }
        }
    }

    /// Restarts a node as the platform does. The first SIGTERM comes `after` the start of the series; new connections
    /// stop a moment later, and SIGKILL follows only after the grace period.
    async fn terminate(&self, node: &Node, series: &[TimedSignal], after: Duration) {
        let mut process = node.process.lock().await;
        let Some(mut exiting) = process.take() else { return };
        self.collect_findings(node, &mut exiting).await;
        let signals = exiting.signals();
        let exit = async {
            sleep(after).await;
            self.load.node_terminated(node.number);
            sleep(DEREGISTRATION_DELAY).await;
            self.load.close_node(node.number);
            exiting.wait_exit(TERMINATION_GRACE - DEREGISTRATION_DELAY).await
        };
        // Signals after the exit have no effect.
        let (status, ()) = tokio::join!(exit, send_series(&signals, series));
        match status {
            Some(status) if status.success() => {}
            Some(status) => self.record_crash(node, &exiting, status).await,
            None => self.kill_process(node, &mut exiting).await,
        }
        let _ = self.start_node(node, &mut process).await; // on failure the node stays down
    }

    async fn kill(&self, node: &Node) {
        let mut process = node.process.lock().await;
        let Some(mut exiting) = process.take() else { return };
        self.collect_findings(node, &mut exiting).await;
        self.kill_process(node, &mut exiting).await;
        sleep(RESTART_DELAY).await;
        let _ = self.start_node(node, &mut process).await; // on failure the node stays down
    }

    async fn kill_process(&self, node: &Node, process: &mut Process) {
        self.load.node_killed(node.number);
        process.signals().send(Signal::KILL);
        let _ = process.wait_exit(KILL_TIMEOUT).await; // dropping the process kills and reaps it in any case
    }
}

/// Sends each signal of a series at its time.
async fn send_series(signals: &SignalHandle, series: &[TimedSignal]) {
    let start = Instant::now();
    for TimedSignal { after, order } in series {
        sleep_until(start + *after).await;
        signals.send(match order {
            NodeSignal::Reload => Signal::HUP,
            NodeSignal::Terminate => Signal::TERM,
        });
    }
}

/// Pauses a process. The lock is released first, so that the process may be terminated while it is paused.
async fn stall(node: &Node, duration: Duration) {
    let Some(signals) = node.process.lock().await.as_ref().map(Process::signals) else { return };
    signals.send(Signal::STOP);
    sleep(duration).await;
    signals.send(Signal::CONT);
}

async fn fail_calls(node: &Node, fault: CallFault, rate: f64, duration: Duration) {
    let _ = node.setup.fault_plan.set(fault, rate); // the plan's file is in our own directory
    sleep(duration).await;
    let _ = node.setup.fault_plan.set(fault, 0.0);
}
