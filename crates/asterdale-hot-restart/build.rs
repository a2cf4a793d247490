//! Compiles the protocol buffer messages. This needs no installed protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/hot_restart.proto");
    let files = protox::compile(["proto/hot_restart.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
