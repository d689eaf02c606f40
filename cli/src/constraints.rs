//! `basaltpitch constraints`: what clauses say, what they would break, and clauses taken in service.
use crate::ask::{print_value, query, value_text, PlannerConnection};
use crate::{load, named_constraints, Failure};
use basaltpitch_agent::wire::{self, Body};
use std::path::PathBuf;

#[derive(clap::Subcommand)]
pub enum Constraints {
    /// Check the clauses of an installation's files, and list them
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Which clauses bind a task, and what each leaves
    Explain(Explain),
    /// What the clauses of changed files would break of what runs
    Diff(Changed),
    /// Let the clauses of changed files bind, whole or not at all. The planner reads its own files when it
    /// starts
    Take(Changed),
}

#[derive(clap::Args)]
pub struct Changed {
    #[command(flatten)]
    at: PlannerConnection,
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

impl Changed {
    fn run(self, take: bool, json: bool) -> Result<(), Failure> {
        let clauses = named_constraints(&load(&self.files)?)?;
        let text = serde_json::to_string(&clauses).map_err(|e| Failure::Failed(e.to_string()))?;
        let told = query(&self.at, Body::Clauses(wire::Clauses { json: text, take }))?;
        let broken = told["broken"].as_array().map_or(0, Vec::len);
        if json {
            print_value(&told, true);
        } else {
            let word = if take { "taken" } else { "not taken" };
            println!("{} clauses, {word}; {broken} that run break them", clauses.len());
            if broken > 0 {
                print_value(&told["broken"], false);
            }
        }
        Ok(())
    }
}

impl Constraints {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        match self {
            Constraints::Check { files } => {
                let clauses = named_constraints(&load(&files)?)?;
                let rows = clauses.iter().map(|(c, place)| {
                    let how = c.preference_rank.map_or("must".to_owned(), |rank| format!("prefer {rank}"));
                    let rule = serde_json::to_value(&c.rule).unwrap_or_default();
                    serde_json::json!({"clause": place, "how": how, "rule": rule})
                });
                print_value(&rows.collect(), json);
                Ok(())
            }
            Constraints::Explain(explain) => explain.run(json),
            Constraints::Diff(changed) => changed.run(false, json),
            Constraints::Take(changed) => changed.run(true, json),
        }
    }
}

#[derive(clap::Args)]
pub struct Explain {
    #[command(flatten)]
    at: PlannerConnection,
    /// The key of a task that the planner knows
    #[arg(required_unless_present = "framework")]
    key: Option<String>,
    /// Instead of a known task: one of this framework
    #[arg(long, conflicts_with = "key")]
    framework: Option<String>,
    #[arg(long, default_value = "", requires = "framework")]
    tenant: String,
    #[arg(long, default_value_t = 0, requires = "framework")]
    service: u64,
    /// Which clauses forbid each machine now
    #[arg(long)]
    machines: bool,
}

impl Explain {
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let about = match self.key {
            Some(key) => serde_json::json!({"key": key, "machines": self.machines}),
            None => serde_json::json!({"framework": self.framework, "tenant": self.tenant,
                "service": self.service, "machines": self.machines}),
        };
        let request = wire::Query { what: "explain".into(), about: about.to_string() };
        let told = query(&self.at, Body::Query(request))?;
        if json {
            print_value(&told, true);
            return Ok(());
        }
        match told["verdict"].as_str() {
            Some(words) => println!("{words}"),
            None => println!(
                "no machine that is known could ever meet together: {}",
                value_text(&told["verdict"]["never"])
            ),
        }
        for part in ["clauses", "machines"] {
            if !told[part].as_array().is_none_or(Vec::is_empty) {
                println!();
                print_value(&told[part], false);
            }
        }
        Ok(())
    }
}
