//! The caller's side of model requests: the OpenAI-style HTTP API.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::engine::Finish;
use cottoncrank::id;
use cottoncrank::outcome::Outcome;
use cottoncrank::wire::KeyedOutcome;
use cottoncrank_net::server::{Answer, Cut, Status, reply, reply_feed, reply_json};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc;

use crate::caller::Terms;
use crate::failure::{Cause, Failure};
use crate::keys::{Guard, KEEP_MAX};
use crate::relay::{Job, Piece, Relay};
use crate::state::{Admission, State};

/// Tokens generated when the caller names no number.
const TOKENS_DEFAULT: u32 = 256;

/// The most tokens a caller may ask for.
const TOKENS_MAX: u32 = 65_536;

/// Pieces that wait for a slow caller before the engine's stream is held back.
const DEPTH: usize = 32;

/// The two shapes of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Plain,
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

/// A model request as read.
pub struct Parsed {
    /// What is asked of the model.
    pub job: Job,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
}

/// Reads the body of a model request.
pub fn parse_job(shape: Shape, body: &[u8]) -> Result<Parsed, Failure> {
    let malformed = |text: String| Failure::not_run(Cause::Malformed(text));
    let ask: Ask = serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
    let prompt = match (shape, ask.messages, ask.prompt) {
        (Shape::Chat, Some(messages), None) => {
            let lines = messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
            lines.collect()
        }
        (Shape::Plain, None, Some(prompt)) => prompt,
        (Shape::Chat, ..) => {
            return Err(malformed("a chat request has `messages` and no `prompt`".to_owned()));
        }
        (Shape::Plain, ..) => {
            return Err(malformed("a completion has `prompt` and no `messages`".to_owned()));
        }
    };
    let max_tokens = ask.max_tokens.unwrap_or(TOKENS_DEFAULT);
    if max_tokens == 0 || max_tokens > TOKENS_MAX {
        return Err(malformed(format!("`max_tokens` is 1 to {TOKENS_MAX}, not {max_tokens}")));
    }
    let model = ask.model.parse().map_err(|error: id::IdError| malformed(error.to_string()))?;
    Ok(Parsed { job: Job { model, prompt, max_tokens }, stream: ask.stream })
}

/// The models that an account may use.
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

/// Runs an admitted request and answers its caller.
pub async fn run(
    state: Arc<State>,
    admission: Admission,
    guard: Guard,
    terms: Terms,
    shape: Shape,
    parsed: Parsed,
) -> Answer {
    let writer = Writer::new(shape, terms.request, parsed.job.model.clone());
    let mut relay = Relay::new(state, terms, parsed.job);
    // Everything that can be tried again without the caller's notice comes
    // before the first piece, so a failure up to here has a status of its own.
    let first = match relay.next().await {
        Ok(first) => first,
        Err(failure) => {
            guard.close(record_failure(&failure)).await;
            return failure.answer(writer.request);
        }
    };
    if !parsed.stream {
        return run_whole(admission, guard, relay, first, &writer).await;
    }
    let (sender, mut answer) = reply_feed(Status::OK, "text/event-stream", DEPTH);
    writer.mark(&mut answer);
    tokio::spawn(pump(admission, guard, relay, first, writer, sender));
    answer
}

fn record_failure(failure: &Failure) -> KeyedOutcome {
    match failure.outcome {
        Outcome::NotRun => KeyedOutcome::NotRun,
        Outcome::MayHaveRun | Outcome::PartlyAnswered => KeyedOutcome::MayHaveRun,
    }
}

async fn run_whole(
    admission: Admission,
    guard: Guard,
    mut relay: Relay,
    first: Option<Piece>,
    writer: &Writer,
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
                // Nothing of it has reached the caller yet.
                if failure.outcome == Outcome::PartlyAnswered {
                    failure.outcome = Outcome::MayHaveRun;
                }
                guard.close(record_failure(&failure)).await;
                return failure.answer(writer.request);
            }
        }
        next = relay.next().await;
    }
    drop(admission);
    let body = writer.whole(&text, finish, relay.delivered());
    let kept = (body.len() <= KEEP_MAX).then(|| body.clone());
    guard
        .close(KeyedOutcome::Answered { status: 200, kind: "application/json".to_owned(), body: kept })
        .await;
    let mut answer = reply(Status::OK, "application/json", body);
    writer.mark(&mut answer);
    answer
}

