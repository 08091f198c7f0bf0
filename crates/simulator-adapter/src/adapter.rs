//! The loop that reads batches of events and writes the actions of the instances.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use stonefold_balancer::settings_document::micros_from_millis;
use stonefold_balancer::{Action, AttemptId, Event, Micros, RequestId, TimerToken};

use crate::error::{AdapterError, AdapterErrorKind};
use crate::instance::{self, Instance};
use crate::messages::{BatchStart, Input, InstanceStarted, Output, unknown_name};

/// Runs any number of instances: reads batches from `input` and writes the answer to each to `output`, until `input`
/// ends. Skipped events are noted in `notes`.
///
/// # Errors
///
/// Fails if a reader or writer fails, or if the input is malformed, ends within a batch or names an unknown instance.
/// Nothing is written for the batch in progress.
pub fn run(
    mut input: impl BufRead,
    mut output: impl Write,
    mut notes: impl Write,
) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut text = String::new();
    let mut line = 0;
    loop {
        line += 1;
        let at_line = |kind: AdapterErrorKind| AdapterError { line, kind };
        text.clear();
        if input.read_line(&mut text).map_err(|error| at_line(error.into()))? == 0 {
            return adapter.finish().map_err(at_line);
        }
        if text.trim().is_empty() {
            continue;
        }
        match serde_json::from_str::<Input>(&text) {
            Ok(message) => adapter.handle(message, &mut output).map_err(at_line)?,
            Err(error) => {
                let Some(name) = unknown_name(&text) else { return Err(at_line(error.into())) };
                writeln!(notes, "input line {line}: skipped unknown event {name:?}")
                    .map_err(|error| at_line(error.into()))?;
            }
        }
    }
}

/// A batch in progress.
#[derive(Clone, Copy)]
struct Batch {
    number: u64,
    /// The time of all events in the batch.
    now: Micros,
}

/// An action or a panic of an instance in the batch in progress.
struct InstanceOutput {
    instance: u64,
    result: InstanceResult,
}

enum InstanceResult {
    Action(Action),
    /// The balancer panicked with this message. The simulator ends the run when it receives it.
    Panicked(String),
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Instance>,
    batch: Option<Batch>,
    /// The outputs of the instances in the batch in progress, in the order in which they are written.
    outputs: Vec<InstanceOutput>,
    /// A reused buffer for the actions of one event; empty between events.
    actions: Vec<Action>,
    /// A reused buffer for the output of one batch.
    bytes: Vec<u8>,
}

impl Adapter {
    /// Handles the end of the input.
    fn finish(&self) -> Result<(), AdapterErrorKind> {
        match self.batch {
            Some(batch) => Err(AdapterErrorKind::EndWithinBatch(batch.number)),
            None => Ok(()),
        }
    }

    fn handle(&mut self, message: Input, output: &mut impl Write) -> Result<(), AdapterErrorKind> {
        if let Input::BatchStart(start) = message {
            return self.start_batch(start);
        }
        let batch = self.batch.ok_or(AdapterErrorKind::OutsideBatch)?;
        match message {
            Input::BatchStart(_) | Input::HealthChecked(_) | Input::Gossip(_) => Ok(()),
            Input::BatchEnd(_) => self.end_batch(batch, output),
            Input::InstanceStarted(started) => self.start_instance(*started, batch.now),
            Input::InstanceKilled(killed) => self.remove_instance(killed.instance),
            Input::EndpointList(list) => {
                let id = list.instance;
                let event = self.instance(id)?.endpoint_list(list)?;
                self.report(id, event, batch.now)
            }
            Input::RequestReceived(request) => {
                let id = request.instance;
                let event = self.instance(id)?.request(request);
                self.report(id, event, batch.now)
            }
            Input::ResponseStarted(started) => {
                let event =
                    Event::ResponseStarted(AttemptId::new(RequestId(started.request), started.attempt));
                self.report(started.instance, event, batch.now)
            }
            Input::AttemptEnded(ended) => {
                let id = ended.instance;
                let event = instance::attempt_ended(ended)?;
                self.report(id, event, batch.now)
            }
            Input::ClientDisconnected(client) => {
                let event = Event::ClientDisconnected(RequestId(client.request));
                self.report(client.instance, event, batch.now)
            }
            Input::TimerExpired(timer) => match timer.token.parse() {
                Ok(token) => self.report(timer.instance, Event::Timer(TimerToken(token)), batch.now),
                Err(_) => Ok(()), // not set by this adapter
            },
        }
    }

    fn start_batch(&mut self, start: BatchStart) -> Result<(), AdapterErrorKind> {
        if self.batch.is_some() {
            return Err(AdapterErrorKind::NestedBatch);
        }
        self.batch = Some(Batch { number: start.number, now: micros_from_millis(start.time) });
        Ok(())
    }

    /// Writes the answer to a batch: the outputs of the instances, and its end.
    fn end_batch(&mut self, batch: Batch, output: &mut impl Write) -> Result<(), AdapterErrorKind> {
        self.batch = None;
        self.bytes.clear();
        for InstanceOutput { instance, result } in self.outputs.drain(..) {
            let line = match result {
                InstanceResult::Action(action) => instance::output(instance, action),
                InstanceResult::Panicked(message) => Output::Panicked { instance, message },
            };
            write_line(&mut self.bytes, &line)?;
        }
        write_line(&mut self.bytes, &Output::BatchEnd { number: batch.number })?;
        output.write_all(&self.bytes)?;
        output.flush()?;
        Ok(())
    }

    fn start_instance(&mut self, started: InstanceStarted, now: Micros) -> Result<(), AdapterErrorKind> {
        let id = started.instance;
        self.instances.insert(id, Instance::new(started, now)?);
        self.drop_outputs(id);
        Ok(())
    }

    fn remove_instance(&mut self, id: u64) -> Result<(), AdapterErrorKind> {
        self.instances.remove(&id).ok_or(AdapterErrorKind::UnknownInstance(id))?;
        self.drop_outputs(id);
        Ok(())
    }

    /// Drops the outputs of an instance that was killed or started again in the batch in progress.
    fn drop_outputs(&mut self, id: u64) {
        self.outputs.retain(|output| output.instance != id);
    }

    fn instance(&mut self, id: u64) -> Result<&mut Instance, AdapterErrorKind> {
        self.instances.get_mut(&id).ok_or(AdapterErrorKind::UnknownInstance(id))
    }

    /// Reports an event to an instance, and collects its actions.
    fn report(&mut self, id: u64, event: Event, now: Micros) -> Result<(), AdapterErrorKind> {
        let instance = self.instances.get_mut(&id).ok_or(AdapterErrorKind::UnknownInstance(id))?;
        let panic = instance.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.outputs.push(InstanceOutput { instance: id, result: InstanceResult::Action(action) });
        }
        if let Some(message) = panic {
            self.outputs.push(InstanceOutput { instance: id, result: InstanceResult::Panicked(message) });
        }
        Ok(())
    }
}

fn write_line(bytes: &mut Vec<u8>, line: &Output) -> Result<(), AdapterErrorKind> {
    serde_json::to_writer(&mut *bytes, line)?;
    bytes.push(b'\n');
    Ok(())
}
