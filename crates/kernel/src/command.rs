//! The operators' query and command language.
//!
//! ```text
//! create domain D hall H
//! create runner R domain D address IP:PORT [fence checked|unchecked]
//! create group G domain D model M size N [accounts A,B]
//! create service S addresses IP:PORT,IP:PORT
//! create account A token T [share N] [limit N]
//! delete KIND NAME
//! drain runner R | undrain runner R
//! show KINDS [where COLUMN VALUE] [order COLUMN] [columns A,B]
//! explain group G | explain runner R
//! plan COMMAND
//! ```
//!
//! A change may end in `if revision N`; it is rejected unless N is the current revision.
//! Words with blanks are put in double quotes. `#` starts a comment.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

use crate::config::{Entry, Fence, Key, Kind};
use crate::id;

/// A parsed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Change the configuration.
    Change(Change),
    /// Show the effect of a change without making it.
    Plan(Change),
    /// Show a list.
    Show(Show),
    /// Explain the state of a group or runner.
    Explain(Target),
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The operation.
    pub verb: Verb,
    /// The required current revision, if any.
    pub condition: Option<id::Revision>,
}

/// The operation of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Add an entry.
    Create(Key, Entry),
    /// Delete an entry.
    Delete(Key),
    /// Drain a runner, or end its drain.
    Drain {
        /// The runner.
        runner: id::Runner,
        /// True to drain it, false to end the drain.
        drained: bool,
    },
}

/// A query for a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    /// The subject of the list.
    pub subject: Subject,
    /// Show only the rows in which this column has this value.
    pub filter: Option<(String, String)>,
    /// Sort by this column.
    pub order: Option<String>,
    /// Show only these columns; empty for all.
    pub columns: Vec<String>,
}

/// The subject of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Groups, with their assignment and their state.
    Groups,
    /// Runners.
    Runners,
    /// Nodes of the fleet.
    Nodes,
    /// Plain services.
    Services,
    /// Client accounts.
    Accounts,
    /// Fabric domains.
    Domains,
    /// Data halls.
    Halls,
}

/// The subject of an explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A group.
    Group(id::Group),
    /// A runner.
    Runner(id::Runner),
}

/// A syntax error. The message points at the word that is wrong.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct CommandError {
    /// The line.
    pub line: String,
    /// The offset of the word in bytes.
    pub offset: usize,
    /// The problem with the word.
    pub problem: Problem,
}

/// A problem with a word.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Problem {
    /// The line ends too early.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A different word is expected.
    #[error("expected {0}")]
    Expected(&'static str),
    /// The word is not a valid value.
    #[error("{0}")]
    InvalidValue(String),
    /// Words follow a complete command.
    #[error("unexpected text after the command")]
    TrailingWords,
    /// A quote is not closed, or a character is invalid.
    #[error("unclosed quote or invalid character")]
    InvalidWord,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.line)?;
        let column = self.line[..self.offset].chars().count();
        write!(f, "{:column$}^ {}", "", self.problem)
    }
}

#[derive(Clone, Copy, Debug)]
struct Word<'a> {
    text: &'a str,
    offset: usize,
}

fn parse_word<'a>(input: &mut LocatingSlice<&'a str>) -> ModalResult<Word<'a>> {
    let quoted = delimited('"', take_while(0.., |c| c != '"'), '"');
    let plain = take_while(1.., |c: char| !c.is_whitespace() && c != '"' && c != '#');
    alt((quoted, plain)).with_span().map(|(text, span)| Word { text, offset: span.start }).parse_next(input)
}

fn split_words(line: &str) -> Result<Vec<Word<'_>>, CommandError> {
    let mut input = LocatingSlice::new(line);
    let words: ModalResult<Vec<Word>> = repeat(0.., preceded(multispace0, parse_word)).parse_next(&mut input);
    let words = words.unwrap_or_default();
    let rest = input.trim_start();
    if rest.is_empty() || rest.starts_with('#') {
        return Ok(words);
    }
    Err(CommandError {
        line: line.to_owned(),
        offset: line.len() - rest.len(),
        problem: Problem::InvalidWord,
    })
}