/// Passes a stream on until it ends, fails, or its caller has left.
async fn pump(
    admission: Admission,
    guard: Guard,
    mut relay: Relay,
    first: Option<Piece>,
    writer: Writer,
    sender: mpsc::Sender<Result<Bytes, Cut>>,
) {
    let mut next: Result<Option<Piece>, Failure> = Ok(first);
    let recorded = loop {
        let last = !matches!(next, Ok(Some(_)));
        let event = match &next {
            Ok(Some(piece)) => writer.event(piece),
            Ok(None) => Bytes::from_static(b"data: [DONE]\n\n"),
            Err(failure) => writer.error(failure),
        };
        if sender.send(Ok(event)).await.is_err() {
            log::info!("relay: request {:016x}: its caller left", writer.request.0);
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
    // The engine's stream is dropped first: a caller that left stops the work.
    drop(relay);
    guard.close(recorded).await;
    drop(admission);
}

/// Writes answers in the shape of the API.
struct Writer {
    shape: Shape,
    request: id::Request,
    model: id::Model,
    /// An event up to its text.
    head: String,
    /// An event between its text and the reason for its end.
    middle: &'static str,
}

/// Room for what follows the text of an event.
const TAIL_MAX: usize = 64;

/// Writes a value as JSON; plain data into memory has no way to fail.
fn write_json<T: Serialize>(out: &mut Vec<u8>, value: &T) {
    if let Err(error) = serde_json::to_writer(out, value) {
        log::error!("api: {error}");
    }
}

fn write_id(request: id::Request) -> String {
    format!("cmpl-{:016x}", request.0)
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

impl Writer {
    fn new(shape: Shape, request: id::Request, model: id::Model) -> Writer {
        let (object, open, middle) = match shape {
            Shape::Chat => ("chat.completion.chunk", r#""delta":{"content":"#, r#"},"finish_reason":"#),
            Shape::Plain => ("text_completion", r#""text":"#, r#","finish_reason":"#),
        };
        let id = write_id(request);
        // A model's name has no character that JSON would escape.
        let head = format!(
            r#"data: {{"id":"{id}","object":"{object}","model":"{model}","choices":[{{"index":0,{open}"#
        );
        Writer { shape, request, model, head, middle }
    }

    fn id(&self) -> String {
        write_id(self.request)
    }

    fn mark(&self, answer: &mut Answer) {
        let name = cottoncrank_net::server::header::HeaderName::from_static("x-cottoncrank-request");
        if let Ok(value) = format!("{:016x}", self.request.0).parse() {
            answer.headers_mut().insert(name, value);
        }
    }

    /// One server-sent event. What is the same for all events of a stream is
    /// written once, in [`Writer::new`].
    fn event(&self, piece: &Piece) -> Bytes {
        let mut event = Vec::with_capacity(self.head.len() + piece.text.len() + TAIL_MAX);
        event.extend_from_slice(self.head.as_bytes());
        write_json(&mut event, &piece.text);
        event.extend_from_slice(self.middle.as_bytes());
        write_json(&mut event, &piece.finish);
        event.extend_from_slice(b"}]}\n\n");
        event.into()
    }

    /// The event of a stream that ends before its answer is whole.
    fn error(&self, failure: &Failure) -> Bytes {
        failure.count();
        let body = serde_json::to_string(&failure.body(self.request)).unwrap_or_default();
        format!("event: error\ndata: {body}\n\n").into()
    }

    fn whole(&self, text: &str, finish: Option<Finish>, tokens: u32) -> Vec<u8> {
        let choice = match self.shape {
            Shape::Chat => {
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish})
            }
            Shape::Plain => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.shape {
            Shape::Chat => "chat.completion",
            Shape::Plain => "text_completion",
        };
        let usage = Usage { completion_tokens: tokens };
        let whole = json!({
            "id": self.id(), "object": object, "model": self.model.as_str(), "choices": [choice], "usage": usage
        });
        whole.to_string().into_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_are_the_json_they_should_be() {
        let piece = Piece { text: "a \"b\"\n".to_owned(), tokens: 1, finish: Some(Finish::Stop) };
        for (shape, at) in [(Shape::Chat, "/choices/0/delta/content"), (Shape::Plain, "/choices/0/text")] {
            let writer = Writer::new(shape, id::Request(7), "m-1".parse().unwrap());
            let event = writer.event(&piece);
            let text = std::str::from_utf8(&event).unwrap();
            let data = text.strip_prefix("data: ").unwrap().strip_suffix("\n\n").unwrap();
            let value: serde_json::Value = serde_json::from_str(data).unwrap();
            assert_eq!(value.pointer(at).unwrap(), "a \"b\"\n");
            assert_eq!(value.pointer("/choices/0/finish_reason").unwrap(), "stop");
            assert_eq!(value["id"], "cmpl-0000000000000007");
        }
    }
}
