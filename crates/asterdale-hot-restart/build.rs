//! Compiles the messages, without outside programs.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/handover.proto");
    let files = protox::compile(["proto/handover.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
