//! HTTP server of the controller for peers, the entry of this box, and operators.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::wire::{Command, Exchange, MAX_EXCHANGE_BYTES, PackedExchange};
use cottoncrank_net::server::{
    Answer, BodyError, Head, Incoming, Service, Status, read_body, read_message, reply, reply_body_error,
    reply_json, reply_message, reply_not_found,
};

use crate::operate::{execute, list_hall_runners};
use crate::state::State;
use crate::views::wait_for_view;

/// Longest time a long poll for a view stays open. Shorter than the time after which
/// an entry considers its view stale.
const VIEW_POLL_TIMEOUT: Millis = Millis(1000);

/// The largest command or batch of commands, in bytes.
const MAX_COMMAND_BYTES: usize = 1 << 20;

/// Serves requests from the state of one controller.
pub struct Handler(pub Arc<State>);

impl Service for Handler {
    async fn answer(&self, head: Head, body: Incoming) -> Answer {
        match head.uri().path() {
            "/exchange" => match read_exchange(body).await {
                Ok(exchange) => reply_message(&self.0.answer_exchange(exchange)),
                Err(error) => reply_body_error(&error),
            },
            "/runners" => reply_message(&list_hall_runners(&self.0)),
            // A controller that is still joining knows only some of the groups. The
            // refusal makes the entry keep its current view, so streams in flight continue.
            "/view" if !self.0.has_joined() => reply(Status::SERVICE_UNAVAILABLE, "text/plain", "joining\n"),
            "/view" => match read_message::<u64>(body, 64).await {
                Ok(known) => reply_message(&wait_for_view(&self.0, known, VIEW_POLL_TIMEOUT).await),
                Err(error) => reply_body_error(&error),
            },
            "/command" => match read_message::<Command>(body, MAX_COMMAND_BYTES).await {
                Ok(command) => reply_message(&execute(&self.0, &command.line).await),
                Err(error) => reply_body_error(&error),
            },
            "/v1/command" => self.answer_text_command(body).await,
            _ => reply_not_found(),
        }
    }
}

async fn read_exchange(body: Incoming) -> Result<Exchange, BodyError> {
    let packed: PackedExchange = read_message(body, MAX_EXCHANGE_BYTES).await?;
    packed.unpack().map_err(|error| BodyError::Invalid(error.to_string()))
}

impl Handler {
    /// Executes a plain-text command, or several lines as one atomic change, and replies in JSON.
    async fn answer_text_command(&self, body: Incoming) -> Answer {
        let line = match read_body(body, MAX_COMMAND_BYTES).await {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => return reply_body_error(&error),
        };
        let answer = execute(&self.0, &line).await;
        let status = if answer.ok { Status::OK } else { Status::BAD_REQUEST };
        reply_json(status, &answer)
    }
}