/// A word that no line can hold, as a quoted one ends at the next quote and a line at its break.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("a word cannot have a double quote or a line break: {0:?}")]
pub struct UnspeakableWord(String);

/// Returns the line of which these are the words.
pub fn join_words(words: &[String]) -> Result<String, UnspeakableWord> {
    let quoted: Result<Vec<String>, _> = words.iter().map(|word| quote(word)).collect();
    Ok(quoted?.join(" "))
}

fn quote(word: &str) -> Result<String, UnspeakableWord> {
    let is_plain = |c: char| !c.is_whitespace() && c != '#';
    match word {
        _ if word.contains(['"', '\n', '\r']) => Err(UnspeakableWord(word.to_owned())),
        _ if word.is_empty() || !word.chars().all(is_plain) => Ok(format!("\"{word}\"")),
        _ => Ok(word.to_owned()),
    }
}

struct Cursor<'a> {
    line: &'a str,
    words: Vec<Word<'a>>,
    position: usize,
}

impl<'a> Cursor<'a> {
    fn error(&self, index: usize, problem: Problem) -> CommandError {
        let offset = self.words.get(index).map_or(self.line.len(), |word| word.offset);
        CommandError { line: self.line.to_owned(), offset, problem }
    }

    fn peek(&self) -> Option<&'a str> {
        self.words.get(self.position).map(|word| word.text)
    }

    fn next_text(&mut self, what: &'static str) -> Result<&'a str, CommandError> {
        let text = self.peek().ok_or_else(|| self.error(self.position, Problem::Missing(what)))?;
        self.position += 1;
        Ok(text)
    }

    fn parse_value<T: FromStr<Err: fmt::Display>>(&mut self, what: &'static str) -> Result<T, CommandError> {
        let text = self.next_text(what)?;
        text.parse().map_err(|e: T::Err| self.error(self.position - 1, Problem::InvalidValue(e.to_string())))
    }

    fn parse_list<T: FromStr<Err: fmt::Display>>(
        &mut self,
        what: &'static str,
    ) -> Result<Vec<T>, CommandError> {
        let text = self.next_text(what)?;
        let parsed: Result<Vec<T>, T::Err> = text.split(',').map(str::parse).collect();
        parsed.map_err(|e| self.error(self.position - 1, Problem::InvalidValue(e.to_string())))
    }

    fn expect_keyword(&mut self, word: &'static str) -> Result<(), CommandError> {
        if self.accept_keyword(word) {
            return Ok(());
        }
        Err(match self.peek() {
            Some(_) => self.error(self.position, Problem::Expected(word)),
            None => self.error(self.position, Problem::Missing(word)),
        })
    }

    fn accept_keyword(&mut self, word: &str) -> bool {
        let found = self.peek() == Some(word);
        self.position += usize::from(found);
        found
    }

    fn expect_end(&self) -> Result<(), CommandError> {
        match self.peek() {
            None => Ok(()),
            Some(_) => Err(self.error(self.position, Problem::TrailingWords)),
        }
    }
}

/// Parses one line. Returns `None` if it is empty or a comment.
pub fn parse_line(line: &str) -> Result<Option<Command>, CommandError> {
    let mut cursor = Cursor { line, words: split_words(line)?, position: 0 };
    if cursor.words.is_empty() {
        return Ok(None);
    }
    let command = parse_command(&mut cursor)?;
    cursor.expect_end()?;
    Ok(Some(command))
}

fn parse_command(cursor: &mut Cursor) -> Result<Command, CommandError> {
    if cursor.accept_keyword("show") {
        return parse_show(cursor).map(Command::Show);
    }
    if cursor.accept_keyword("explain") {
        return parse_target(cursor).map(Command::Explain);
    }
    if cursor.accept_keyword("plan") {
        return parse_change(cursor).map(Command::Plan);
    }
    parse_change(cursor).map(Command::Change)
}

