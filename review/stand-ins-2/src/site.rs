//! A small site: one planner, some machines of one hall and their coordinator.
use crate::coordinator::Coordinator;
use crate::planner::{free_address, Planner};
use crate::record::Record;
use crate::settings::{Ask, Deployment};
use std::net::SocketAddr;
use std::path::Path;

pub struct Site {
    pub planner: Planner,
    pub listen: SocketAddr,
    pub coordinator: Coordinator,
}

impl Site {
    /// Starts a planner with these entries of the list.
    pub fn start(record: &Record, folder: &Path, hosts: &[String]) -> Site {
        let coordinator = Coordinator::start(record, hosts);
        let listen = free_address();
        let configuration = Deployment {
            name: "planner-a",
            listen: listen.to_string(),
            coordinator: coordinator.address.to_string(),
            known: coordinator.known(),
            group: "zone",
            yes_at: "accepted",
            zone: "hall-north",
            discovery: "ask",
        };
        let log = std::env::var("PLANNER_LOG").ok().map(|_| folder.join("planner.log"));
        let planner =
            Planner::start(record, "planner-a", listen, &configuration.configuration(), log.as_ref());
        Site { planner, listen, coordinator }
    }
}

/// Returns an ordinary small task.
pub fn small_task<'a>(id: &'a str, key: &'a str) -> Ask<'a> {
    Ask {
        id,
        class: "web-copy",
        left_ms: 5_000,
        tenant: "shop",
        key,
        idem: None,
        cores: 0.5,
        memory: 1.0,
        at: None,
    }
}
