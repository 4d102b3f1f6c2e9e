//! HTTP services of the entry: one port for callers, one for other entries.

use std::sync::Arc;

use cottoncrank::view::View;
use cottoncrank::wire::{Claim, KeyedOutcome};
use cottoncrank_net::server::{
    Answer, BodyError, Head, Incoming, Service, Status, discard_body, header, read_body, read_message,
    reply_body_error, reply_message, reply_not_found,
};
use tracing::Instrument;

use crate::api::{self, Endpoint};
use crate::caller::{RequestContext, read_context};
use crate::failure::{Cause, Failure};
use crate::keys::{self, Guard, KeyCheck};
use crate::services::{self, Call};
use crate::state::{Admission, Served, State};

/// The largest claim, in bytes. A claim may carry an answer to keep.
const MAX_CLAIM_BYTES: usize = 256 * 1024;

/// Serves the port for callers.
pub struct CallerService(pub Arc<State>);

/// Serves the port for other entries.
pub struct PeerService(pub Arc<State>);

impl Service for PeerService {
    async fn answer(&self, head: Head, body: Incoming) -> Answer {
        match head.uri().path() {
            "/claim" => match read_message::<Claim>(body, MAX_CLAIM_BYTES).await {
                Ok(claim) => reply_message(&keys::answer_claim(&self.0, claim)),
                Err(error) => reply_body_error(&error),
            },
            _ => reply_not_found(),
        }
    }
}

impl Service for CallerService {
    async fn answer(&self, head: Head, mut body: Incoming) -> Answer {
        let request = self.0.next_request();
        let span =
            tracing::info_span!("request", id = format!("{:016x}", request.0), path = head.uri().path());
        let answered = async {
            metrics::counter!("cottoncrank_requests").increment(1);
            let view = self.0.view();
            let max_wait = self.0.settings.deadline;
            let context = match read_context(head.headers(), &view, request, self.0.now(), max_wait) {
                Ok(context) => context,
                Err(failure) => {
                    discard_body(&mut body).await;
                    return Err(failure);
                }
            };
            tracing::debug!(account = %context.account, trace = %context.trace, "admitting");
            self.dispatch(&head, body, context, &view).await
        };
        let answered: Result<Answer, Failure> = answered.instrument(span).await;
        answered.unwrap_or_else(|failure| failure.answer(request))
    }
}

impl CallerService {
    async fn dispatch(
        &self,
        head: &Head,
        mut body: Incoming,
        context: RequestContext,
        view: &View,
    ) -> Result<Answer, Failure> {
        let path = head.uri().path();
        let method = head.method().as_str();
        match (method, path) {
            ("GET", "/v1/models") => Ok(api::list_models(&self.0, &context.account)),
            ("POST", "/v1/chat/completions") => self.run_model(body, context, Endpoint::Chat).await,
            ("POST", "/v1/completions") => self.run_model(body, context, Endpoint::Completion).await,
            _ => match path.strip_prefix("/services/") {
                Some(rest) => self.run_service(head, body, context, rest, view).await,
                None => {
                    discard_body(&mut body).await;
                    Err(Failure::not_run(Cause::Missing(format!("{method} {path}"))))
                }
            },
        }
    }

    async fn run_model(
        &self,
        mut body: Incoming,
        context: RequestContext,
        endpoint: Endpoint,
    ) -> Result<Answer, Failure> {
        let admission = self.admit(&context, &mut body).await?;
        let (bytes, served) = self.read(body, &context, admission).await?;
        let parsed = api::parse_request(endpoint, &bytes)?;
        let guard = match self.open_key(&context).await? {
            Ok(guard) => guard,
            Err(answer) => return Ok(answer),
        };
        Ok(api::run(self.0.clone(), served, guard, context, endpoint, parsed).await)
    }

    /// Admits the request if its account is below its limit. The body of a refused request
    /// is read to its end and discarded.
    async fn admit(&self, context: &RequestContext, body: &mut Incoming) -> Result<Admission, Failure> {
        let admitted = self.0.admit(&context.account, context.limit, body.slot());
        if admitted.is_err() {
            discard_body(body).await;
        }
        admitted
    }

    async fn run_service(
        &self,
        head: &Head,
        mut body: Incoming,
        context: RequestContext,
        rest: &str,
        view: &View,
    ) -> Result<Answer, Failure> {
        let (service, _) = rest.split_once('/').unwrap_or((rest, ""));
        if !view.services.iter().any(|known| known.id.as_str() == service) {
            discard_body(&mut body).await;
            return Err(Failure::not_run(Cause::Missing(format!("service {service}"))));
        }
        let admission = self.admit(&context, &mut body).await?;
        let full_path = head.uri().path_and_query().map_or("", |path| path.as_str());
        let suffix = full_path.trim_start_matches("/services/").trim_start_matches(service);
        let path = if suffix.starts_with('/') { suffix.to_owned() } else { format!("/{suffix}") };
        let (body, served) = self.read(body, &context, admission).await?;
        let call = Call {
            service: service.to_owned(),
            method: head.method().clone(),
            path,
            kind: head.headers().get(header::CONTENT_TYPE).cloned(),
            body,
        };
        let guard = match self.open_key(&context).await? {
            Ok(guard) => guard,
            Err(answer) => return Ok(answer),
        };
        Ok(services::run(&self.0, guard, &context, &call, &served.room).await)
    }

    /// Reads the body of an admitted request, until its deadline.
    async fn read(
        &self,
        body: Incoming,
        context: &RequestContext,
        admission: Admission,
    ) -> Result<(bytes::Bytes, Served), Failure> {
        let remaining = context.deadline.since(self.0.now());
        let reading = read_body(body, self.0.settings.body_max);
        let read = tokio::time::timeout(remaining.duration(), reading).await;
        let bytes = read.map_err(|_| Failure::not_run(Cause::Deadline))?.map_err(|error| {
            Failure::not_run(match error {
                BodyError::TooLarge(max) => Cause::TooLarge(max),
                BodyError::NoRoom => Cause::NoRoom,
                BodyError::Broken | BodyError::Invalid(_) => Cause::Malformed(error.to_string()),
            })
        })?;
        let served = admission.serve(bytes.len())?;
        Ok((bytes, served))
    }

    /// Claims the request's key. The inner error is the kept answer of an earlier run.
    async fn open_key(&self, context: &RequestContext) -> Result<Result<Guard, Answer>, Failure> {
        match keys::open(&self.0, context).await? {
            KeyCheck::Run => Ok(Ok(Guard::new(self.0.clone(), context.clone()))),
            KeyCheck::Replay(KeyedOutcome::Answered { status, kind, body: Some(body) }) => {
                let status = Status::from_u16(status).unwrap_or(Status::OK);
                Ok(Err(services::answer(status, &kind, body.into())))
            }
            KeyCheck::Replay(KeyedOutcome::Answered { body: None, .. }) => Err(Failure {
                cause: Cause::KeyCompleted,
                outcome: cottoncrank::outcome::Outcome::MayHaveRun,
            }),
            KeyCheck::Replay(KeyedOutcome::MayHaveRun | KeyedOutcome::NotRun) => Err(Failure {
                cause: Cause::KeyCompleted,
                outcome: cottoncrank::outcome::Outcome::MayHaveRun,
            }),
        }
    }
}
