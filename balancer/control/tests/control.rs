//! The control socket with its own client, and with clients that misbehave.

use millrudder_control::{ask, Answer, AskError, Control, Question, Status, LINE_LIMIT, MAX_CONNECTIONS};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("millrudder-control-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn socket(&self) -> PathBuf {
        self.0.join("control")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn status() -> Status {
    Status {
        process: 7,
        version: "0.1.0".to_owned(),
        phase: "serving".to_owned(),
        jobs_owed: 3,
        age_ms: 1_000,
    }
}

fn open(path: &Path) -> std::io::Result<Control> {
    Control::open(path, |Question::Status| Answer::Status(status()))
}

/// Asks until the socket answers: misbehaving clients may occupy all connections until their time limit.
fn wait_for_answer(path: &Path) {
    let end = Instant::now() + Duration::from_secs(20);
    while !ask(path, Question::Status).is_ok_and(|answer| answer == Answer::Status(status())) {
        assert!(Instant::now() < end, "an answer");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn send_raw(path: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(path).unwrap();
    // The server may close the connection before everything is written.
    let _ = stream.write_all(bytes);
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

#[test]
fn its_own_user_is_answered_and_no_other_can_open_it() {
    let folder = Folder::new();
    let control = open(&folder.socket()).unwrap();
    assert_eq!(ask(&folder.socket(), Question::Status).unwrap(), Answer::Status(status()));
    let mode = std::fs::metadata(folder.socket()).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    drop(control);
    assert!(matches!(ask(&folder.socket(), Question::Status), Err(AskError::Unreachable(..))));
}

#[test]
fn what_a_dead_process_left_is_cleared_and_nothing_else() {
    let folder = Folder::new();
    let (path, other) = (folder.socket(), folder.0.join("file"));
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let _control = open(&path).unwrap();
    let second = open(&path).err().unwrap();
    assert_eq!(second.kind(), std::io::ErrorKind::AddrInUse);
    std::fs::write(&other, "mine").unwrap();
    assert!(open(&other).is_err() && std::fs::read_to_string(&other).unwrap() == "mine");
}

#[test]
fn bad_input_is_refused_in_words() {
    let folder = Folder::new();
    let _control = open(&folder.socket()).unwrap();
    for (bytes, words) in [
        (&b"nonsense\n"[..], "no question"),
        (b"{\"ask\":\"upgrade\"}\n", "no question"),
        (b"\n", "no question"),
        (&[b'x'; 2 * LINE_LIMIT], "over 4096 bytes"),
    ] {
        let answer = send_raw(&folder.socket(), bytes);
        assert!(answer.contains(words), "{answer:?}");
    }
    // Fields that a newer client adds are ignored.
    assert!(send_raw(&folder.socket(), b"{\"ask\":\"status\",\"mood\":1}\n").contains("jobs_owed"));
    millrudder_testing::garbage(33, b"{\"ask\":\"status\"}\n", |bytes| {
        let mut stream = UnixStream::connect(folder.socket()).unwrap();
        let _ = stream.write_all(bytes);
    });
    wait_for_answer(&folder.socket());
}

#[test]
fn a_thousand_connections_that_say_nothing_pass() {
    let folder = Folder::new();
    let _control = open(&folder.socket()).unwrap();
    let mut silent: Vec<UnixStream> = Vec::new();
    for _ in 0..1_000 {
        silent.push(UnixStream::connect(folder.socket()).unwrap());
        if silent.len() > 100 {
            silent.remove(0);
        }
    }
    let end = Instant::now() + Duration::from_secs(20);
    while !silent.is_empty() {
        assert!(Instant::now() < end, "{} are kept", silent.len());
        silent.retain(|stream| !is_closed(stream));
    }
    wait_for_answer(&folder.socket());
}

/// Whether the other end has closed the connection; waits 5 ms for that.
fn is_closed(mut stream: &UnixStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    match stream.read(&mut [0]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Blocks all answers until it is opened, and counts how many wait at once.
#[derive(Default)]
struct AnswerGate {
    state: Mutex<GateState>,
    opened: Condvar,
}

#[derive(Default)]
struct GateState {
    inside: usize,
    max_inside: usize,
    is_open: bool,
}

impl AnswerGate {
    fn pass(&self) {
        let mut state = self.state.lock().unwrap();
        state.inside += 1;
        state.max_inside = state.max_inside.max(state.inside);
        state = self.opened.wait_while(state, |state| !state.is_open).unwrap();
        state.inside -= 1;
    }

    fn open(&self) {
        self.state.lock().unwrap().is_open = true;
        self.opened.notify_all();
    }
}

#[test]
fn at_most_max_connections_are_answered_at_once_and_the_rest_are_closed() {
    const CALLERS: usize = 100;
    let folder = Folder::new();
    let gate = Arc::new(AnswerGate::default());
    let held = Arc::clone(&gate);
    let _control = Control::open(&folder.socket(), move |Question::Status| {
        held.pass();
        Answer::Status(status())
    })
    .unwrap();
    let mut callers: Vec<UnixStream> = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = UnixStream::connect(folder.socket()).unwrap();
        // The server may close the connection before everything is written.
        let _ = stream.write_all(b"{\"ask\":\"status\"}\n");
        callers.push(stream);
    }
    let end = Instant::now() + Duration::from_secs(20);
    while callers.len() > MAX_CONNECTIONS {
        assert!(Instant::now() < end, "{} are kept", callers.len());
        callers.retain(|stream| !is_closed(stream));
    }
    gate.open();
    for stream in &mut callers {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.contains("serving"), "{answer}");
    }
    let max_inside = gate.state.lock().unwrap().max_inside;
    assert!((1..=MAX_CONNECTIONS).contains(&max_inside), "{max_inside}");
}
