//! Reading the parts of prompts.

use cottoncrank_fleet::prompt::{MAX_PARTS, parse_shared_parts};

fn names(text: &str) -> Vec<String> {
    parse_shared_parts(text).iter().map(|part| part.to_string()).collect()
}

#[test]
fn the_last_part_is_no_shared_one() {
    assert_eq!(names("5c1e07a2:800,91BD3f06:410,e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
    assert_eq!(names("5c1e07a2:800"), [""; 0]);
    assert_eq!(names(""), [""; 0]);
}

#[test]
fn invalid_and_repeated_parts_are_left_out() {
    assert_eq!(names("a1:3, b2 :4,zz:1,,:5,a1:9,c3,last:1"), ["a1", "b2", "c3"]);
    let long = "a".repeat(65);
    assert_eq!(names(&format!("{long}:1,b:2,c:3")), ["b"]);
}

#[test]
fn a_prompt_of_a_million_parts_costs_no_more_than_its_first_ones() {
    let text: Vec<String> = (0..1_000_000).map(|number| format!("{number:x}:1")).collect();
    let parts = parse_shared_parts(&text.join(","));
    assert_eq!(parts.len(), MAX_PARTS);
    assert_eq!(parts[MAX_PARTS - 1].as_str(), "1f");
}
