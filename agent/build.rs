//! Generates the types of the frames from `proto/agent.proto`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/agent.proto");
    let set = protox::compile(["agent.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(set)?;
    Ok(())
}
