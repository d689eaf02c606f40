//! The configuration of a drill, which its planner processes are started with as well.
use basaltpitch_config::installation::Installation;
use std::path::PathBuf;

/// The configuration of a drill.
pub struct DrillConfig {
    /// The installation, including a fault scenario.
    pub installation: Installation,
    /// The files that the installation was read from; the planner processes read them too.
    pub files: Vec<PathBuf>,
    /// Path of the `basaltpitch` binary, which runs planners and voters.
    pub binary: PathBuf,
    /// Seed of the random number generators; `None` takes the seed of the scenario.
    pub seed: Option<u64>,
    /// Folder that planners write recordings into; `None` records nothing.
    pub recordings: Option<PathBuf>,
}
