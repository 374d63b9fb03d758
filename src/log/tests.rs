use std::io::Write;

use super::LineBuffer;

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let buffer = LineBuffer::new(10);
    for line in ["first\n", "second\n", "3\n"] {
        (&buffer).write_all(line.as_bytes()).expect("writing to memory works");
    }
    let mut out = Vec::new();
    buffer.flush_to(&mut out).expect("writing to memory works");
    let out = String::from_utf8(out).expect("lines are text");
    assert!(out.contains("\"count\":1"), "{out}");
    assert!(out.ends_with("first\n3\n"), "{out}");
}
