//! Runs the adapter on good and bad input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_millrudder-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter stops reading at a bad line, so the rest of the input may meet a closed pipe.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

fn hello(rules: &str) -> String {
    let conf = format!(
        r#"{{"me":0,"replicas_of_me":2,"zone":"a","failure_domains":["a"],"kinds":["box"],"period":2.0,"later_key":[1],
        "lanes":[{{"name":"c","aim":200.0,"hard_limit":5000.0,"worth":1.0,"effect":"idempotent"}}],"rules":{rules}}}"#
    );
    let conf = conf.replace('\n', "");
    let list = |mode: &str| format!(r#"["SHEET",0,[["w:1","a","box",0,"{mode}",1,null,"later value"]]]"#);
    format!(
        "{}\n{}\n",
        format_args!(
            r#"{{"sim_time":1.0,"inbox":[["HELLO",3,7,{conf}],{},["MEMBERSHIP",3,"restored",1,0],["LATER_EVENT",3,{{}}]]}}"#,
            list("ready")
        ),
        format_args!(
            r#"{{"sim_time":2.0,"inbox":[["QUERY",3,"r",null,"c",1,0,null,0,4000.0,null],{},["MEMBERSHIP",3,"update",2,0]]}}"#,
            list("draining")
        ),
    )
}

#[test]
fn it_answers_each_batch_skips_what_it_does_not_know_and_ends_with_the_input() {
    let out = run(&hello(r#"{"drain_close":1000.0}"#));
    let text = String::from_utf8(out.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert!(out.status.success() && out.stderr.is_empty());
    assert_eq!(lines.len(), 2, "{text}");
    assert_eq!(lines[0], r#"{"outbox":[]}"#);
    assert!(
        lines[1].contains(r#"["ROUTE",3,"r","w:1","#) && lines[1].contains(r#"["RELEASE",3,"w:1"]"#),
        "{text}"
    );
}

#[test]
fn a_bad_line_is_named_on_standard_error_and_ends_it() {
    let wrong_rule = hello(r#"{"drain_close":"soon"}"#);
    let wrong_kind = hello(r#"{"dropped_stay_open":"yes"}"#);
    let cases = [
        (wrong_kind.as_str(), "field conf: invalid type: string \"yes\", expected a boolean"),
        ("nonsense\n", "line 1:"),
        ("{\"sim_time\":1.0,\"inbox\":[]}\n{\"inbox\":[]}\n", "line 2: missing field `sim_time`"),
        ("{\"sim_time\":1.0,\"inbox\":[[\"LAPSED\",3]]}\n", "LAPSED: field xid"),
        ("{\"sim_time\":1.0,\"inbox\":[[\"WAKEUP\",3,\"soon\"]]}\n", "WAKEUP: field key_back"),
        (wrong_rule.as_str(), "field conf"),
    ];
    for (input, message) in cases {
        let out = run(input);
        let error = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{input}");
        assert!(error.starts_with("line ") && error.contains(message), "{input}: {error}");
        assert!(error.lines().count() == 1 && !error.contains("panicked"), "{error}");
        let text = String::from_utf8(out.stdout).unwrap();
        assert!(text.lines().all(|l| l.starts_with("{\"outbox\":")), "only replies: {text}");
    }
}

#[test]
fn no_input_is_no_error() {
    let out = run("");
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty());
}
