//! Whatever a file contains, parsing it gives settings or an error that names the file.

use millrudder_settings::Settings;
use proptest::prelude::*;
use std::path::Path;

const LINES: &[&str] = &[
    "nodeName: a",
    "ip: 10.0.0.1",
    "zone: z",
    "region: r",
    "ephemeralPorts: [1, 2]",
    "serves: [edge]",
    "bindAddrs:",
    "  front: 10.0.0.1:80",
    "bounds: {drainMs: 1e9}",
    "limits: {memoryMb: .inf}",
    "heartbeatMs: -0.0",
    "- x",
    "  deep: {a: [",
    "]}",
    "&a *a",
    "? !!binary x",
    "---",
];

/// Levels of nesting, deeper than any file needs.
const DEPTH: usize = 100_000;

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn mixed_lines_never_panic(lines in proptest::collection::vec(proptest::sample::select(LINES), 0..14)) {
        let text = lines.join("\n");
        if let Err(error) = Settings::parse(&text, Path::new("local.yaml")) {
            prop_assert!(error.to_string().starts_with("local.yaml"));
        }
    }

    #[test]
    fn any_text_never_panics(text in ".{0,80}") {
        prop_assert!(Settings::parse(&text, Path::new("local.yaml")).is_err());
    }
}

/// Small files that would be large, or deep, once parsed.
#[test]
fn files_that_expand_give_an_error() {
    let aliases = (1..30).map(|level| {
        let before = level - 1;
        format!(
            "k{level}: &a{level} [*a{before}, *a{before}, *a{before}, *a{before}, *a{before}, *a{before}]\n"
        )
    });
    let aliases: String = std::iter::once("k0: &a0 [x, x, x, x]\n".to_owned()).chain(aliases).collect();
    let files = [
        aliases,
        "[".repeat(DEPTH),
        "{a: ".repeat(DEPTH),
        (0..DEPTH / 100).map(|depth| format!("{}a:\n", " ".repeat(depth))).collect(),
        "- ".repeat(DEPTH),
    ];
    for text in files {
        let read = Settings::parse(&text, Path::new("local.yaml"));
        assert!(read.is_err(), "{}", &text[..40]);
    }
}
