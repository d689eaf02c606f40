//! The simulator's line protocol: reads a batch of lines, passes each event to the planner instance
//! that it is addressed to, and collects the instances' output lines as the reply.
use crate::error::{LineError, MessageError};
use crate::events::{dispatch, MachineLists};
use crate::instance_host::InstanceHost;
use basaltpitch::placement::Planner;
use basaltpitch_json_fields::{flatten, names, Fields};
use serde_json::Value;
use std::any::Any;
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The state of the connection to the simulator: all planner instances, and what they share.
#[derive(Default)]
pub struct Wire {
    /// The simulator's clock, in microseconds.
    now: i64,
    /// Planner instances, by number.
    planners: HashMap<u64, Planner<InstanceHost>>,
    lists: MachineLists,
    /// Output lines of the current batch.
    pub reply: String,
}

impl Wire {
    /// Handles one input line. Returns true if the line completes a batch, so that the reply is
    /// ready.
    ///
    /// # Errors
    /// When the line is not valid JSON, has no `type`, or contains a message that cannot be
    /// handled.
    pub fn read(&mut self, line: &str) -> Result<bool, LineError> {
        let message: Value = serde_json::from_str(line)?;
        let fields = Fields(&message);
        let kind = fields.string("type").map_err(|error| LineError::MessageType(error.into()))?;
        if kind == "flush" {
            return Ok(true);
        }
        match self.handle(&kind, &fields) {
            Ok(()) => Ok(false),
            Err(error) => Err(LineError::Message { kind, error }),
        }
    }

    /// Handles a message of any type other than `flush`.
    fn handle(&mut self, kind: &str, fields: &Fields) -> Result<(), MessageError> {
        match kind {
            "sync" => self.now = fields.integer("wallUs")?,
            "sheet" => {
                let entries = fields.get("entries", |value| value.as_array().cloned())?;
                self.lists.insert(fields.integer("sheet")?, entries);
            }
            _ => {
                let instance = fields.get("who", Value::as_u64)?;
                match kind {
                    "configure" => self.configure(instance, fields)?,
                    "crashNow" => {
                        self.planners.remove(&instance).map(drop).ok_or(MessageError::UnknownInstance)?;
                    }
                    _ => self.event(kind, instance, fields)?,
                }
            }
        }
        Ok(())
    }

    /// Starts a planner instance, replacing one with the same number.
    fn configure(&mut self, instance: u64, fields: &Fields) -> Result<(), MessageError> {
        let config = fields.get("config", |value| value.is_object().then(|| value.clone()))?;
        let settings = flatten(&config);
        let host = InstanceHost::new(instance, names(&config));
        let as_seed = |value: &Value| value.as_u64().or_else(|| value.as_i64().map(|signed| signed as u64));
        let seed = fields.get("salt", as_seed)?;
        let mut planner = Planner::new(host, seed, self.now, settings);
        self.reply.push_str(&std::mem::take(&mut planner.host.lines));
        self.planners.insert(instance, planner);
        Ok(())
    }

    /// Passes an event to its planner instance. A panic of the planner is reported to the
    /// simulator.
    fn event(&mut self, kind: &str, instance: u64, fields: &Fields) -> Result<(), MessageError> {
        let planner = self.planners.get_mut(&instance).ok_or(MessageError::UnknownInstance)?;
        let (now, lists) = (self.now, &self.lists);
        let handled = catch_unwind(AssertUnwindSafe(|| {
            planner.set_clock(now);
            dispatch(planner, lists, kind, fields)
        }));
        match handled {
            Ok(result) => result?,
            Err(cause) => planner.host.write_text("giveIn", &panic_text(cause.as_ref())),
        }
        self.reply.push_str(&std::mem::take(&mut planner.host.lines));
        Ok(())
    }
}

/// Returns the message of a panic.
fn panic_text(cause: &(dyn Any + Send)) -> String {
    let owned = cause.downcast_ref::<String>().cloned();
    let text = owned.or_else(|| cause.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    text.unwrap_or_else(|| "panic".into())
}
