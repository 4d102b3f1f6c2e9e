//! The OpenAI-style HTTP API for model requests.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::engine::Finish;
use cottoncrank::outcome::Outcome;
use cottoncrank::wire::KeyedOutcome;
use cottoncrank::{Size, id};
use cottoncrank_net::feed;
use cottoncrank_net::intake::LARGE_ANSWER;
use cottoncrank_net::resources::{Charge, hold};
use cottoncrank_net::server::{Answer, Status, reply, reply_feed, reply_json};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::caller::RequestContext;
use crate::failure::{Cause, Failure};
use crate::keys::{Guard, MAX_KEPT_BYTES};
use crate::relay::{Job, Piece, Relay};
use crate::state::{Served, State};

/// Default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The largest accepted `max_tokens`.
const MAX_TOKENS_LIMIT: u32 = 65_536;

/// Pieces buffered for a slow caller before backpressure stops reading from the engine.
const STREAM_BUFFER: usize = 32;

/// The endpoints of the API that run a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
    messages: Option<Vec<Message>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// A parsed model request.
pub struct ParsedRequest {
    /// The work for the model.
    pub job: Job,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

/// Parses the body of a model request.
pub fn parse_request(endpoint: Endpoint, body: &[u8]) -> Result<ParsedRequest, Failure> {
    let malformed = |text: String| Failure::not_run(Cause::Malformed(text));
    let request: Ask = serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
    let prompt = match (endpoint, request.messages, request.prompt) {
        (Endpoint::Chat, Some(messages), None) => {
            let lines = messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
            lines.collect()
        }
        (Endpoint::Completion, None, Some(prompt)) => prompt,
        (Endpoint::Chat, ..) => {
            return Err(malformed("a chat request has `messages` and no `prompt`".to_owned()));
        }
        (Endpoint::Completion, ..) => {
            return Err(malformed("a completion has `prompt` and no `messages`".to_owned()));
        }
    };
    let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > MAX_TOKENS_LIMIT {
        return Err(malformed(format!("`max_tokens` is 1 to {MAX_TOKENS_LIMIT}, not {max_tokens}")));
    }
    let model = request.model.parse().map_err(|error: id::IdError| malformed(error.to_string()))?;
    Ok(ParsedRequest { job: Job { model, prompt, max_tokens }, stream: request.stream })
}

/// Lists the models that an account may use.
pub fn list_models(state: &State, account: &id::Account) -> Answer {
    let view = state.view();
    let groups = view.groups.iter().filter(|g| g.accounts.is_empty() || g.accounts.contains(account));
    let mut models: Vec<&id::Model> = groups.map(|group| &group.model).collect();
    models.sort_unstable();
    models.dedup();
    let data: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model.as_str(), "object": "model", "owned_by": "cottoncrank"}))
        .collect();
    reply_json(Status::OK, &json!({"object": "list", "data": data}))
}

/// Runs an admitted request and returns the answer for its caller.
pub async fn run(
    state: Arc<State>,
    served: Served,
    guard: Guard,
    context: RequestContext,
    endpoint: Endpoint,
    parsed: ParsedRequest,
) -> Answer {
    let writer = ResponseWriter::new(endpoint, context.request, parsed.job.model.clone());
    let mut relay = Relay::new(state, context, parsed.job);
    // The answer starts only after the first piece. Earlier failures are retried without
    // the caller noticing, and a final one can still be reported with its own HTTP status.
    let first = match relay.next().await {
        Ok(first) => first,
        Err(failure) => {
            guard.close(record_failure(&failure)).await;
            return failure.answer(writer.request);
        }
    };
    if !parsed.stream {
        return run_buffered(served, guard, relay, first, &writer).await;
    }
    let (sender, mut answer) = reply_feed(Status::OK, "text/event-stream", STREAM_BUFFER);
    writer.set_request_header(&mut answer);
    tokio::spawn(forward_stream(served, guard, relay, first, writer, sender));
    answer
}

fn record_failure(failure: &Failure) -> KeyedOutcome {
    match failure.outcome {
        Outcome::NotRun => KeyedOutcome::NotRun,
        Outcome::MayHaveRun | Outcome::PartlyAnswered => KeyedOutcome::MayHaveRun,
    }
}

async fn run_buffered(
    served: Served,
    guard: Guard,
    mut relay: Relay,
    first: Option<Piece>,
    writer: &ResponseWriter,
) -> Answer {
    let mut text = String::new();
    let mut finish = None;
    let mut next: Result<Option<Piece>, Failure> = Ok(first);
    loop {
        match next {
            Ok(Some(piece)) => {
                text.push_str(&piece.text);
                finish = piece.finish;
            }
            Ok(None) => break,
            Err(mut failure) => {
                // The pieces so far were only buffered, so the caller has received nothing.
                if failure.outcome == Outcome::PartlyAnswered {
                    failure.outcome = Outcome::MayHaveRun;
                }
                guard.close(record_failure(&failure)).await;
                return failure.answer(writer.request);
            }
        }
        next = relay.next().await;
    }
    let body = writer.build_response(&text, finish, relay.delivered());
    let kept = (body.len() <= MAX_KEPT_BYTES).then(|| body.clone());
    guard
        .close(KeyedOutcome::Answered { status: 200, kind: "application/json".to_owned(), body: kept })
        .await;
    let mut answer = reply(Status::OK, "application/json", hold_large(body, &served.room).await);
    writer.set_request_header(&mut answer);
    answer
}

/// Holds a large answer with the room that it takes, until its caller has taken it.
async fn hold_large(body: Vec<u8>, room: &Charge) -> Bytes {
    let size = Size(body.len());
    match size > LARGE_ANSWER {
        true => hold(body, room.reserve_answer(size).await.offer()),
        false => body.into(),
    }
}

