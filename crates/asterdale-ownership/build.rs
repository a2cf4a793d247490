//! Generates the message types from the Protobuf file, without an external `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/takeover.proto");
    let files = protox::compile(["proto/takeover.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
