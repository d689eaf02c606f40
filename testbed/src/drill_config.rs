//! DrillConfig a drill is run: what the drill and its processes both go by.
use basaltpitch_config::installation::Installation;
use std::path::PathBuf;

/// DrillConfig a drill is run.
pub struct DrillConfig {
    pub installation: Installation,
    /// The files that the installation was read from; planners read them too.
    pub files: Vec<PathBuf>,
    /// The binary that has `serve`.
    pub binary: PathBuf,
    pub seed: Option<u64>,
    /// PlannerControl write recordings into this folder.
    pub record: Option<PathBuf>,
}
