//! The service `millrudder.v1.Jobs`: turns calls into jobs, and their answers into responses.

use crate::proto::job_event::{Accepted, Done, Ended, Event, Progress as Share, Started};
use crate::proto::jobs_server::Jobs;
use crate::proto::{JobEvent, SubmitReply, SubmitRequest};
use crate::{intake, status, timeout};
use futures_util::stream::{self, Stream};
use millrudder_exchange::intake::BODY_LIMIT;
use millrudder_exchange::{Answer, Front, FrontContext, Permit, Progress, Reply, Ticket};
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::Notify;
use tonic::{Request, Response, Status};

/// Largest message (bytes): the largest body plus all other fields at their limits.
pub const MESSAGE_LIMIT: usize = BODY_LIMIT + 16 * 1024;

/// When a call's headers arrived (ms on the dispatcher's clock). The client's deadline counts from then.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAt(pub f64);

/// The service's implementation.
#[derive(Clone)]
pub struct JobsService(pub Arc<FrontContext>);

/// A submitted job of one call. Dropping it before its answer withdraws the job.
struct PendingJob {
    core: Arc<FrontContext>,
    ticket: Ticket,
    reply: Reply,
    wake: Arc<Notify>,
    permit: Option<Permit>,
    answered: bool,
}

impl PendingJob {
    /// Waits for the job's answer or, if the job is followed, for progress other than `reported`.
    async fn next_update(&mut self, reported: Progress) -> Update {
        loop {
            if let Some(answer) = self.reply.take() {
                self.answered = true;
                // Released before the answer is written, so that a slow reader does not occupy a job's place.
                self.permit = None;
                return Update::Answer(answer);
            }
            let progress = self.reply.progress();
            if progress != reported {
                return Update::Progress(progress);
            }
            self.wake.notified().await;
        }
    }
}

/// What became known about a job.
enum Update {
    Answer(Answer),
    Progress(Progress),
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        if !self.answered {
            self.core.exchange.withdraw(self.ticket);
        }
    }
}

impl JobsService {
    /// Submits a job; returns it and its id, or the status of the refusal. `followed`: progress is wanted too.
    fn submit(
        &self,
        request: Request<SubmitRequest>,
        followed: bool,
    ) -> Result<(PendingJob, String), Status> {
        let core = &self.0;
        let timeout = match request.metadata().get("grpc-timeout") {
            None => None,
            Some(value) => match timeout::parse(value.as_bytes()) {
                Some(ms) => Some(ms),
                None => {
                    core.counters.rejected_headers.add();
                    let reason = "up to 8 digits and one of H M S m u n are wanted".to_owned();
                    return Err(status::invalid_field(&intake::InvalidField {
                        field: "grpc-timeout",
                        reason,
                    }));
                }
            },
        };
        let received_at = request.extensions().get::<ReceivedAt>().map_or_else(|| core.clock.now(), |a| a.0);
        let job = intake::parse_job(request.into_inner(), received_at, timeout, &core.classes.now())
            .map_err(|invalid| {
                core.counters.rejected_headers.add();
                status::invalid_field(&invalid)
            })?;
        if core.stopping.grace_is_over(core.clock.now()) {
            core.counters.turned_away.add();
            return Err(status::unavailable("the dispatcher stops", None));
        }
        let permit = core.admission_gate.enter(Front::Grpc, job.forwarded.body.len()).map_err(|refused| {
            core.counters.turned_away.add();
            let advice = Some(refused.retry_after).filter(|_| core.advice.is_allowed());
            status::unavailable("no room now, try again", advice)
        })?;
        let wake = Arc::new(Notify::new());
        let waker = wake.clone();
        let wake_up = move || waker.notify_one();
        let reply = if followed { Reply::with_progress(wake_up) } else { Reply::new(wake_up) };
        let id = job.trace_id.clone();
        core.counters.grpc_jobs.add();
        let ticket = core.exchange.submit(job, reply.clone());
        let core = core.clone();
        Ok((PendingJob { core, ticket, reply, wake, permit: Some(permit), answered: false }, id))
    }
}

#[tonic::async_trait]
impl Jobs for JobsService {
    async fn submit(&self, request: Request<SubmitRequest>) -> Result<Response<SubmitReply>, Status> {
        let (mut pending, _) = JobsService::submit(self, request, false)?;
        loop {
            if let Update::Answer(answer) = pending.next_update(Progress::default()).await {
                let result = status::job_result(answer, self.0.advice.is_allowed())?;
                return Ok(Response::new(SubmitReply { result }));
            }
        }
    }

    type FollowStream = Pin<Box<dyn Stream<Item = Result<JobEvent, Status>> + Send>>;

    async fn follow(&self, request: Request<SubmitRequest>) -> Result<Response<Self::FollowStream>, Status> {
        let (pending, id) = JobsService::submit(self, request, true)?;
        let events = EventStream { pending, id, reported: Progress::default(), state: StreamState::Open };
        Ok(Response::new(Box::pin(stream::unfold(events, |mut events| async {
            let next = events.next().await?;
            Some((next, events))
        }))))
    }
}

/// The response stream of a followed job: any number of progress events, exactly one final event, and the status.
struct EventStream {
    pending: PendingJob,
    id: String,
    reported: Progress,
    state: StreamState,
}

/// How far the response stream has come.
enum StreamState {
    /// The final event has not been sent.
    Open,
    /// The final event was sent; the call still ends with this status.
    Ending(Status),
    /// Nothing more is sent.
    Over,
}

fn event(event: Event) -> JobEvent {
    JobEvent { event: Some(event) }
}

impl EventStream {
    /// Waits for the next event.
    async fn next(&mut self) -> Option<Result<JobEvent, Status>> {
        match std::mem::replace(&mut self.state, StreamState::Over) {
            StreamState::Over => return None,
            StreamState::Ending(status) => return Some(Err(status)),
            StreamState::Open => {}
        }
        loop {
            match self.pending.next_update(self.reported).await {
                Update::Answer(answer) => return Some(Ok(self.final_event(answer))),
                Update::Progress(now) => {
                    if let Some(event) = self.next_progress_event(now) {
                        self.state = StreamState::Open;
                        return Some(Ok(event));
                    }
                }
            }
        }
    }

    /// The next event to send for the progress between `reported` and `now`; `None` if there is nothing to report.
    fn next_progress_event(&mut self, now: Progress) -> Option<JobEvent> {
        if now.accepted && !self.reported.accepted {
            self.reported.accepted = true;
            return Some(event(Event::Accepted(Accepted { id: self.id.clone() })));
        }
        if now.starts > self.reported.starts {
            // If the job was started several times while the client did not read, only the latest start is sent.
            self.reported = Progress { starts: now.starts, share: 0.0, ..self.reported };
            return Some(event(Event::Started(Started { attempt: now.starts })));
        }
        let reported_share = self.reported.share;
        self.reported.share = now.share;
        (now.share > reported_share).then(|| event(Event::Progress(Share { share: now.share })))
    }

    /// The final event for an answer; a failure also sets the status with which the call ends.
    fn final_event(&mut self, answer: Answer) -> JobEvent {
        match status::job_result(answer, self.pending.core.advice.is_allowed()) {
            Ok(result) => event(Event::Done(Done { result })),
            Err(status) => {
                let ended = Ended {
                    code: status.code() as i32,
                    message: status.message().to_owned(),
                    retry_after_ms: status::pushback_ms(&status),
                };
                self.state = StreamState::Ending(status);
                event(Event::Ended(ended))
            }
        }
    }
}
