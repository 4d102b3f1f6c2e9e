//! The ports of the entry: one for callers, one for other entries.

use std::sync::Arc;

use cottoncrank::view::View;
use cottoncrank::wire::{Claim, KeyedOutcome};
use cottoncrank_net::server::{
    Answer, BodyError, Head, Incoming, Service, Status, discard_body, header, read_body, read_message,
    reply_body_error, reply_message, reply_not_found,
};
use tracing::Instrument;

use crate::api::{self, Shape};
use crate::caller::{Terms, read_terms};
use crate::failure::{Cause, Failure};
use crate::keys::{self, Gate, Guard};
use crate::services::{self, Call};
use crate::state::{Admission, State};

/// The largest claim, in bytes; it carries an answer to keep.
const CLAIM_MAX: usize = 256 * 1024;

/// The port for callers.
pub struct Callers(pub Arc<State>);

/// The port for other entries.
pub struct Peers(pub Arc<State>);

impl Service for Peers {
    async fn answer(&self, head: Head, body: Incoming) -> Answer {
        match head.uri().path() {
            "/claim" => match read_message::<Claim>(body, CLAIM_MAX).await {
                Ok(claim) => reply_message(&keys::answer_claim(&self.0, claim)),
                Err(error) => reply_body_error(&error),
            },
            _ => reply_not_found(),
        }
    }
}

impl Service for Callers {
    async fn answer(&self, head: Head, mut body: Incoming) -> Answer {
        let request = self.0.next_request();
        let span =
            tracing::info_span!("request", id = format!("{:016x}", request.0), path = head.uri().path());
        let answered = async {
            metrics::counter!("cottoncrank_requests").increment(1);
            let view = self.0.view();
            let longest = self.0.settings.deadline;
            let terms = match read_terms(head.headers(), &view, request, self.0.now(), longest) {
                Ok(terms) => terms,
                Err(failure) => {
                    discard_body(&mut body).await;
                    return Err(failure);
                }
            };
            tracing::debug!(account = %terms.account, trace = %terms.trace, "admitting");
            self.dispatch(&head, body, terms, &view).await
        };
        let answered: Result<Answer, Failure> = answered.instrument(span).await;
        answered.unwrap_or_else(|failure| failure.answer(request))
    }
}

impl Callers {
    async fn dispatch(
        &self,
        head: &Head,
        mut body: Incoming,
        terms: Terms,
        view: &View,
    ) -> Result<Answer, Failure> {
        let path = head.uri().path();
        let method = head.method().as_str();
        match (method, path) {
            ("GET", "/v1/models") => Ok(api::list_models(&self.0, &terms.account)),
            ("POST", "/v1/chat/completions") => self.run_model(body, terms, Shape::Chat).await,
            ("POST", "/v1/completions") => self.run_model(body, terms, Shape::Plain).await,
            _ => match path.strip_prefix("/services/") {
                Some(rest) => self.run_service(head, body, terms, rest, view).await,
                None => {
                    discard_body(&mut body).await;
                    Err(Failure::not_run(Cause::Missing(format!("{method} {path}"))))
                }
            },
        }
    }

    async fn run_model(&self, mut body: Incoming, terms: Terms, shape: Shape) -> Result<Answer, Failure> {
        let admission = self.admit(&terms, &mut body).await?;
        let bytes = self.read(body).await?;
        let parsed = api::parse_job(shape, &bytes)?;
        let guard = match self.open_key(&terms).await? {
            Ok(guard) => guard,
            Err(answer) => return Ok(answer),
        };
        Ok(api::run(self.0.clone(), admission, guard, terms, shape, parsed).await)
    }

    /// Counts the request against its account's limit. A refused one is read to its end.
    async fn admit(&self, terms: &Terms, body: &mut Incoming) -> Result<Admission, Failure> {
        let admitted = self.0.admit(&terms.account, terms.limit);
        if admitted.is_err() {
            discard_body(body).await;
        }
        admitted
    }

    async fn run_service(
        &self,
        head: &Head,
        mut body: Incoming,
        terms: Terms,
        rest: &str,
        view: &View,
    ) -> Result<Answer, Failure> {
        let (service, _) = rest.split_once('/').unwrap_or((rest, ""));
        if !view.services.iter().any(|known| known.id.as_str() == service) {
            discard_body(&mut body).await;
            return Err(Failure::not_run(Cause::Missing(format!("service {service}"))));
        }
        let _admission = self.admit(&terms, &mut body).await?;
        let whole = head.uri().path_and_query().map_or("", |path| path.as_str());
        let below = whole.trim_start_matches("/services/").trim_start_matches(service);
        let path = if below.starts_with('/') { below.to_owned() } else { format!("/{below}") };
        let call = Call {
            service: service.to_owned(),
            method: head.method().clone(),
            path,
            kind: head.headers().get(header::CONTENT_TYPE).cloned(),
            body: self.read(body).await?,
        };
        let guard = match self.open_key(&terms).await? {
            Ok(guard) => guard,
            Err(answer) => return Ok(answer),
        };
        Ok(services::run(&self.0, guard, &terms, &call).await)
    }

    async fn read(&self, body: Incoming) -> Result<bytes::Bytes, Failure> {
        read_body(body, self.0.settings.body_max).await.map_err(|error| {
            Failure::not_run(match error {
                BodyError::TooLarge(max) => Cause::TooLarge(max),
                BodyError::Broken | BodyError::Invalid(_) => Cause::Malformed(error.to_string()),
            })
        })
    }

    /// Opens the request's key. The inner error is the answer of its first run.
    async fn open_key(&self, terms: &Terms) -> Result<Result<Guard, Answer>, Failure> {
        match keys::open(&self.0, terms).await? {
            Gate::Run => Ok(Ok(Guard::new(self.0.clone(), terms.clone()))),
            Gate::Repeat(KeyedOutcome::Answered { status, kind, body: Some(body) }) => {
                let status = Status::from_u16(status).unwrap_or(Status::OK);
                Ok(Err(services::answer(status, &kind, body.into())))
            }
            Gate::Repeat(KeyedOutcome::Answered { body: None, .. }) => {
                Err(Failure { cause: Cause::KeyDone, outcome: cottoncrank::outcome::Outcome::MayHaveRun })
            }
            Gate::Repeat(KeyedOutcome::MayHaveRun | KeyedOutcome::NotRun) => {
                Err(Failure { cause: Cause::KeyDone, outcome: cottoncrank::outcome::Outcome::MayHaveRun })
            }
        }
    }
}
