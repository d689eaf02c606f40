//! `basaltpitch constraints`: checks, explains, compares and applies placement constraints.
use crate::ask::{print_value, query, value_text, PlannerConnection};
use crate::{load, named_constraints, Failure};
use basaltpitch_agent::wire::{self, Body};
use std::path::PathBuf;

/// The subcommands of `basaltpitch constraints`.
#[derive(clap::Subcommand)]
pub enum Constraints {
    /// Validate the placement constraints of an installation's files, and list them
    Check {
        /// The installation's files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show which constraints apply to a task, and how many machines each one allows
    Explain(Explain),
    /// Show which running tasks would violate the constraints of changed files
    Diff(Changed),
    /// Apply the constraints of changed files, all or none, until the planner restarts
    Take(Changed),
}

/// The arguments of `basaltpitch constraints diff` and `take`.
#[derive(clap::Args)]
pub struct Changed {
    #[command(flatten)]
    connection: PlannerConnection,
    /// The installation's files with the changed constraints
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

impl Changed {
    /// Sends the constraints to the planner, which applies them only with `take`, and prints the
    /// violations.
    fn run(self, take: bool, json: bool) -> Result<(), Failure> {
        let constraints = named_constraints(&load(&self.files)?)?;
        let text = serde_json::to_string(&constraints).map_err(|e| Failure::Failed(e.to_string()))?;
        let response = query(&self.connection, Body::Clauses(wire::Clauses { json: text, take }))?;
        let violation_count = response["broken"].as_array().map_or(0, Vec::len);
        if json {
            print_value(&response, true);
        } else {
            let state = if take { "taken" } else { "not taken" };
            println!("{} clauses, {state}; {violation_count} that run break them", constraints.len());
            if violation_count > 0 {
                print_value(&response["broken"], false);
            }
        }
        Ok(())
    }
}

impl Constraints {
    /// Runs the chosen subcommand.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        match self {
            Constraints::Check { files } => {
                let constraints = named_constraints(&load(&files)?)?;
                let rows = constraints.iter().map(|(constraint, label)| {
                    let strength =
                        constraint.preference_rank.map_or("must".to_owned(), |rank| format!("prefer {rank}"));
                    let rule = serde_json::to_value(&constraint.rule).unwrap_or_default();
                    serde_json::json!({"clause": label, "how": strength, "rule": rule})
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

/// The arguments of `basaltpitch constraints explain`.
#[derive(clap::Args)]
pub struct Explain {
    #[command(flatten)]
    connection: PlannerConnection,
    /// Key of a task that the planner knows
    #[arg(required_unless_present = "framework")]
    key: Option<String>,
    /// Framework of a task that is not submitted yet, in place of a key
    #[arg(long, conflicts_with = "key")]
    framework: Option<String>,
    /// Tenant of that task
    #[arg(long, default_value = "", requires = "framework")]
    tenant: String,
    /// Service number of that task
    #[arg(long, default_value_t = 0, requires = "framework")]
    service: u64,
    /// Also list each machine with the constraints that exclude it now
    #[arg(long)]
    machines: bool,
}

impl Explain {
    /// Queries the planner and prints its verdict, the constraints and, if requested, the machines.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        let about = match self.key {
            Some(key) => serde_json::json!({"key": key, "machines": self.machines}),
            None => serde_json::json!({"framework": self.framework, "tenant": self.tenant,
                "service": self.service, "machines": self.machines}),
        };
        let request = wire::Query { what: "explain".into(), about: about.to_string() };
        let response = query(&self.connection, Body::Query(request))?;
        if json {
            print_value(&response, true);
            return Ok(());
        }
        match response["verdict"].as_str() {
            Some(verdict) => println!("{verdict}"),
            None => println!(
                "no machine that is known could ever meet together: {}",
                value_text(&response["verdict"]["never"])
            ),
        }
        for section in ["clauses", "machines"] {
            if !response[section].as_array().is_none_or(Vec::is_empty) {
                println!();
                print_value(&response[section], false);
            }
        }
        Ok(())
    }
}
