//! The committed types are those that the generator makes from the description.

#[path = "../examples/generate.rs"]
mod generator;

#[test]
fn generated_types_are_up_to_date() {
    let committed = include_str!("../src/generated/millrudder.configuration.v1.rs");
    assert!(
        generator::generate().unwrap() == committed,
        "run the example `generate` and commit what it prints"
    );
}
