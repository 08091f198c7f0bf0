//! What the machine allows and counts, as Linux tells it in `/proc`; what can't be read counts as 0.

use std::fs;

/// Bytes of a page, and clock ticks of a second, on every Linux that the node is built for.
const PAGE: u64 = 4096;
const TICKS: f64 = 100.0;

/// Descriptors that a process may hold: its soft limit.
pub fn descriptor_limit() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|line| line.starts_with("Max open files")).unwrap_or_default();
    line.split_whitespace().nth(3).and_then(|text| text.parse().ok()).unwrap_or(1024)
}

/// Memory of this process that is in use, in bytes.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// Processor time that a task has used, in nanoseconds: `self`, a process's number, or `thread-self`.
pub fn on_processor(task: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{task}/schedstat")).unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Processor time of all of a process's threads, in seconds.
pub fn process_on_processor(id: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let names = tasks.filter_map(|entry| entry.file_name().into_string().ok());
    names.map(|task| on_processor(&format!("{id}/task/{task}"))).sum::<u64>() as f64 / 1e9
}

/// Processor time of this process's threads whose name begins so, in seconds.
pub fn threads_on_processor(name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let of = |entry: fs::DirEntry| {
        let id = entry.file_name().into_string().ok()?;
        let called = fs::read_to_string(entry.path().join("comm")).ok()?;
        called.starts_with(name).then(|| on_processor(&format!("self/task/{id}")))
    };
    tasks.filter_map(of).sum::<u64>() as f64 / 1e9
}

/// Processor time of this process and of its children that have ended, in seconds.
pub fn own_time() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name stands in brackets, and may hold anything; what follows are numbers.
    let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
    fields.skip(11).take(4).filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS
}

/// Processor time of the whole machine that was not idle, in seconds.
pub fn busy_time() -> f64 {
    let text = fs::read_to_string("/proc/stat").unwrap_or_default();
    let fields: Vec<f64> =
        text.lines().next().unwrap_or_default().split_whitespace().skip(1).flat_map(str::parse).collect();
    // user, nice, system, idle, iowait, irq, softirq, steal
    [0, 1, 2, 5, 6].iter().filter_map(|&field| fields.get(field)).sum::<f64>() / TICKS
}

/// What the loopback device has carried, headers included: everything of this machine, whoever sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Bytes.
    pub bytes: u64,
    /// Packets.
    pub packets: u64,
}

impl Carried {
    /// By now.
    pub fn now() -> Carried {
        let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
        let line = text.lines().find_map(|line| line.trim_start().strip_prefix("lo:")).unwrap_or_default();
        let mut fields = line.split_whitespace().map(|field| field.parse().unwrap_or(0));
        Carried { bytes: fields.next().unwrap_or(0), packets: fields.next().unwrap_or(0) }
    }

    /// Since then, a second.
    pub fn rates_since(self, then: Carried, seconds: f64) -> (f64, f64) {
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds;
        (rate(self.bytes, then.bytes), rate(self.packets, then.packets))
    }
}
