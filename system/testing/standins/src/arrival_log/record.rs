//! How a worker writes a delivery into the log.

use super::{Arrival, ArrivalLog, ArrivalNumber, BodyHash, Disposition, Moment, RunState};
use crate::http::{self, header};
use crate::identity::{InstanceId, OrderKey, RequestId, ServiceName};
use hyper::http::request::Parts;
use hyper::HeaderMap;

/// A delivery that has been read in full.
#[derive(Clone, Debug)]
pub(crate) struct DeliveryRecord {
    pub(crate) request_id: Option<RequestId>,
    order_key: Option<OrderKey>,
    service: ServiceName,
    instance: InstanceId,
    method: String,
    target: String,
    headers: HeaderMap,
    body_hash: BodyHash,
    body_length: usize,
}

impl DeliveryRecord {
    pub(crate) fn new(service: &ServiceName, instance: &InstanceId, parts: &Parts, body: &[u8]) -> Self {
        Self {
            request_id: http::text(&parts.headers, header::REQUEST_ID).map(RequestId::from),
            order_key: http::text(&parts.headers, header::ORDER_KEY).map(OrderKey::from),
            service: service.clone(),
            instance: instance.clone(),
            method: parts.method.to_string(),
            target: parts.uri.to_string(),
            headers: parts.headers.clone(),
            body_hash: BodyHash::of(body),
            body_length: body.len(),
        }
    }

    pub(super) fn arrival(self, number: ArrivalNumber, arrived: Moment, disposition: Disposition) -> Arrival {
        Arrival {
            number,
            service: self.service,
            instance: self.instance,
            request_id: self.request_id,
            order_key: self.order_key,
            method: self.method,
            target: self.target,
            headers: self.headers,
            body_hash: self.body_hash,
            body_length: self.body_length,
            disposition,
            arrived,
            started: None,
            ended: None,
        }
    }
}

/// A delivery that waits or runs; one that is dropped is recorded as such.
pub(crate) struct RunRecord {
    arrival_log: ArrivalLog,
    number: ArrivalNumber,
    started: bool,
    ended: bool,
}

impl RunRecord {
    pub(super) fn new(arrival_log: ArrivalLog, number: ArrivalNumber) -> Self {
        Self { arrival_log, number, started: false, ended: false }
    }

    pub(crate) fn number(&self) -> ArrivalNumber {
        self.number
    }

    pub(crate) fn start(&mut self) {
        self.started = true;
        self.arrival_log.change(self.number, |arrival, moment| {
            arrival.started = Some(moment);
            arrival.disposition = Disposition::Run(RunState::Working);
        });
    }

    pub(crate) fn end(&mut self, state: RunState) {
        if self.ended {
            return;
        }
        self.ended = true;
        let disposition = if self.started { Disposition::Run(state) } else { Disposition::LeftQueue };
        self.arrival_log.change(self.number, |arrival, moment| {
            arrival.ended = Some(moment);
            arrival.disposition = disposition;
        });
    }
}

impl Drop for RunRecord {
    fn drop(&mut self) {
        self.end(RunState::Dropped);
    }
}
