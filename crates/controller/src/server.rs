//! The controller's HTTP side: peers, the entry of this box, and operators.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::wire::{Command, Exchange, MAX_EXCHANGE_BYTES, PackedExchange};
use cottoncrank_net::server::{
    Answer, BodyError, Head, Incoming, Service, Status, read_body, read_message, reply, reply_body_error,
    reply_json, reply_message, reply_not_found,
};

use crate::operate::{execute, list_hall_runners};
use crate::state::State;
use crate::views::wait_view;

/// How long a request for a view waits at the most. Shorter than the time
/// after which an entry takes its view for stale.
const VIEW_WAIT: Millis = Millis(1000);

/// The longest command or batch of commands, in bytes.
const COMMAND_MAX: usize = 1 << 20;

/// Answers requests with the state of one controller.
pub struct Front(pub Arc<State>);

impl Service for Front {
    async fn answer(&self, head: Head, body: Incoming) -> Answer {
        match head.uri().path() {
            "/exchange" => match read_exchange(body).await {
                Ok(exchange) => reply_message(&self.0.answer_exchange(exchange)),
                Err(error) => reply_body_error(&error),
            },
            "/runners" => reply_message(&list_hall_runners(&self.0)),
            // A new controller knows only a part of the groups. The entry keeps the
            // view it has, and with it the streams in flight.
            "/view" if !self.0.is_settled() => reply(Status::SERVICE_UNAVAILABLE, "text/plain", "joining\n"),
            "/view" => match read_message::<u64>(body, 64).await {
                Ok(known) => reply_message(&wait_view(&self.0, known, VIEW_WAIT).await),
                Err(error) => reply_body_error(&error),
            },
            "/command" => match read_message::<Command>(body, COMMAND_MAX).await {
                Ok(command) => reply_message(&execute(&self.0, &command.line).await),
                Err(error) => reply_body_error(&error),
            },
            "/v1/command" => self.answer_text(body).await,
            _ => reply_not_found(),
        }
    }
}

async fn read_exchange(body: Incoming) -> Result<Exchange, BodyError> {
    let packed: PackedExchange = read_message(body, MAX_EXCHANGE_BYTES).await?;
    packed.unpack().map_err(|error| BodyError::Invalid(error.to_string()))
}

impl Front {
    /// A command as plain text, or several lines as one change, answered in JSON.
    async fn answer_text(&self, body: Incoming) -> Answer {
        let line = match read_body(body, COMMAND_MAX).await {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => return reply_body_error(&error),
        };
        let answer = execute(&self.0, &line).await;
        let status = if answer.ok { Status::OK } else { Status::BAD_REQUEST };
        reply_json(status, &answer)
    }
}