fn parse_change(cursor: &mut Cursor) -> Result<Change, CommandError> {
    let verb = parse_verb(cursor)?;
    let condition = match cursor.accept_keyword("if") {
        true => {
            cursor.expect_keyword("revision")?;
            Some(cursor.parse_value("a revision")?)
        }
        false => None,
    };
    Ok(Change { verb, condition })
}

fn parse_verb(cursor: &mut Cursor) -> Result<Verb, CommandError> {
    const VERBS: &str = "create, delete, drain, undrain, show, explain or plan";
    match cursor.next_text("a command")? {
        "create" => parse_create(cursor),
        "delete" => {
            let kind: Kind = cursor.parse_value("a kind")?;
            Ok(Verb::Delete(Key::new(kind, cursor.next_text("a name")?)))
        }
        verb @ ("drain" | "undrain") => {
            cursor.expect_keyword("runner")?;
            Ok(Verb::Drain { runner: cursor.parse_value("a runner")?, drained: verb == "drain" })
        }
        _ => Err(cursor.error(cursor.position - 1, Problem::Expected(VERBS))),
    }
}

fn parse_create(cursor: &mut Cursor) -> Result<Verb, CommandError> {
    let kind: Kind = cursor.parse_value("a kind")?;
    // The same rules apply to the names of all kinds.
    let name: id::Group = cursor.parse_value("a name")?;
    let entry = match kind {
        Kind::Domain => {
            cursor.expect_keyword("hall")?;
            Entry::Domain { hall: cursor.parse_value("a hall")? }
        }
        Kind::Runner => parse_runner(cursor)?,
        Kind::Group => parse_group(cursor)?,
        Kind::Service => {
            cursor.expect_keyword("addresses")?;
            Entry::Service { addresses: cursor.parse_list("addresses")? }
        }
        Kind::Account => parse_account(cursor)?,
    };
    Ok(Verb::Create(Key::new(kind, name), entry))
}

fn parse_runner(cursor: &mut Cursor) -> Result<Entry, CommandError> {
    cursor.expect_keyword("domain")?;
    let domain = cursor.parse_value("a domain")?;
    cursor.expect_keyword("address")?;
    let address = cursor.parse_value("an address")?;
    let fence = match cursor.accept_keyword("fence") {
        false => Fence::Checked,
        true => match cursor.next_text("checked or unchecked")? {
            "checked" => Fence::Checked,
            "unchecked" => Fence::Unchecked,
            _ => return Err(cursor.error(cursor.position - 1, Problem::Expected("checked or unchecked"))),
        },
    };
    Ok(Entry::Runner { domain, address, fence, drained: false })
}

fn parse_group(cursor: &mut Cursor) -> Result<Entry, CommandError> {
    cursor.expect_keyword("domain")?;
    let domain = cursor.parse_value("a domain")?;
    cursor.expect_keyword("model")?;
    let model = cursor.parse_value("a model")?;
    cursor.expect_keyword("size")?;
    let size = cursor.parse_value("a size")?;
    let accounts = match cursor.accept_keyword("accounts") {
        true => cursor.parse_list("accounts")?,
        false => Vec::new(),
    };
    Ok(Entry::Group { domain, model, size, accounts })
}

/// The default limit of an account's requests in flight.
const DEFAULT_LIMIT: u32 = 1000;

fn parse_account(cursor: &mut Cursor) -> Result<Entry, CommandError> {
    cursor.expect_keyword("token")?;
    let token = cursor.next_text("a token")?.to_owned();
    let share = if cursor.accept_keyword("share") { cursor.parse_value("a share")? } else { 1 };
    let limit = if cursor.accept_keyword("limit") { cursor.parse_value("a limit")? } else { DEFAULT_LIMIT };
    Ok(Entry::Account { token, share, limit })
}

