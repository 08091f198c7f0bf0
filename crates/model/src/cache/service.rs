//! Service of the requests of a cache server: admission, processor sharing, cancellation and process pauses.

use std::cmp::Reverse;

use ordered_float::OrderedFloat;

use crate::Micros;
use crate::cache::{Cache, Completion, Job, JobId, Outcome, Rejection, Work};

/// Step, in microseconds, within which the growing capacity of a server that is warming up counts as constant.
const WARM_UP_STEP_US: Micros = 20_000;
/// Time, in microseconds, after which a fetch that has not been answered no longer counts as in flight.
const FETCH_TIMEOUT_US: Micros = 2_000_000;
/// Expired fetches are removed when there are more entries than this many per slot.
const FETCHES_PER_SLOT: usize = 16;
/// Remaining work, in microseconds of a standard core, below which a job has ended. Rounding can leave a rest that
/// is too small to advance the time.
const REMAINING_WORK_EPSILON_US: f64 = 1e-3;
/// Weight of past service times in the moving average, as a number of jobs.
const LATENCY_AVERAGE_JOBS: f64 = 16.0;

/// A job in service.
#[derive(Debug)]
pub(super) struct RunningJob {
    job: Job,
    started_at: Micros,
}

impl Cache {
    /// Admits a request to a slot or the queue. Its cost counts as offered load even if it is rejected.
    ///
    /// # Errors
    ///
    /// Rejects the request if the server is down or its queue is full.
    pub fn offer(
        &mut self,
        now: Micros,
        job: Job,
        completions: &mut Vec<Completion>,
    ) -> Result<JobId, Rejection> {
        self.advance(now, completions);
        if self.down {
            return Err(Rejection::Down);
        }
        self.add_offered_load(now, job.cost);
        if self.down {
            return Err(Rejection::Down);
        }
        self.last_id += 1;
        let id = JobId(self.last_id);
        if self.running.len() < self.kind.slots.get() {
            self.begin(now, id, job);
            self.advance(now, completions); // a job without cost ends at once
        } else if self.queue.len() < self.kind.queue.get() {
            self.queue.push_back((id, job));
        } else {
            return Err(Rejection::QueueFull);
        }
        Ok(id)
    }

    /// Counts the handshake of a new connection as offered load.
    pub fn connected(&mut self, now: Micros) {
        if !self.down {
            self.add_offered_load(now, self.kind.handshake.us() as f64);
        }
    }

    /// Counts work that reached the server. A server that is warming up collapses if the window holds too much.
    fn add_offered_load(&mut self, now: Micros, cost: f64) {
        let window = self.rules.overload_for.us() as f64;
        let offered = self.offered_load.add(now, cost);
        let limit = self.rules.overload_factor.get() * self.capacity(now) * window;
        if self.is_warming_up(now) && offered > limit {
            self.down = true;
            self.collapsed = true;
        }
    }

    fn begin(&mut self, now: Micros, id: JobId, job: Job) {
        let ends_at = self.attained_service + job.cost.max(0.0);
        self.ends.push(Reverse((OrderedFloat(ends_at), id)));
        self.running.insert(id, RunningJob { job, started_at: now });
    }

    /// Cancels a job and stops its work. Returns whether the job was in service or queued.
    pub fn cancel(&mut self, now: Micros, id: JobId, completions: &mut Vec<Completion>) -> bool {
        self.advance(now, completions);
        let found = self.running.remove(&id).is_some() || self.remove_queued(id);
        self.fill_slots(now, completions);
        found
    }

    fn remove_queued(&mut self, id: JobId) -> bool {
        let position = self.queue.iter().position(|(queued, _)| *queued == id);
        position.is_some_and(|position| self.queue.remove(position).is_some())
    }

    /// Moves queued jobs to free slots; those past their deadline expire.
    fn fill_slots(&mut self, now: Micros, completions: &mut Vec<Completion>) {
        while self.running.len() < self.kind.slots.get()
            && let Some((id, job)) = self.queue.pop_front()
        {
            if job.deadline <= now {
                completions.push(Completion { id, outcome: Outcome::Expired });
            } else {
                self.begin(now, id, job);
            }
        }
    }

