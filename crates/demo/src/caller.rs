//! A caller of the public API, as small as it can be.

use std::net::SocketAddr;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::client::{CallError, Client, json_headers, read_all};
use cottoncrank_net::server::{HeaderMap, Status, Verb, header};
use http_body_util::BodyExt;
use serde_json::{Value, json};

/// How long a caller waits.
const WAIT: Millis = Millis(30_000);

/// An answer with its status.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: Status,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: String,
}

impl Answer {
    /// The `outcome` of an error.
    pub fn outcome(&self) -> Option<String> {
        let body: Value = serde_json::from_str(&self.body).ok()?;
        Some(body["error"]["outcome"].as_str()?.to_owned())
    }
}

/// What came of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Streamed {
    /// The text of all pieces.
    pub text: String,
    /// Whether the stream ended as it should.
    pub whole: bool,
    /// The `outcome` of an error event.
    pub outcome: Option<String>,
}

/// The headers of a caller with `token`, and more of them.
pub fn headers(token: &str, more: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = json_headers();
    let mut put = |name, value: &str| {
        if let Ok(value) = value.parse() {
            headers.insert(header::HeaderName::from_static(name), value);
        }
    };
    put("authorization", &format!("Bearer {token}"));
    for (name, value) in more {
        put(name, value);
    }
    headers
}

/// Sends a request and reads the answer whole.
pub async fn call(
    client: &Client,
    entry: SocketAddr,
    verb: Verb,
    path: &str,
    headers: HeaderMap,
    body: String,
) -> Result<Answer, CallError> {
    let answer = client.send(entry, verb, path, headers, body.into(), WAIT).await?;
    let status = answer.status();
    let after = answer.headers().get(header::RETRY_AFTER).and_then(|after| after.to_str().ok()?.parse().ok());
    let bytes = read_all(entry, answer.into_body()).await?;
    Ok(Answer { status, retry_after: after, body: String::from_utf8_lossy(&bytes).into_owned() })
}

/// The body of a chat request to the demo's model.
pub fn chat(prompt: &str, tokens: u32, stream: bool) -> String {
    let messages = [json!({"role": "user", "content": prompt})];
    json!({"model": "tiny-1", "messages": messages, "max_tokens": tokens, "stream": stream}).to_string()
}

/// The prompt as the engine sees it.
pub fn engine_prompt(prompt: &str) -> String {
    format!("user: {prompt}\n")
}

/// Streams a chat; `on_piece` is called with the number of pieces so far.
pub async fn stream(
    client: &Client,
    entry: SocketAddr,
    headers: HeaderMap,
    body: String,
    mut on_piece: impl FnMut(usize),
) -> Result<Streamed, CallError> {
    let path = "/v1/chat/completions";
    let answer = client.send(entry, Verb::POST, path, headers, Bytes::from(body), WAIT).await?;
    let mut streamed = Streamed::default();
    if answer.status() != Status::OK {
        let bytes = read_all(entry, answer.into_body()).await?;
        let failed = Answer {
            status: Status::OK,
            retry_after: None,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        };
        streamed.outcome = failed.outcome();
        return Ok(streamed);
    }
    let mut body = answer.into_body();
    let (mut buffer, mut pieces) = (String::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Ok(streamed) };
        let Ok(data) = frame.into_data() else { continue };
        buffer.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, rest)) = buffer.split_once("\n\n") {
            let (event, rest) = (event.to_owned(), rest.to_owned());
            buffer = rest;
            take_event(&event, &mut streamed);
            pieces += 1;
            on_piece(pieces);
        }
    }
    Ok(streamed)
}

fn take_event(event: &str, streamed: &mut Streamed) {
    let failed = event.starts_with("event: error");
    let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or_default();
    if data == "[DONE]" {
        streamed.whole = true;
        return;
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else { return };
    if failed {
        streamed.outcome = value["error"]["outcome"].as_str().map(str::to_owned);
        return;
    }
    streamed.text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
}
