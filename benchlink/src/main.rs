//! Adapter between the simulator and any number of planners. Reads JSON lines from stdin, maps ids
//! to indices, calls the planner's method for each event, and writes the planner's actions to
//! stdout. All decisions are made by the placement module.
mod error;
mod events;
mod instance_host;
mod wire;

use error::LineError;
use std::io::{BufRead, Write};
use wire::Wire;

fn main() {
    // The message of a panic is sent to the simulator, so the default hook must not print it.
    std::panic::set_hook(Box::new(|_| {}));
    let mut wire = Wire::default();
    let mut out = std::io::stdout().lock();
    for (index, line) in std::io::stdin().lock().lines().enumerate() {
        let complete = line.map_err(LineError::from).and_then(|text| {
            if text.trim().is_empty() {
                return Ok(false);
            }
            wire.read(&text)
        });
        match complete {
            Ok(false) => {}
            Ok(true) => {
                wire.reply.push_str("{\"type\":\"finished\"}\n");
                if out.write_all(wire.reply.as_bytes()).and_then(|()| out.flush()).is_err() {
                    std::process::exit(1);
                }
                wire.reply.clear();
            }
            Err(error) => {
                eprintln!("line {}: {error}", index + 1);
                std::process::exit(2);
            }
        }
    }
}
