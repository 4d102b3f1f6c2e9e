//! Lines of the log tell apart the texts that they quote, and each is one line.

use std::collections::BTreeSet;

use cottoncrank::line::{Line, Quoted};

#[test]
fn no_quoted_text_looks_like_another_one_or_like_what_follows_it() {
    let texts = [
        "a",
        "a\n",
        "a\\n",
        "a\\\n",
        "`a`",
        "\\`a\\`",
        "a` (catalog) is not used: b",
        "a\u{202e}",
        "a\\u{202e}",
    ];
    let lines: BTreeSet<String> =
        texts.iter().map(|text| Line::of(&format_args!("{}", Quoted(text))).to_string()).collect();
    assert_eq!(lines.len(), texts.len(), "{lines:?}");
    for line in lines {
        let inner = line.strip_prefix('`').and_then(|rest| rest.strip_suffix('`')).unwrap();
        let unescaped = inner.replace("\\\\", "").replace("\\`", "");
        assert!(!unescaped.contains('`'), "a backtick ends the text in {line}");
        assert!(!line.contains(char::is_control), "{line:?}");
    }
}

#[test]
fn a_sound_message_is_written_as_it_is() {
    let message = "decider: d1: form g7 of m1 with e-1 e-2 (0.5 s), \"é\" \u{1f600} C:\\x";
    assert_eq!(Line::of(&format_args!("{message}")).to_string(), message);
}
