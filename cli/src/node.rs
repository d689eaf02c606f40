//! `basaltpitch node`: one planner on the platform, from the configuration that it hands over.
use crate::Failure;
use basaltpitch_platform::{given, service};
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Node {
    /// The platform's configuration of this planner, as JSON
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
}

impl Node {
    pub fn run(self) -> Result<(), Failure> {
        let wrong = |e: String| Failure::Wrong(format!("{}: {e}", self.config.display()));
        let text = std::fs::read_to_string(&self.config).map_err(|e| wrong(e.to_string()))?;
        let start = given::read(&text).map_err(wrong)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind(start.listen).await;
            let listener = listener.map_err(|e| wrong(format!("field 'listen': {}: {e}", start.listen)))?;
            service::serve(listener, start, self.config.clone()).await.map_err(wrong)
        })
    }
}
