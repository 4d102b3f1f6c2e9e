//! Who asks, and on which terms: the headers of a caller's request.

use cottoncrank::view::{Account, View};
use cottoncrank::{Millis, id};
use cottoncrank_net::server::{HeaderMap, header};
use cottoncrank_net::trace::Context;

use crate::failure::{Cause, Failure};

/// The header with the caller's key of a request.
pub const KEY: &str = "x-cottoncrank-key";

/// The header that says `true` for a request that must not be repeated.
pub const ONCE: &str = "x-cottoncrank-once";

/// The header with the priority, 0 to 9, higher first.
pub const PRIORITY: &str = "x-cottoncrank-priority";

/// The header with the deadline, in milliseconds from now.
pub const DEADLINE: &str = "x-cottoncrank-deadline-ms";

/// The longest key, in bytes.
const KEY_MAX: usize = 128;

/// The priority of a request that names none.
const PRIORITY_DEFAULT: u8 = 5;

/// The terms of a request.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The request's id here.
    pub request: id::Request,
    /// The client account.
    pub account: id::Account,
    /// How many requests the account may have in flight on this entry.
    pub limit: usize,
    /// Its key, given by the caller.
    pub key: Option<String>,
    /// Whether it must not be repeated.
    pub once: bool,
    /// Its priority.
    pub priority: u8,
    /// When it is worthless.
    pub deadline: Millis,
    /// Its place in its trace.
    pub trace: Context,
}

/// Reads the terms out of the headers.
pub fn read_terms(
    headers: &HeaderMap,
    view: &View,
    request: id::Request,
    now: Millis,
    longest: Millis,
) -> Result<Terms, Failure> {
    let account = find_account(headers, view)?;
    let key = text(headers, KEY)?.map(str::to_owned);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_MAX) {
        return Err(malformed(format!("{KEY} has 1 to {KEY_MAX} characters")));
    }
    let once = match text(headers, ONCE)? {
        None | Some("false") => false,
        Some("true") => true,
        Some(other) => return Err(malformed(format!("{ONCE} is true or false, not `{other}`"))),
    };
    let priority = number(headers, PRIORITY)?.unwrap_or(u64::from(PRIORITY_DEFAULT));
    if priority > 9 {
        return Err(malformed(format!("{PRIORITY} is 0 to 9, not {priority}")));
    }
    let wait = number(headers, DEADLINE)?.map_or(longest, Millis).min(longest);
    Ok(Terms {
        request,
        account: account.id.clone(),
        limit: share_limit(account.limit, view.fleet),
        key,
        once,
        priority: priority as u8,
        deadline: now + wait,
        trace: Context::from_headers(headers, &mut rand::rng()),
    })
}

/// The part of a fleet-wide limit that falls to one node. The balancer spreads
/// unevenly, so each node may take twice its even part.
fn share_limit(limit: u32, nodes: usize) -> usize {
    let even = (limit as usize).div_ceil(nodes.max(1));
    (2 * even).min(limit as usize)
}

fn find_account<'a>(headers: &HeaderMap, view: &'a View) -> Result<&'a Account, Failure> {
    let given = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = given.and_then(|value| value.strip_prefix("Bearer "));
    let account = token.and_then(|token| view.accounts.iter().find(|account| account.token == token));
    account.ok_or(Failure::not_run(Cause::Token))
}

fn malformed(text: String) -> Failure {
    Failure::not_run(Cause::Malformed(text))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    match headers.get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(malformed(format!("{name} has characters that are not allowed"))),
    }
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Failure> {
    match text(headers, name)? {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(malformed(format!("{name} is a whole number, not `{text}`"))),
        },
    }
}
