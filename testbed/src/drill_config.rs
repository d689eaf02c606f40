//! How a drill is run: what the drill and its processes both go by.
use basaltpitch_config::installation::Installation;
use std::path::PathBuf;

/// How a drill is run.
pub struct DrillConfig {
    /// The installation, with a fault scenario.
    pub installation: Installation,
    /// The files that the installation was read from; planners read them too.
    pub files: Vec<PathBuf>,
    /// The binary that has `serve`.
    pub binary: PathBuf,
    /// Where chance starts from, in place of the scenario's own.
    pub seed: Option<u64>,
    /// Planners write recordings into this folder.
    pub record: Option<PathBuf>,
}
