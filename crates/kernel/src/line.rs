//! Text of others in lines of a log: keys, names and values that may hold anything.

use std::fmt::{self, Write};

/// The longest message of a line, in bytes. What is cut off are mostly values of others, which have up to a megabyte.
const MAX_BYTES: usize = 4000;

/// A message as one line: control characters and those that change the order on a screen are escaped, and what is
/// too long is cut off.
///
/// ```
/// use std::fmt::Write;
///
/// let mut line = cottoncrank::line::Line::default();
/// write!(line, "store: `{}` is gone", "a\nb").unwrap();
/// assert_eq!(line.to_string(), r"store: `a\nb` is gone");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Line {
    text: String,
    /// The length of the whole message in bytes, before any escape.
    length: usize,
    is_cut: bool,
}

impl Line {
    /// Returns a message as a line.
    pub fn of(message: &fmt::Arguments) -> Line {
        let mut line = Line::default();
        // Only a value that cannot be formatted fails; the line then has what came before it.
        let _ = line.write_fmt(*message);
        line
    }
}

impl Write for Line {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        self.length += part.len();
        for c in part.chars() {
            if self.is_cut || self.text.len() >= MAX_BYTES {
                self.is_cut = true;
                break;
            }
            match is_plain(c) {
                true => self.text.push(c),
                false => self.text.extend(c.escape_default()),
            }
        }
        Ok(())
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.is_cut {
            true => write!(f, "{} ... (cut, {} bytes)", self.text, self.length),
            false => f.write_str(&self.text),
        }
    }
}

/// Whether a character stands for itself and leaves the others in their places.
fn is_plain(c: char) -> bool {
    let moves = matches!(
        c,
        '\u{61c}' | '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2060}'..='\u{206f}' | '\u{feff}'
    );
    !c.is_control() && !moves
}

/// A text of another writer between backticks, in which no backtick ends it.
#[derive(Clone, Copy, Debug)]
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('`')?;
        for c in self.0.chars() {
            match c {
                '`' | '\\' => write!(f, "\\{c}")?,
                c if is_plain(c) => f.write_char(c)?,
                c => write!(f, "{}", c.escape_default())?,
            }
        }
        f.write_char('`')
    }
}