    /// Time of the next event if no further call changes the server.
    pub fn next_event(&mut self) -> Option<Micros> {
        self.remove_cancelled();
        if self.running.is_empty() || self.down || self.slowdown <= 0.0 {
            return None;
        }
        if self.now < self.paused_until {
            return Some(self.paused_until);
        }
        let Reverse((OrderedFloat(end), _)) = *self.ends.peek()?;
        let rate = self.service_rate(self.now);
        let remaining = ((end - self.attained_service).max(0.0) / rate).ceil() as Micros;
        let step = if self.is_warming_up(self.now) { WARM_UP_STEP_US } else { Micros::MAX };
        Some((self.now + remaining.min(step)).min(self.next_pause.max(self.now)))
    }

    fn remove_cancelled(&mut self) {
        while self.ends.peek().is_some_and(|Reverse((_, id))| !self.running.contains_key(id)) {
            self.ends.pop();
        }
    }

    /// Advances the time and appends the jobs that end until then.
    pub fn advance(&mut self, now: Micros, completions: &mut Vec<Completion>) {
        while let Some(next) = self.next_event().filter(|&next| next <= now) {
            self.attained_service += self.service_rate(self.now) * next.saturating_sub(self.now) as f64;
            self.now = self.now.max(next);
            if self.now >= self.next_pause {
                let pause = self.random.exponential(self.kind.pause.us() as f64) as Micros;
                self.paused_until = self.now + pause;
                self.schedule_pause(self.paused_until);
            }
            self.complete_due(completions);
        }
        if now > self.now {
            self.attained_service += self.service_rate(self.now) * (now - self.now) as f64;
            self.now = now;
        }
        // A pause of an idle server delays no request.
        if self.running.is_empty() && self.next_pause <= self.now {
            self.schedule_pause(self.now);
        }
    }

    pub(super) fn schedule_pause(&mut self, now: Micros) {
        let mean = self.kind.pause_every.us();
        self.next_pause = match mean {
            0 => Micros::MAX,
            _ => now + self.random.exponential(mean as f64) as Micros + 1,
        };
    }

    /// Completes the jobs that have received all the service they need.
    fn complete_due(&mut self, completions: &mut Vec<Completion>) {
        while let Some(&Reverse((OrderedFloat(end), id))) = self.ends.peek() {
            if !self.running.contains_key(&id) {
                self.ends.pop();
                continue;
            }
            if end > self.attained_service + REMAINING_WORK_EPSILON_US {
                break;
            }
            self.ends.pop();
            if let Some(running) = self.running.remove(&id) {
                let outcome = self.complete(&running);
                completions.push(Completion { id, outcome });
            }
            self.fill_slots(self.now, completions);
        }
        if self.running.is_empty() {
            self.attained_service = 0.0; // keeps the precision over long runs
            self.ends.clear();
        }
    }

    fn complete(&mut self, running: &RunningJob) -> Outcome {
        let latency_ms = self.now.saturating_sub(running.started_at) as f64 / 1e3;
        self.latency_ms += (latency_ms - self.latency_ms) / LATENCY_AVERAGE_JOBS;
        if self.random.chance(self.kind.errors.get()) {
            return Outcome::Failed;
        }
        match &running.job.work {
            Work::Write(_) => Outcome::Miss,
            Work::Read(key) => self.look_up(key),
        }
    }

    fn look_up(&mut self, key: &str) -> Outcome {
        let now = self.now;
        if let Some(size) = self.store.get(now, key) {
            return Outcome::Hit(size);
        }
        let earlier = self.fetches.insert(key.to_owned(), now + FETCH_TIMEOUT_US);
        if self.fetches.len() > self.kind.slots.get() * FETCHES_PER_SLOT {
            self.fetches.retain(|_, expires_at| *expires_at > now);
        }
        match earlier {
            Some(expires_at) if expires_at > now => Outcome::Pending,
            _ => Outcome::Miss,
        }
    }
}
