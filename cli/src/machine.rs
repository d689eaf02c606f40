//! `basaltpitch machine`: runs simulated machines of one kind and zone, and a registry that lists
//! them.
use crate::{load, Failure};
use basaltpitch_testbed::drill::start_machines;
use basaltpitch_testbed::machine::MachineCommand;
use basaltpitch_testbed::registry::{self, RegistryDelays};
use basaltpitch_testbed::settings;
use std::path::PathBuf;
use std::rc::Rc;

/// The arguments of `basaltpitch machine`.
#[derive(clap::Args)]
pub struct Machine {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Kind of the machines; by default the installation's first kind
    #[arg(long)]
    kind: Option<String>,
    /// Zone of the machines; by default the installation's first zone
    #[arg(long)]
    zone: Option<String>,
    /// Number of machines
    #[arg(long, default_value_t = 1)]
    count: usize,
}

impl Machine {
    /// Runs the machines and their registry until SIGINT, and prints the address of each.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let installation = load(&self.files)?;
        let name_or_first = |list: &str, flag: &str, requested: Option<String>| {
            let known = installation.names(list);
            let name = requested.unwrap_or_else(|| known[0].clone());
            if known.contains(&name) {
                return Ok(name);
            }
            Err(Failure::InvalidInput(format!(
                "{flag}: found {name:?}; expected one of {}",
                known.join(", ")
            )))
        };
        let (kind, zone) =
            (name_or_first("kinds", "--kind", self.kind)?, name_or_first("zones", "--zone", self.zone)?);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        let failed = |e: std::io::Error| Failure::Failed(e.to_string());
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let context = settings::context(&installation, Rc::default());
            let machines = start_machines(&installation.all, &context, &kind, &zone, self.count)
                .await
                .map_err(failed)?;
            let delays = RegistryDelays { notice_us: 0, silent_notice_us: 2_000_000, period_us: 200_000 };
            let registry_server = registry::start(context, machines.clone(), delays).await.map_err(failed)?;
            for machine in &machines {
                if json {
                    println!(
                        "{}",
                        serde_json::json!({"machine": machine.name, "listening": machine.address})
                    );
                } else {
                    println!("{} listens on {}", machine.name, machine.address);
                }
            }
            if json {
                println!("{}", serde_json::json!({"register": registry_server.address}));
            } else {
                println!("their register listens on {}", registry_server.address);
            }
            let _ = tokio::signal::ctrl_c().await;
            machines.iter().for_each(|machine| machine.send(MachineCommand::Down));
            Ok(())
        })
    }
}
