//! Prints the Rust types of `proto/configuration.proto`, as they are committed in `src/generated`:
//!
//! `cargo run -p millrudder-configuration --example generate > FILE`

use std::path::Path;

/// Required integers.
const INTEGERS: &[&str] = &["Configuration.version"];

/// Optional integers.
const OPTIONAL_INTEGERS: &[&str] = &[
    "Route.priority",
    "Route.max_retries",
    "Backend.max_conns",
    "Limits.max_header_bytes",
    "Limits.max_body_bytes",
];

/// Lists of messages.
const OBJECTS: &[&str] = &["Configuration.routes", "Configuration.backends"];

/// Optional messages.
const OPTIONAL_OBJECT: &[&str] = &["Configuration.limits"];

/// Attributes for deserialization, and the fields that get them.
const READ_WITH: &[(&str, &[&str])] = &[
    ("#[serde(deserialize_with = \"crate::number::integer\")]", INTEGERS),
    ("#[serde(default, deserialize_with = \"crate::number::optional_integer\")]", OPTIONAL_INTEGERS),
    ("#[serde(deserialize_with = \"crate::object::objects\")]", OBJECTS),
    ("#[serde(default, deserialize_with = \"crate::object::optional_object\")]", OPTIONAL_OBJECT),
];

/// Generates the types as Rust code.
///
/// # Errors
/// The description of the messages cannot be compiled.
pub fn generate() -> Result<String, Box<dyn std::error::Error>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let files = protox::compile(["configuration.proto"], [folder])?;
    let mut config = prost_build::Config::new();
    config.type_attribute(".", "#[derive(serde::Deserialize, serde::Serialize)]");
    config.type_attribute(".", "#[serde(rename_all = \"camelCase\")]");
    for (attribute, fields) in READ_WITH {
        for field in *fields {
            config.field_attribute(field, attribute);
        }
    }
    let modules =
        files.file.into_iter().map(|file| (prost_build::Module::from_protobuf_package_name("v1"), file));
    let generated = config.generate(modules.collect())?;
    Ok(generated.into_values().collect())
}

#[allow(dead_code, reason = "the test that compares includes this file as a module")]
fn main() -> Result<(), Box<dyn std::error::Error>> {
    print!("{}", generate()?);
    Ok(())
}
