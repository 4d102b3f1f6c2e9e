//! The words of a command, as a shell hands them over, reach the controller as they are.

use std::io::Read;
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};

use cottoncrank::command::{self, Verb, parse_line};
use cottoncrank::config::Entry;

/// Runs the client with these words and returns how it ended, with what it sent.
fn run(words: &[&str]) -> (Output, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = Command::new(env!("CARGO_BIN_EXE_cottoncrank-ctl"));
    client.arg("--controller").arg(listener.local_addr().unwrap().to_string()).args(words);
    client.stdout(Stdio::piped()).stderr(Stdio::piped());
    let client = client.spawn().unwrap();
    listener.set_nonblocking(true).unwrap();
    let output = std::thread::spawn(move || client.wait_with_output().unwrap());
    let mut sent = Vec::new();
    while !output.is_finished() {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            let mut piece = [0; 4096];
            while !sent.ends_with(b"\n") && !is_whole(&sent) {
                let read = stream.read(&mut piece).unwrap();
                sent.extend_from_slice(&piece[..read]);
            }
        }
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    (output.join().unwrap(), String::from_utf8_lossy(&sent).into_owned())
}

/// Whether a request is here with its body.
fn is_whole(sent: &[u8]) -> bool {
    let text = String::from_utf8_lossy(sent);
    let Some((head, _)) = text.split_once("\r\n\r\n") else { return false };
    let length = head
        .to_ascii_lowercase()
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    length.is_none_or(|length: usize| sent.len() >= head.len() + 4 + length)
}

fn token_of(words: &[&str]) -> String {
    let (_, sent) = run(words);
    let line = &sent[sent.find("create").unwrap()..];
    match parse_line(line).unwrap() {
        Some(command::Command::Change(command::Change {
            verb: Verb::Create(_, Entry::Account { token, .. }),
            ..
        })) => token,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_token_reaches_the_controller_as_it_is() {
    for token in ["plain", "a b", "t#1", "#t", "a\tb", "%41", "a+b&c", "é", ""] {
        assert_eq!(token_of(&["create", "account", "acme", "token", token]), token);
    }
}

#[test]
fn words_that_no_line_can_hold_are_refused() {
    for token in ["a\"b", "a\nb", "a\rb"] {
        let (output, sent) = run(&["create", "account", "acme", "token", token]);
        assert_eq!((output.status.code(), sent.as_str()), (Some(2), ""), "{token:?}");
    }
}

#[test]
fn one_word_is_a_whole_line() {
    let (_, sent) = run(&["show runners where state \"a b\" # all"]);
    assert!(sent.ends_with("show runners where state \"a b\" # all"), "{sent}");
}
