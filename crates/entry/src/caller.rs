//! Reads the account and the options of a request from its headers.

use cottoncrank::view::{Account, View};
use cottoncrank::{Millis, id};
use cottoncrank_net::server::{HeaderMap, header};
use cottoncrank_net::trace::Context;

use crate::failure::{Cause, Failure};

/// The header with the idempotency key of a request.
pub const KEY_HEADER: &str = "x-cottoncrank-key";

/// The header that is `true` for a request that must not be retried.
pub const ONCE_HEADER: &str = "x-cottoncrank-once";

/// The header with the priority, from 0 to 9, highest first.
pub const PRIORITY_HEADER: &str = "x-cottoncrank-priority";

/// The header with the deadline, in milliseconds from the arrival of the request.
pub const DEADLINE_HEADER: &str = "x-cottoncrank-deadline-ms";

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The priority of a request without the header.
const DEFAULT_PRIORITY: u8 = 5;

/// The account, options and trace of a request.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// The id of the request on this entry.
    pub request: id::Request,
    /// The client account.
    pub account: id::Account,
    /// How many requests the account may have in flight on this entry.
    pub limit: usize,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Whether the request must not be retried.
    pub once: bool,
    /// The priority.
    pub priority: u8,
    /// The time after which the answer is of no use to the caller.
    pub deadline: Millis,
    /// The trace context.
    pub trace: Context,
}

/// Reads the context of a request from its headers.
pub fn read_context(
    headers: &HeaderMap,
    view: &View,
    request: id::Request,
    now: Millis,
    max_wait: Millis,
) -> Result<RequestContext, Failure> {
    let account = find_account(headers, view)?;
    let key = read_header(headers, KEY_HEADER)?.map(str::to_owned);
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(malformed(format!("{KEY_HEADER} has 1 to {MAX_KEY_BYTES} characters")));
    }
    let once = match read_header(headers, ONCE_HEADER)? {
        None | Some("false") => false,
        Some("true") => true,
        Some(other) => return Err(malformed(format!("{ONCE_HEADER} is true or false, not `{other}`"))),
    };
    let priority = read_number_header(headers, PRIORITY_HEADER)?.unwrap_or(u64::from(DEFAULT_PRIORITY));
    if priority > 9 {
        return Err(malformed(format!("{PRIORITY_HEADER} is 0 to 9, not {priority}")));
    }
    let wait = read_number_header(headers, DEADLINE_HEADER)?.map_or(max_wait, Millis).min(max_wait);
    Ok(RequestContext {
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

/// Returns the share of a fleet-wide limit for one node. Each node gets twice its even
/// share, because the load balancer does not spread requests evenly.
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

fn read_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    match headers.get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(malformed(format!("{name} has characters that are not allowed"))),
    }
}

fn read_number_header(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Failure> {
    match read_header(headers, name)? {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(malformed(format!("{name} is a whole number, not `{text}`"))),
        },
    }
}
