//! `basaltpitch serve`: one planner.
use crate::{load, Failure};
use basaltpitch::host::{Given, Value};
use basaltpitch_planner::core::Who;
use basaltpitch_planner::service::Start;
use basaltpitch_records::installation::{Laid, Seat};
use basaltpitch_store::{Found, Store};
use std::io::Write;
use std::path::{Path, PathBuf};

#[derive(clap::Args)]
pub struct Serve {
    /// The installation's files
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// This planner's name; a successor under the same name takes over what it placed
    #[arg(long)]
    name: String,
    /// Its number among the installation's planners, from 0
    #[arg(long, default_value_t = 0)]
    number: usize,
    /// The zone that it is in
    #[arg(long)]
    zone: String,
    /// Where the register listens
    #[arg(long)]
    register: String,
    /// Where owners and operators are listened to
    #[arg(long, default_value = "127.0.0.1:7410")]
    listen: String,
    /// Its incarnation; later lives need a higher one. By default the time of its start in microseconds
    #[arg(long)]
    epoch: Option<u64>,
    /// Where chance starts from; by default its epoch
    #[arg(long)]
    seed: Option<u64>,
    /// A folder for what outlives this planner; two planners may share it
    #[arg(long)]
    state: Option<PathBuf>,
    /// Write everything that the decisions are told, and their calls, into this file
    #[arg(long)]
    record: Option<PathBuf>,
}

impl Serve {
    /// Opens what an earlier life of this planner left.
    fn open(&self, folder: &Path) -> Result<Store, Failure> {
        let wrong = |e: String| Failure::Wrong(format!("--state {}: {e}", folder.display()));
        if self.name.contains(['/', '\\']) || self.name.starts_with('.') {
            return Err(Failure::Wrong(format!("--name: found {:?}; expected a plain name", self.name)));
        }
        std::fs::create_dir_all(folder).map_err(|e| wrong(e.to_string()))?;
        let path = folder.join(format!("{}.store", self.name));
        let (store, found) = Store::open(&path).map_err(|e| wrong(e.to_string()))?;
        if let Found::SetAside { to, why } = found {
            let (file, to) = (path.display(), to.display());
            tracing::error!(%file, %to, why, "a file that cannot be read was set aside");
        }
        Ok(store)
    }

    pub fn run(self, json: bool) -> Result<(), Failure> {
        let installation = load(&self.files)?;
        let zones = installation.names("zones");
        if !zones.contains(&self.zone) {
            return Err(Failure::Wrong(format!(
                "--zone: found {:?}; expected one of {}",
                self.zone,
                zones.join(", ")
            )));
        }
        let planners = installation.all.number("planners").unwrap_or(1.0) as usize;
        if self.number >= planners {
            let most = planners - 1;
            return Err(Failure::Wrong(format!("--number: found {}; expected 0 to {most}", self.number)));
        }
        let seat = Seat { number: self.number, planners, zone: self.zone.clone() };
        let value = |laid| match laid {
            Laid::Number(n) => Value::Number(n),
            Laid::Text(t) => Value::Text(t),
        };
        let given: Given = installation.lay_out(&seat).into_iter().map(|(k, v)| (k, value(v))).collect();
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let epoch = self.epoch.unwrap_or(since.map_or(1, |d| d.as_micros() as u64));
        let clauses = crate::clauses_of(&installation)?;
        let directory = crate::directory_of(&installation)?;
        let store = self.state.as_ref().map(|folder| self.open(folder)).transpose()?;
        let record = self.record.as_ref().map(|path| {
            let file = std::fs::File::create(path);
            let file = file.map_err(|e| Failure::Wrong(format!("--record {}: {e}", path.display())))?;
            Ok::<Box<dyn Write + Send>, Failure>(Box::new(file))
        });
        let record = record.transpose()?;
        let who = Who { name: self.name, epoch, seed: self.seed.unwrap_or(epoch), register: self.register };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind(&self.listen).await;
            let listener = listener.map_err(|e| Failure::Wrong(format!("--listen {}: {e}", self.listen)))?;
            let at = listener.local_addr().map_err(|e| Failure::Failed(e.to_string()))?;
            if json {
                println!(
                    "{}",
                    serde_json::json!({"listening": at.to_string(), "epoch": epoch, "name": who.name})
                );
            } else {
                println!("{} listens on {at}, epoch {epoch}", who.name);
            }
            let _ = std::io::stdout().flush();
            let stop = async {
                let _ = tokio::signal::ctrl_c().await;
            };
            let start = Start { who, given, record, clauses, directory, store };
            basaltpitch_planner::service::serve(listener, start, stop).await;
            Ok(())
        })
    }
}