/// Forwards a stream until it ends, fails, or the caller disconnects.
async fn forward_stream(
    served: Served,
    guard: Guard,
    mut relay: Relay,
    first: Option<Piece>,
    writer: ResponseWriter,
    sender: feed::Sender,
) {
    let mut next: Result<Option<Piece>, Failure> = Ok(first);
    let recorded = loop {
        let last = !matches!(next, Ok(Some(_)));
        let event = match &next {
            Ok(Some(piece)) => writer.build_event(piece),
            Ok(None) => Bytes::from_static(b"data: [DONE]\n\n"),
            Err(failure) => writer.build_error_event(failure),
        };
        if sender.send(event).await.is_err() {
            log::info!("relay: request {:016x}: the caller disconnected", writer.request.0);
            break KeyedOutcome::MayHaveRun;
        }
        if last {
            break match &next {
                Err(failure) => record_failure(failure),
                Ok(_) => {
                    KeyedOutcome::Answered { status: 200, kind: "text/event-stream".to_owned(), body: None }
                }
            };
        }
        next = tokio::select! {
            next = relay.next() => next,
            () = sender.closed() => continue,
        };
    };
    // Dropping the relay first closes the engine's stream, which stops generation for a
    // caller that has disconnected.
    drop(relay);
    guard.close(recorded).await;
    drop(served);
    // A failure is told by the last event, so the body is complete then too.
    sender.finish();
}

/// Encodes answers in the format of an endpoint.
struct ResponseWriter {
    endpoint: Endpoint,
    request: id::Request,
    model: id::Model,
    /// The part of an event before its text.
    prefix: String,
    /// The part of an event between its text and the finish reason.
    infix: &'static str,
}

/// Buffer capacity for the part of an event after its text, in bytes.
const SUFFIX_CAPACITY: usize = 64;

/// Appends a value as JSON. Serializing plain data into memory is not expected to fail.
fn write_json<T: Serialize>(out: &mut Vec<u8>, value: &T) {
    if let Err(error) = serde_json::to_writer(out, value) {
        log::error!("api: cannot encode JSON: {error}");
    }
}

fn format_request_id(request: id::Request) -> String {
    format!("cmpl-{:016x}", request.0)
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

impl ResponseWriter {
    fn new(endpoint: Endpoint, request: id::Request, model: id::Model) -> ResponseWriter {
        let (object, open, infix) = match endpoint {
            Endpoint::Chat => ("chat.completion.chunk", r#""delta":{"content":"#, r#"},"finish_reason":"#),
            Endpoint::Completion => ("text_completion", r#""text":"#, r#","finish_reason":"#),
        };
        let id = format_request_id(request);
        // Model names contain no characters that JSON has to escape.
        let prefix = format!(
            r#"data: {{"id":"{id}","object":"{object}","model":"{model}","choices":[{{"index":0,{open}"#
        );
        ResponseWriter { endpoint, request, model, prefix, infix }
    }

    fn id(&self) -> String {
        format_request_id(self.request)
    }

    fn set_request_header(&self, answer: &mut Answer) {
        let name = cottoncrank_net::server::header::HeaderName::from_static("x-cottoncrank-request");
        if let Ok(value) = format!("{:016x}", self.request.0).parse() {
            answer.headers_mut().insert(name, value);
        }
    }

    /// Encodes a piece as a server-sent event. The parts common to all events of a stream
    /// are encoded once, in [`ResponseWriter::new`].
    fn build_event(&self, piece: &Piece) -> Bytes {
        let mut event = Vec::with_capacity(self.prefix.len() + piece.text.len() + SUFFIX_CAPACITY);
        event.extend_from_slice(self.prefix.as_bytes());
        write_json(&mut event, &piece.text);
        event.extend_from_slice(self.infix.as_bytes());
        write_json(&mut event, &piece.finish);
        event.extend_from_slice(b"}]}\n\n");
        event.into()
    }

    /// Encodes the final event of a stream that failed before its answer was complete.
    fn build_error_event(&self, failure: &Failure) -> Bytes {
        failure.count();
        let body = serde_json::to_string(&failure.body(self.request)).unwrap_or_default();
        format!("event: error\ndata: {body}\n\n").into()
    }

    fn build_response(&self, text: &str, finish: Option<Finish>, tokens: u32) -> Vec<u8> {
        let choice = match self.endpoint {
            Endpoint::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish})
            }
            Endpoint::Completion => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion",
            Endpoint::Completion => "text_completion",
        };
        let usage = Usage { completion_tokens: tokens };
        let response = json!({
            "id": self.id(), "object": object, "model": self.model.as_str(), "choices": [choice], "usage": usage
        });
        response.to_string().into_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_valid_json_with_text_and_finish_reason() {
        let piece = Piece { text: "a \"b\"\n".to_owned(), tokens: 1, finish: Some(Finish::Stop) };
        for (endpoint, at) in
            [(Endpoint::Chat, "/choices/0/delta/content"), (Endpoint::Completion, "/choices/0/text")]
        {
            let writer = ResponseWriter::new(endpoint, id::Request(7), "m-1".parse().unwrap());
            let event = writer.build_event(&piece);
            let text = std::str::from_utf8(&event).unwrap();
            let data = text.strip_prefix("data: ").unwrap().strip_suffix("\n\n").unwrap();
            let value: serde_json::Value = serde_json::from_str(data).unwrap();
            assert_eq!(value.pointer(at).unwrap(), "a \"b\"\n");
            assert_eq!(value.pointer("/choices/0/finish_reason").unwrap(), "stop");
            assert_eq!(value["id"], "cmpl-0000000000000007");
        }
    }
}
