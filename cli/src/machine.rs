//! `basaltpitch machine`: one stand-in machine, with a register of its own that lists it.
use crate::{load, Failure};
use basaltpitch_testbed::drill::start_machines;
use basaltpitch_testbed::machine::MachineCommand;
use basaltpitch_testbed::registry::{self, RegistryDelays};
use basaltpitch_testbed::settings;
use std::path::PathBuf;
use std::rc::Rc;

#[derive(clap::Args)]
pub struct Machine {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Its kind; by default the first of the installation
    #[arg(long)]
    kind: Option<String>,
    /// The zone that it is in; by default the first of the installation
    #[arg(long)]
    zone: Option<String>,
    /// How many such machines
    #[arg(long, default_value_t = 1)]
    count: usize,
}

impl Machine {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let site = load(&self.files)?;
        let one_of = |list: &str, flag: &str, given: Option<String>| {
            let known = site.names(list);
            let name = given.unwrap_or_else(|| known[0].clone());
            if known.contains(&name) {
                return Ok(name);
            }
            Err(Failure::InvalidInput(format!(
                "{flag}: found {name:?}; expected one of {}",
                known.join(", ")
            )))
        };
        let (kind, zone) = (one_of("kinds", "--kind", self.kind)?, one_of("zones", "--zone", self.zone)?);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        let failed = |e: std::io::Error| Failure::Failed(e.to_string());
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let context = settings::context(&site, Rc::default());
            let fleet =
                start_machines(&site.all, &context, &kind, &zone, self.count).await.map_err(failed)?;
            let late = RegistryDelays { notice_us: 0, silent_notice_us: 2_000_000, period_us: 200_000 };
            let register = registry::start(context, fleet.clone(), late).await.map_err(failed)?;
            for m in &fleet {
                if json {
                    println!("{}", serde_json::json!({"machine": m.name, "listening": m.address}));
                } else {
                    println!("{} listens on {}", m.name, m.address);
                }
            }
            if json {
                println!("{}", serde_json::json!({"register": register.address}));
            } else {
                println!("their register listens on {}", register.address);
            }
            let _ = tokio::signal::ctrl_c().await;
            fleet.iter().for_each(|m| m.send(MachineCommand::Down));
            Ok(())
        })
    }
}
