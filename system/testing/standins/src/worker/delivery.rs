//! How a worker takes a delivery, runs it and answers.

use super::behaviour::{Behaviour, NotExecuted};
use super::idempotency::{Claim, ClaimGuard, Success};
use super::slots::Place;
use super::{WorkerHealth, WorkerState};
use crate::arrival_log::{ArrivalNumber, DeliveryRecord, Disposition, RunRecord, RunState};
use crate::controlled_stream::{send_again, ConnectionControl};
use crate::http::{self, header};
use crate::identity::RequestId;
use crate::server::{CloseConnection, Handler, ServerResponse};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// The value of headers that only have to be there.
const PRESENT: &str = "1";

impl Handler for WorkerState {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        control: ConnectionControl,
    ) -> ServerResponse {
        if request.uri().path() == self.plan.health_path {
            return Ok(self.answer_health_check().await);
        }
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| CloseConnection)?.to_bytes();
        let record = DeliveryRecord::new(&self.plan.service, &self.plan.instance, &parts, &body);
        self.take(record, &parts.headers, control).await
    }
}

/// A delivery that has a place at the worker.
struct Admitted {
    record: RunRecord,
    request: RequestId,
    behaviour: Behaviour,
    place: Place,
    claim: Option<ClaimGuard>,
    deadline: Option<Duration>,
}

/// How the work on a delivery has ended.
enum WorkEnd {
    Succeeded(Success),
    Failed,
    RefusedForGood,
    Halted,
}

impl WorkerState {
    async fn answer_health_check(&self) -> Response<Full<Bytes>> {
        let Some(mut place) = self.slots.enter() else {
            return self.not_executed(NotExecuted::Full, None);
        };
        place.run().await;
        let health = *self.health.lock().unwrap_or_else(PoisonError::into_inner);
        let status = match health {
            WorkerHealth::Well => StatusCode::OK,
            WorkerHealth::Unwell => StatusCode::SERVICE_UNAVAILABLE,
        };
        drop(place);
        self.respond(status, Bytes::new(), None)
    }

    async fn take(
        self: Arc<Self>,
        record: DeliveryRecord,
        headers: &HeaderMap,
        control: ConnectionControl,
    ) -> ServerResponse {
        let Some(request) = record.request_id.clone() else {
            return Ok(self.turn_away(record, NotExecuted::NoRequestId));
        };
        if let Some(reason) = self.reason_to_turn_away(headers) {
            return Ok(self.turn_away(record, reason));
        }
        let claim = match self.claim(&request) {
            Some(Claim::Running) => return Ok(self.turn_away(record, NotExecuted::Running)),
            Some(Claim::Succeeded(success)) => return Ok(self.repeat(record, success)),
            Some(Claim::Granted(claim)) => Some(claim),
            None => None,
        };
        let behaviour = self.plan.script.take(request.as_str());
        match behaviour {
            Behaviour::TurnAway(reason) => return Ok(self.turn_away(record, reason)),
            Behaviour::ResetBeforeRun => return self.reset(record, &control),
            _ => {}
        }
        let Some(place) = self.slots.enter() else {
            return Ok(self.turn_away(record, NotExecuted::Full));
        };
        let record = self.arrival_log.admit(record);
        let deadline = http::number(headers, header::DEADLINE_MS).map(Duration::from_millis);
        let admitted = Admitted { record, request, behaviour, place, claim, deadline };
        self.run_and_answer(admitted, control).await
    }

