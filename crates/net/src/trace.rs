//! Trace context across hops, in the `traceparent` header of the W3C recommendation Trace Context.

use std::fmt;
use std::str::FromStr;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rand::Rng;
use thiserror::Error;

/// The header that carries the context.
pub const HEADER: HeaderName = HeaderName::from_static("traceparent");

/// One span of a trace, on one hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    trace: u128,
    span: u64,
}

/// The error of a header that is not a trace context.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("not a traceparent")]
pub struct ContextError;

impl Context {
    /// Returns the context in the headers of a request, or a new trace if there is no valid one.
    pub fn from_headers(headers: &HeaderMap, rng: &mut impl Rng) -> Context {
        let received = headers.get(HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        received.unwrap_or_else(|| Context { trace: rng.random(), span: rng.random() })
    }

    /// Returns a new span of the same trace, a child of this one.
    pub fn child(self, rng: &mut impl Rng) -> Context {
        Context { span: rng.random(), ..self }
    }

    /// Inserts the context into the headers of a request to the next hop.
    pub fn insert_into(self, headers: &mut HeaderMap) {
        if let Ok(value) = HeaderValue::from_str(&self.to_string()) {
            headers.insert(HEADER, value);
        }
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}

impl FromStr for Context {
    type Err = ContextError;

    fn from_str(text: &str) -> Result<Context, ContextError> {
        let parts: Vec<&str> = text.split('-').collect();
        let [_, trace, span, _] = parts[..] else { return Err(ContextError) };
        if trace.len() != 32 || span.len() != 16 {
            return Err(ContextError);
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_| ContextError)?;
        let span = u64::from_str_radix(span, 16).map_err(|_| ContextError)?;
        Ok(Context { trace, span })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_context_survives_its_header() {
        let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
        assert_eq!(text.parse::<Context>().unwrap().to_string(), text);
        assert_eq!("00-1-2-01".parse::<Context>(), Err(ContextError));
    }
}