fn parse_show(cursor: &mut Cursor) -> Result<Show, CommandError> {
    const SUBJECTS: &str = "groups, runners, nodes, services, accounts, domains or halls";
    let subject = match cursor.next_text(SUBJECTS)? {
        "groups" => Subject::Groups,
        "runners" | "boxes" => Subject::Runners,
        "nodes" => Subject::Nodes,
        "services" => Subject::Services,
        "accounts" => Subject::Accounts,
        "domains" => Subject::Domains,
        "halls" => Subject::Halls,
        _ => return Err(cursor.error(cursor.position - 1, Problem::Expected(SUBJECTS))),
    };
    let filter = match cursor.accept_keyword("where") {
        true => Some((cursor.next_text("a column")?.to_owned(), cursor.next_text("a value")?.to_owned())),
        false => None,
    };
    let order = match cursor.accept_keyword("order") {
        true => Some(cursor.next_text("a column")?.to_owned()),
        false => None,
    };
    let columns = match cursor.accept_keyword("columns") {
        true => cursor.parse_list("columns")?,
        false => Vec::new(),
    };
    Ok(Show { subject, filter, order, columns })
}

fn parse_target(cursor: &mut Cursor) -> Result<Target, CommandError> {
    match cursor.next_text("group or runner")? {
        "group" => Ok(Target::Group(cursor.parse_value("a group")?)),
        "runner" | "box" => Ok(Target::Runner(cursor.parse_value("a runner")?)),
        _ => Err(cursor.error(cursor.position - 1, Problem::Expected("group or runner"))),
    }
}

/// Returns the key and the new entry of a change; the entry is `None` to delete it.
pub fn resolve_verb(
    verb: &Verb,
    config: &crate::config::Document,
) -> Result<(Key, Option<Entry>), crate::config::ChangeError> {
    use crate::config::ChangeError;
    match verb {
        Verb::Create(key, entry) => match config.get(key) {
            Some(_) => Err(ChangeError::Exists(key.to_string())),
            None => Ok((key.clone(), Some(entry.clone()))),
        },
        Verb::Delete(key) => Ok((key.clone(), None)),
        Verb::Drain { runner, drained } => {
            let key = Key::new(Kind::Runner, runner);
            match config.get(&key) {
                Some(Entry::Runner { domain, address, fence, .. }) => {
                    let entry = Entry::Runner {
                        domain: domain.clone(),
                        address: *address,
                        fence: *fence,
                        drained: *drained,
                    };
                    Ok((key, Some(entry)))
                }
                _ => Err(ChangeError::Missing(key.to_string())),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    #[test]
    fn errors_point_at_the_word() {
        let error = parse_line("create group g1 domain d1 model m size many").unwrap_err();
        assert_eq!(error.offset, 39);
        let error = parse_line("show grups").unwrap_err();
        assert_eq!(
            (error.offset, &error.problem),
            (5, &Problem::Expected("groups, runners, nodes, services, accounts, domains or halls"))
        );
        let error = parse_line("drain runner").unwrap_err();
        assert_eq!((error.offset, error.problem), (12, Problem::Missing("a runner")));
        let error = parse_line("drain runner r1 now").unwrap_err();
        assert_eq!((error.offset, error.problem), (16, Problem::TrailingWords));
        assert_matches!(
            parse_line("delete runner \"r1"),
            Err(CommandError { offset: 14, problem: Problem::InvalidWord, .. })
        );
    }

    #[test]
    fn commands_are_parsed() {
        let line = "create runner r1 domain d1 address 10.0.0.1:9000 fence unchecked if revision 7 # note";
        let Ok(Some(Command::Change(change))) = parse_line(line) else { panic!("no change") };
        assert_eq!(change.condition, Some(id::Revision(7)));
        assert_matches!(change.verb, Verb::Create(_, Entry::Runner { fence: Fence::Unchecked, .. }));
        assert_matches!(parse_line("plan drain runner r1"), Ok(Some(Command::Plan(_))));
        let show = parse_line("show runners where domain d1 order name columns name,stage").unwrap();
        assert_matches!(show, Some(Command::Show(Show { filter: Some(_), order: Some(_), columns, .. })) if columns.len() == 2);
        assert_eq!(parse_line("  # only a comment"), Ok(None));
    }
}
