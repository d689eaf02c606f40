//! `basaltpitch node`: one planner on the platform, from the configuration that it hands over.
use crate::Failure;
use basaltpitch_platform::{service, start_config};
use std::fmt::Display;
use std::path::PathBuf;

/// The arguments of `basaltpitch node`.
#[derive(clap::Args)]
pub struct Node {
    /// The platform's configuration of this planner, as JSON
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
}

impl Node {
    /// Serves until the planner is told to stop and owes nothing more.
    ///
    /// # Errors
    /// The configuration cannot be read or used, or the runtime does not start.
    pub fn run(self) -> Result<(), Failure> {
        let text = std::fs::read_to_string(&self.config).map_err(|error| self.unusable(&error))?;
        let start = start_config::parse(&text).map_err(|error| self.unusable(&error))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| Failure::Failed(error.to_string()))?;
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind(start.listen).await;
            let listener = listener
                .map_err(|error| self.unusable(&format!("field 'listen': {}: {error}", start.listen)))?;
            let served = service::serve(listener, start, self.config.clone()).await;
            served.map_err(|error| self.unusable(&error))
        })
    }

    /// The configuration cannot be used.
    fn unusable(&self, error: &dyn Display) -> Failure {
        Failure::InvalidInput(format!("{}: {error}", self.config.display()))
    }
}
