//! Planner processes of a drill without slots: each has its number from the start.
use crate::client::PlannerAddresses;
use crate::context::TestbedContext;
use crate::drill_config::DrillConfig;
use crate::fault_scenario::PlannerControl;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::Pin;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Time from a planner's start until it must print its address.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The line that `serve` prints once it listens.
#[derive(serde::Deserialize)]
struct ListeningLine {
    listening: String,
    epoch: u64,
}

/// One planner process.
#[derive(Default)]
struct PlannerProcess {
    /// The running process; `None` before its start and after it was killed.
    child: RefCell<Option<Child>>,
    /// Epoch that the process printed at its start.
    epoch: Cell<u64>,
}

/// Files of planners in a scenario with a directory.
pub(crate) struct DirectoryFiles {
    /// Directory settings that planners read in addition to the installation's files.
    pub(crate) settings: PathBuf,
    /// Folder for state that planners keep across restarts.
    pub(crate) state: PathBuf,
}

/// Parameters of the planner processes.
pub(crate) struct PlannerSetup {
    pub(crate) config: Rc<DrillConfig>,
    pub(crate) context: Rc<TestbedContext>,
    /// Address of the registry.
    pub(crate) registry: String,
    /// Addresses of the planners, updated at every start.
    pub(crate) addresses: PlannerAddresses,
    /// Files of the directory; `None` if the scenario has none.
    pub(crate) directory: Option<DirectoryFiles>,
}

/// All planner processes of a drill.
pub(crate) struct PlannerProcesses {
    setup: PlannerSetup,
    zones: Vec<String>,
    /// The processes by planner number.
    all: Vec<PlannerProcess>,
    /// Starts so far; part of the names of recordings.
    started: Cell<u32>,
}

impl PlannerProcesses {
    /// Returns the planners of a drill without starting them.
    pub(crate) fn new(setup: PlannerSetup) -> PlannerProcesses {
        let zones = setup.config.installation.names("zones");
        let all = setup.addresses.borrow().iter().map(|_| PlannerProcess::default()).collect();
        PlannerProcesses { setup, zones, all, started: Cell::new(0) }
    }

    /// Starts a planner, and waits until it listens.
    pub(crate) async fn spawn(&self, planner: usize) -> io::Result<()> {
        let setup = &self.setup;
        let mut command = Command::new(&setup.config.binary);
        command.arg("serve").args(&setup.config.files);
        let name = format!("planner-{planner}");
        let number = planner.to_string();
        command.args(["--name", &name, "--number", &number, "--zone", &self.zone(planner)]);
        command.args(["--register", &setup.registry, "--listen", "127.0.0.1:0", "-o", "json"]);
        if let Some(files) = &setup.directory {
            command.arg(&files.settings).arg("--state").arg(&files.state);
        }
        if let Some(folder) = &setup.config.recordings {
            self.started.set(self.started.get() + 1);
            command.arg("--record").arg(folder.join(format!("{name}-{}.recording", self.started.get())));
        }
        let mut child = command.stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true).spawn()?;
        let out =
            child.stdout.take().ok_or_else(|| io::Error::other("the planner process has no piped stdout"))?;
        let mut lines = BufReader::new(out).lines();
        let first = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let first = first
            .map_err(|_| io::Error::other("planner printed no address within 20 s of its start"))??
            .unwrap_or_default();
        let line: ListeningLine = serde_json::from_str(&first).map_err(|e| {
            io::Error::other(format!(
                "planner printed {first:?}; expected JSON with its address and epoch ({e})"
            ))
        })?;
        setup.addresses.borrow_mut()[planner] = line.listening;
        self.all[planner].epoch.set(line.epoch);
        *self.all[planner].child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Stops all planners. Fails if one of them has exited by itself.
    pub(crate) async fn stop(&self) -> io::Result<()> {
        for (planner, process) in self.all.iter().enumerate() {
            let child = process.child.borrow_mut().take();
            let Some(mut child) = child else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                return Err(io::Error::other(format!("planner-{planner} exited by itself: {status}")));
            }
            let _ = child.kill().await;
        }
        Ok(())
    }
}

impl PlannerControl for PlannerProcesses {
    fn count(&self) -> usize {
        self.all.len()
    }

    fn zone(&self, planner: usize) -> String {
        self.zones[planner % self.zones.len()].clone()
    }

    fn kill(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            let child = self.all[planner].child.borrow_mut().take();
            if let Some(mut child) = child {
                let context = &self.setup.context;
                let (now, epoch) = (context.clock.now(), self.all[planner].epoch.get());
                context.checker.borrow_mut().planner_killed(now, &format!("planner-{planner}"), epoch);
                let _ = child.kill().await;
            }
        })
    }

    fn start(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(async move {
            if let Err(e) = self.spawn(planner).await {
                tracing::error!(planner, error = %e, "could not restart the planner; the drill continues without it");
            }
        })
    }
}
