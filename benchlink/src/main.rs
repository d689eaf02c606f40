//! Speaks the bench's wire for any number of planners: decodes each line, maps ids to small indices,
//! calls the planner's method for that event, and writes its calls back. It decides nothing.
mod error;
mod events;
mod instance_host;
mod wire;

use error::LineError;
use std::io::{BufRead, Write};
use wire::Wire;

fn main() {
    // The text of a panic goes onto the wire.
    std::panic::set_hook(Box::new(|_| {}));
    let mut wire = Wire::default();
    let mut out = std::io::stdout().lock();
    for (count, line) in std::io::stdin().lock().lines().enumerate() {
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
                eprintln!("line {}: {error}", count + 1);
                std::process::exit(2);
            }
        }
    }
}
