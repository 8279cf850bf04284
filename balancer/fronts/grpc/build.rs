//! Generates the gRPC service from `proto/` with protox, a compiler written in Rust, so that `protoc` is not needed.

use prost::Message;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let proto = PathBuf::from(std::env::var("CARGO_MANIFEST_DIR")?).join("../../proto");
    println!("cargo:rerun-if-changed={}", proto.display());
    let files = protox::compile(["millrudder/v1/jobs.proto"], [proto])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("jobs.bin"), files.encode_to_vec())?;
    tonic_prost_build::configure().build_transport(false).compile_fds(files)?;
    Ok(())
}
