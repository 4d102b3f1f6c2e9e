//! Which requests have equal fingerprints.

use std::collections::HashSet;

use cottoncrank::id;
use cottoncrank_fleet::fingerprint::{Fingerprint, Request};

const BASE: Request = Request { account: None, method: "POST", path: "/a/b", body: b"body" };

#[test]
fn requests_that_differ_in_any_part_have_different_fingerprints() {
    let account: id::Account = "acme".parse().unwrap();
    let other: id::Account = "acm".parse().unwrap();
    let requests = [
        BASE,
        Request { account: Some(&account), ..BASE },
        Request { account: Some(&other), ..BASE },
        // Bytes moved from the end of one part to the start of the next make a difference.
        Request { account: Some(&other), method: "ePOST", ..BASE },
        Request { method: "POST/a", path: "/b", ..BASE },
        Request { path: "/a/bbody", body: b"", ..BASE },
        Request { path: "/a/b?c", ..BASE },
        Request { body: b"body2", ..BASE },
        Request { body: b"", ..BASE },
    ];
    let all: HashSet<Fingerprint> = requests.iter().map(Fingerprint::of).collect();
    assert_eq!(all.len(), requests.len());
    assert_eq!(Fingerprint::of(&BASE), Fingerprint::of(&Request { body: &[98, 111, 100, 121], ..BASE }));
}

#[test]
fn a_fingerprint_parses_from_its_text() {
    let fingerprint = Fingerprint::of(&BASE);
    let text = fingerprint.to_string();
    assert_eq!(text.len(), 32);
    assert_eq!(text.parse(), Ok(fingerprint));
    for wrong in ["", "12", &text[1..], &format!("{text}0"), &text.replace(&text[..1], "x"), &"ä".repeat(16)]
    {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
}