    fn reason_to_turn_away(&self, headers: &HeaderMap) -> Option<NotExecuted> {
        let expected = http::text(headers, header::EXPECT_INSTANCE);
        if expected.is_some_and(|expected| expected != self.plan.instance.as_str()) {
            return Some(NotExecuted::OtherInstance);
        }
        let now = self.arrival_log.now();
        let within_rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner).admit(now);
        (!within_rate).then_some(NotExecuted::OverRate)
    }

    fn claim(&self, request: &RequestId) -> Option<Claim> {
        self.plan.idempotent.as_ref().map(|table| table.claim(request))
    }

    fn turn_away(&self, record: DeliveryRecord, reason: NotExecuted) -> Response<Full<Bytes>> {
        let request = record.request_id.clone();
        self.arrival_log.note(record, Disposition::Rejected { status: reason.status().as_u16() });
        self.not_executed(reason, request.as_ref())
    }

    fn repeat(&self, record: DeliveryRecord, success: Success) -> Response<Full<Bytes>> {
        let request = record.request_id.clone();
        self.arrival_log.note(record, Disposition::Repeated);
        self.success(success, request.as_ref())
    }

    fn reset(&self, record: DeliveryRecord, control: &ConnectionControl) -> ServerResponse {
        self.arrival_log.note(record, Disposition::Reset);
        control.reset_on_close();
        Err(CloseConnection)
    }

    async fn run_and_answer(
        self: Arc<Self>,
        admitted: Admitted,
        control: ConnectionControl,
    ) -> ServerResponse {
        let behaviour = admitted.behaviour;
        let request = admitted.request.clone();
        let end = if self.plan.runs_on_after_close {
            let run = tokio::spawn(self.clone().run(admitted));
            run.await.map_err(|_| CloseConnection)?
        } else {
            self.clone().run(admitted).await
        };
        let answer = self.answer_to(end, &request);
        self.send(answer, behaviour, control).await
    }

    /// Waits for a slot, works and records both. A run that is dropped on the way is recorded as dropped.
    async fn run(self: Arc<Self>, admitted: Admitted) -> WorkEnd {
        let Admitted { mut record, request, behaviour, mut place, claim, deadline } = admitted;
        let work = async {
            place.run().await;
            record.start();
            self.work_gate.pass().await;
        };
        let in_time = match deadline {
            Some(deadline) => tokio::time::timeout(deadline, work).await.is_ok(),
            None => {
                work.await;
                true
            }
        };
        let end = if in_time { self.end_of(behaviour, &request, record.number()) } else { WorkEnd::Halted };
        if let (WorkEnd::Succeeded(success), Some(claim)) = (&end, claim) {
            claim.succeed(success.clone());
        }
        record.end(end.state());
        end
    }

    fn end_of(&self, behaviour: Behaviour, request: &RequestId, number: ArrivalNumber) -> WorkEnd {
        let fails = match behaviour {
            Behaviour::RefuseForGood => return WorkEnd::RefusedForGood,
            Behaviour::FailAlways => true,
            Behaviour::FailFirst { failures } => self.plan.script.count_failure(request.as_str(), failures),
            _ => false,
        };
        if fails {
            return WorkEnd::Failed;
        }
        let signature = format!("{}.{number}", self.plan.instance);
        WorkEnd::Succeeded(Success { signature, body: self.plan.answer_body.clone() })
    }

    fn answer_to(&self, end: WorkEnd, request: &RequestId) -> Response<Full<Bytes>> {
        let status = match end {
            WorkEnd::Succeeded(success) => return self.success(success, Some(request)),
            WorkEnd::Failed => StatusCode::INTERNAL_SERVER_ERROR,
            WorkEnd::RefusedForGood => StatusCode::UNPROCESSABLE_ENTITY,
            WorkEnd::Halted => StatusCode::GATEWAY_TIMEOUT,
        };
        self.respond(status, Bytes::new(), Some(request))
    }

    async fn send(
        &self,
        answer: Response<Full<Bytes>>,
        behaviour: Behaviour,
        control: ConnectionControl,
    ) -> ServerResponse {
        let body = self.plan.answer_body.len();
        match behaviour {
            Behaviour::StaySilent => return std::future::pending().await,
            Behaviour::LoseAnswer => return Err(CloseConnection),
            Behaviour::ResetAfterRun => {
                control.reset_on_close();
                return Err(CloseConnection);
            }
            Behaviour::CutAnswer => control.cut_answer(body / 2),
            Behaviour::AnswerTwice => {
                let recorded = control.record_answer(body);
                let gate = self.answer_gate.clone();
                let again = send_again(control, recorded, async move { gate.pass().await });
                tokio::spawn(again);
            }
            Behaviour::AnswerLate => self.answer_gate.pass().await,
            _ => {}
        }
        Ok(answer)
    }

    fn success(&self, success: Success, request: Option<&RequestId>) -> Response<Full<Bytes>> {
        let mut response = self.respond(StatusCode::OK, success.body, request);
        http::set(&mut response, header::RESPONSE_SIGNATURE, &success.signature);
        response
    }

    fn not_executed(&self, reason: NotExecuted, request: Option<&RequestId>) -> Response<Full<Bytes>> {
        let mut response = self.respond(reason.status(), Bytes::new(), request);
        http::set(&mut response, header::NOT_EXECUTED, PRESENT);
        response
    }

    fn respond(&self, status: StatusCode, body: Bytes, request: Option<&RequestId>) -> Response<Full<Bytes>> {
        let mut response = http::with_body(status, body);
        http::set(&mut response, header::INSTANCE_ID, self.plan.instance.as_str());
        if let Some(request) = request {
            http::set(&mut response, header::REQUEST_ID, request.as_str());
        }
        if let Some(seconds) = self.plan.keep_alive_seconds {
            http::set(&mut response, header::KEEP_ALIVE, &format!("timeout={seconds}"));
        }
        if self.plan.tells_load {
            let load = self.slots.load();
            let told = format!("{},{},{}", load.running, load.waiting, self.slots.capacity());
            http::set(&mut response, header::SERVER_LOAD, &told);
        }
        response
    }
}

impl WorkEnd {
    fn state(&self) -> RunState {
        match self {
            WorkEnd::Succeeded(success) => RunState::Succeeded { signature: success.signature.clone() },
            WorkEnd::Failed => RunState::Failed,
            WorkEnd::RefusedForGood => RunState::RefusedForGood,
            WorkEnd::Halted => RunState::Halted,
        }
    }
}
