//! Unit tests of `settings`.

use super::*;

fn read(text: &str) -> Result<Settings, String> {
    Settings::read(text, Path::new("m.yaml")).map_err(|e| e.to_string())
}

const WHOLE: &str = "\
fronts:
  http:
    weight: 3
    limits: {connections: 200}
  grpc:
    listen: 127.0.0.1:7071
    weight: 2
    limits:
      streams: 64
      header_list: 8 KiB
      request_time: 1500 ms
      answer_time: 2.5 s
      idle_time: 5 min
admission:
  jobs: 400
  bodies: 16 MiB
log: {format: json, level: warning}
";

#[test]
fn values_carry_their_units() {
    let settings = read(WHOLE).unwrap();
    let grpc = settings.fronts.grpc.as_ref().unwrap();
    assert_eq!((grpc.listen.0.port(), grpc.weight.get(), settings.fronts.http.weight.get()), (7071, 2, 3));
    assert_eq!((grpc.limits.streams.get(), grpc.limits.header_list.bytes()), (64, 8192));
    let times = [grpc.limits.request_time.ms(), grpc.limits.answer_time.ms(), grpc.limits.idle_time.ms()];
    assert_eq!(times, [1_500.0, 2_500.0, 300_000.0]);
    assert_eq!(
        grpc.limits.connections,
        GrpcLimits::default().connections,
        "a key that is left out has its default"
    );
    assert_eq!(settings.admission.bodies.map(Size::bytes), Some(16 << 20));
    assert_eq!((settings.log.format, settings.log.level), (LogFormat::Json, LogLevel::Warning));
}

#[test]
fn empty_settings_are_the_defaults() {
    for text in ["", "# nothing yet\n\n", "fronts: {}\n", "log: {}"] {
        assert_eq!(read(text), Ok(Settings::default()), "{text:?}");
    }
    assert!(Settings::default().fronts.grpc.is_none());
}

#[test]
fn an_error_names_the_file_the_line_the_key_and_a_suggestion() {
    for (from, to, expected) in [
        ("listen:", "lisen:", "m.yaml:6:5: key fronts.grpc.lisen: unknown key; did you mean listen?"),
        ("admission:", "admision:", "m.yaml:14:1: key admision: unknown key; did you mean admission?"),
        ("streams: 64", "zzz: 64", "m.yaml:9:7: key fronts.grpc.limits.zzz: unknown key; known here: conn"),
        ("1500 ms", "1500", "m.yaml:11:21: key fronts.grpc.limits.request_time: \"1500\" has no unit"),
        ("1500 ms", "1500 mss", "unknown unit \"mss\", did you mean ms?"),
        ("1500 ms", "1500 s", "key fronts.grpc.limits.request_time: \"1500 s\" is outside 100 ms to 1 min"),
        ("8 KiB", "8 kb", "key fronts.grpc.limits.header_list: \"8 kb\": unknown unit \"kb\""),
        ("8 KiB", "8 GiB", "is outside 1 KiB to 256 KiB"),
        ("weight: 3", "weight: 0", "m.yaml:3:13: key fronts.http.weight: 0 is outside 1 to 1000"),
        ("weight: 3", "weight: much", "m.yaml:3:13: key fronts.http.weight: "),
        (
            "127.0.0.1:7071",
            "localhost",
            "key fronts.grpc.listen: \"localhost\" is not an address with a port",
        ),
        ("    listen: 127.0.0.1:7071\n", "", "key fronts.grpc.listen: missing"),
        ("json", "jsn", "key log.format: \"jsn\" is none of text, json, did you mean json?"),
        ("weight: 2", "weight: 2\n    weight: 4", "key fronts.grpc.weight: given twice"),
        ("fronts:", "fronts: [", "m.yaml:"),
    ] {
        let error = read(&WHOLE.replacen(from, to, 1)).unwrap_err();
        assert!(error.contains(expected), "{expected:?} in {error:?}");
    }
}

#[test]
fn weights_and_log_level_change_while_running_and_the_rest_does_not() {
    let old = read(WHOLE).unwrap();
    let live = read(&WHOLE.replace("weight: 2", "weight: 5").replace("warning", "debug")).unwrap();
    assert_eq!(old.pending_keys(&live), [""; 0]);
    let later = WHOLE.replace("7071", "7072").replace("jobs: 400", "jobs: 9").replace("json", "text");
    assert_eq!(old.pending_keys(&read(&later).unwrap()), ["fronts.grpc", "admission", "log.format"]);
}

#[test]
fn garbage_is_an_error_not_a_panic() {
    millrudder_testing::garbage(21, WHOLE.as_bytes(), |bytes| {
        let _ = std::str::from_utf8(bytes).map(read);
    });
    let deep = format!("fronts: {}", "[".repeat(50_000));
    assert!(read(&deep).is_err());
    assert!(
        read("a: &a [1]\nb: &b [*a,*a]\nc: [*b,*b]\n").is_err(),
        "repeated aliases must not multiply the memory"
    );
}
