//! `basaltpitch node`: runs one planner on the platform, with the configuration file that the
//! platform provides.
use crate::Failure;
use basaltpitch_platform::{service, start_config};
use std::fmt::Display;
use std::path::PathBuf;

/// The arguments of `basaltpitch node`.
#[derive(clap::Args)]
pub struct Node {
    /// The planner's configuration as written by the platform, in JSON
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
}

impl Node {
    /// Serves until the platform stops the planner and no request is left without an answer.
    ///
    /// # Errors
    /// The configuration cannot be read or used, or the runtime does not start.
    pub fn run(self) -> Result<(), Failure> {
        let text = std::fs::read_to_string(&self.config).map_err(|error| self.config_error(&error))?;
        let config = start_config::parse(&text).map_err(|error| self.config_error(&error))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| Failure::Failed(error.to_string()))?;
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind(config.listen).await;
            let listener = listener
                .map_err(|error| self.config_error(&format!("field 'listen': {}: {error}", config.listen)))?;
            let result = service::serve(listener, config, self.config.clone()).await;
            result.map_err(|error| self.config_error(&error))
        })
    }

    /// Returns the error for a configuration file that cannot be read or used.
    fn config_error(&self, error: &dyn Display) -> Failure {
        Failure::InvalidInput(format!("{}: {error}", self.config.display()))
    }
}
