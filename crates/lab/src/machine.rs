//! Limits and usage counters of the machine, read from Linux's `/proc`; a counter that can't be read is 0,
//! and a descriptor limit that can't be read is 1024.

use std::fs;

/// Size of a memory page, in bytes, on every Linux that the node is built for.
const PAGE_BYTES: u64 = 4096;
/// Clock ticks per second, on every Linux that the node is built for.
const TICKS_PER_S: f64 = 100.0;

/// Number of descriptors that this process may have open: its soft limit.
pub fn descriptor_limit() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|line| line.starts_with("Max open files")).unwrap_or_default();
    line.split_whitespace().nth(3).and_then(|text| text.parse().ok()).unwrap_or(1024)
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Processor time that a task has used, in nanoseconds. `task` is a path below `/proc`: `self`, a process id,
/// `thread-self`, or the path of a thread.
pub fn task_processor_ns(task: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{task}/schedstat")).unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Processor time of all threads of a process, in seconds.
pub fn process_processor_s(id: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let names = tasks.filter_map(|entry| entry.file_name().into_string().ok());
    names.map(|task| task_processor_ns(&format!("{id}/task/{task}"))).sum::<u64>() as f64 / 1e9
}

/// Processor time of this process's threads whose names begin with `name_prefix`, in seconds.
pub fn threads_processor_s(name_prefix: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let processor_ns = |entry: fs::DirEntry| {
        let id = entry.file_name().into_string().ok()?;
        let thread_name = fs::read_to_string(entry.path().join("comm")).ok()?;
        thread_name.starts_with(name_prefix).then(|| task_processor_ns(&format!("self/task/{id}")))
    };
    tasks.filter_map(processor_ns).sum::<u64>() as f64 / 1e9
}

/// Processor time of this process and of its children that have ended, in seconds.
pub fn own_processor_s() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name is in parentheses and may contain any character; the fields after it are numbers.
    let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
    fields.skip(11).take(4).filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_S
}

/// Processor time during which the machine was not idle, summed over its cores, in seconds.
pub fn busy_processor_s() -> f64 {
    let text = fs::read_to_string("/proc/stat").unwrap_or_default();
    let fields: Vec<f64> =
        text.lines().next().unwrap_or_default().split_whitespace().skip(1).flat_map(str::parse).collect();
    // The fields are user, nice, system, idle, iowait, irq, softirq, steal.
    [0, 1, 2, 5, 6].iter().filter_map(|&field| fields.get(field)).sum::<f64>() / TICKS_PER_S
}

/// Traffic that the loopback device has carried since the machine started, headers included and whichever process sent
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoopbackTraffic {
    /// Bytes.
    pub bytes: u64,
    /// Packets.
    pub packets: u64,
}

impl LoopbackTraffic {
    /// The traffic up to now.
    pub fn now() -> LoopbackTraffic {
        let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
        let line = text.lines().find_map(|line| line.trim_start().strip_prefix("lo:")).unwrap_or_default();
        let mut fields = line.split_whitespace().map(|field| field.parse().unwrap_or(0));
        LoopbackTraffic { bytes: fields.next().unwrap_or(0), packets: fields.next().unwrap_or(0) }
    }

    /// Bytes and packets per second since an earlier reading that was taken `seconds` ago.
    pub fn rates_since(self, earlier: LoopbackTraffic, seconds: f64) -> (f64, f64) {
        let rate = |now: u64, earlier: u64| now.saturating_sub(earlier) as f64 / seconds;
        (rate(self.bytes, earlier.bytes), rate(self.packets, earlier.packets))
    }
}
