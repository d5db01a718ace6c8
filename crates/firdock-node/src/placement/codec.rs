//! Reports and replies on the wire; whatever is malformed is left out.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Content, ContentId, RequestId};
use firdock_policy::NewRequest;
use firdock_policy::load::Pace;
use firdock_policy::notice::Notice;
use firdock_wire::message;
use uuid::Uuid;

use super::report::{
    Assignment, EndpointNotice, EndpointPace, PlacementRequest, Progress, ProgressUpdate, Refusal,
    Reply, Report,
};
use crate::clock::millis;
use crate::peer::{read_incarnation, read_reason};

/// Requests told of in one report: more do not fit into a datagram.
const MAX_REQUESTS: usize = 300;

/// Engines whose pace is told in one report: a member has answers of fewer between two of them, and
/// what is left out is told anew with the next answer.
const MAX_PACES: usize = 64;

/// Engines whose notices are told in one report. More that leave or want nothing at a time are told by
/// the heartbeat, or when a place there is given back.
const MAX_NOTICES: usize = 64;

/// Writes a report.
#[must_use]
pub fn write_report(report: &Report) -> message::PlacementReport {
    let room = MAX_REQUESTS.saturating_sub(report.waiting.len());
    let truncated = report.waiting.len() > MAX_REQUESTS || report.running.len() > room;
    message::PlacementReport {
        instance: report.instance.clone(),
        incarnation: report.incarnation.as_bytes().to_vec(),
        zone: report.zone.clone(),
        number: report.number,
        whole: report.full,
        waiting: report
            .waiting
            .iter()
            .take(MAX_REQUESTS)
            .map(write_request)
            .collect(),
        running: report
            .running
            .iter()
            .take(room)
            .map(|(request, endpoint)| message::PlacementRun {
                request: Some(write_request(request)),
                endpoint: endpoint.clone(),
            })
            .collect(),
        news: report
            .updates
            .iter()
            .take(MAX_REQUESTS)
            .map(write_update)
            .collect(),
        cut: report.truncated || truncated,
        paces: report
            .paces
            .iter()
            .take(MAX_PACES)
            .map(write_pace)
            .collect(),
        notices: report
            .notices
            .iter()
            .take(MAX_NOTICES)
            .map(write_notice)
            .collect(),
    }
}

/// Reads a report.
#[must_use]
pub fn read_report(told: message::PlacementReport) -> Report {
    let runs = told.running.into_iter().take(MAX_REQUESTS);
    let waiting = told.waiting.into_iter().take(MAX_REQUESTS);
    let updates = told.news.into_iter().take(MAX_REQUESTS);
    let paces = told.paces.into_iter().take(MAX_PACES);
    let notices = told.notices.into_iter().take(MAX_NOTICES);
    Report {
        instance: told.instance,
        incarnation: read_incarnation(&told.incarnation),
        zone: told.zone,
        number: told.number,
        full: told.whole,
        waiting: waiting.filter_map(read_request).collect(),
        running: runs
            .filter_map(|run| Some((read_request(run.request?)?, run.endpoint)))
            .collect(),
        updates: updates.filter_map(|u| read_update(&u)).collect(),
        paces: paces.filter_map(read_pace).collect(),
        notices: notices.map(read_notice).collect(),
        truncated: told.cut,
    }
}

/// Writes a reply as the word of the instance `name`.
#[must_use]
pub fn write_reply(reply: &Reply, name: &str) -> message::PlacementReply {
    let assignment = |p: &Assignment| message::Placement {
        request_id: write_id(p.id),
        attempt: p.attempt,
        endpoint: p.endpoint.clone(),
        predicted_millis: millis(p.predicted),
    };
    let refusal = |r: &Refusal| message::PlacementRefusal {
        request_id: write_id(r.id),
        attempt: r.attempt,
        reason: r.reason.as_str().to_owned(),
        retry_millis: millis(r.retry_after),
    };
    message::PlacementReply {
        instance: name.to_owned(),
        number: reply.number,
        placements: reply.assignments.iter().map(assignment).collect(),
        refusals: reply.refusals.iter().map(refusal).collect(),
    }
}

/// Reads a reply.
#[must_use]
pub fn read_reply(told: message::PlacementReply) -> Reply {
    let assignment = |p: message::Placement| {
        Some(Assignment {
            id: read_id(&p.request_id)?,
            attempt: p.attempt,
            endpoint: p.endpoint,
            predicted: Duration::from_millis(p.predicted_millis),
        })
    };
    let refusal = |r: message::PlacementRefusal| {
        Some(Refusal {
            id: read_id(&r.request_id)?,
            attempt: r.attempt,
            reason: read_reason(&r.reason),
            retry_after: Duration::from_millis(r.retry_millis),
        })
    };
    Reply {
        instance: told.instance,
        number: told.number,
        assignments: told.placements.into_iter().filter_map(assignment).collect(),
        refusals: told.refusals.into_iter().filter_map(refusal).collect(),
    }
}

fn write_id(id: RequestId) -> Vec<u8> {
    id.as_bytes().to_vec()
}

fn read_id(bytes: &[u8]) -> Option<RequestId> {
    Uuid::from_slice(bytes).ok()
}

fn write_request(request: &PlacementRequest) -> message::PlacementRequest {
    let new = &request.new_request;
    message::PlacementRequest {
        request_id: write_id(new.id),
        attempt: request.attempt,
        service: new.service.clone(),
        account: new.account.clone(),
        draw: new.draw,
        prompt_tokens: new.prompt_tokens,
        output_tokens: new.output_tokens,
        age_millis: millis(new.age),
        left_millis: request.remaining.map(millis),
        avoid: new.tried.clone(),
        content: new
            .content
            .as_ref()
            .map_or_else(Vec::new, |c| c.id.as_bytes().to_vec()),
    }
}

fn read_request(mut told: message::PlacementRequest) -> Option<PlacementRequest> {
    told.avoid.sort_unstable();
    told.avoid.dedup();
    let new_request = NewRequest {
        id: read_id(&told.request_id)?,
        service: told.service,
        account: told.account,
        draw: told.draw,
        prompt_tokens: told.prompt_tokens,
        output_tokens: told.output_tokens,
        age: Duration::from_millis(told.age_millis),
        tried: told.avoid,
        content: ContentId::from_bytes(&told.content).map(unnamed),
        ..NewRequest::default()
    };
    Some(PlacementRequest {
        new_request,
        attempt: told.attempt,
        remaining: told.left_millis.map(Duration::from_millis),
    })
}

/// Makes a content of which the identity alone was told.
fn unnamed(id: ContentId) -> Arc<Content> {
    let path = "".into();
    Arc::new(Content { id, path })
}

fn write_pace(pace: &EndpointPace) -> message::PlacementPace {
    message::PlacementPace {
        endpoint: pace.endpoint.clone(),
        hundredths: pace.pace.hundredths(),
        age_millis: millis(pace.age),
    }
}

fn read_pace(told: message::PlacementPace) -> Option<EndpointPace> {
    Some(EndpointPace {
        endpoint: told.endpoint,
        pace: Pace::from_hundredths(told.hundredths)?,
        age: Duration::from_millis(told.age_millis),
    })
}

fn write_notice(notice: &EndpointNotice) -> message::PlacementNotice {
    message::PlacementNotice {
        endpoint: notice.endpoint.clone(),
        leaving: notice.notice.leaving,
        backoff_millis: notice.notice.backoff.map_or(0, millis),
    }
}

fn read_notice(told: message::PlacementNotice) -> EndpointNotice {
    let backoff = (told.backoff_millis > 0).then(|| Duration::from_millis(told.backoff_millis));
    let notice = Notice {
        leaving: told.leaving,
        backoff: backoff.map(|time| time.min(Notice::MAX_BACKOFF)),
    };
    EndpointNotice {
        endpoint: told.endpoint,
        notice,
    }
}

fn write_update(update: &ProgressUpdate) -> message::PlacementNews {
    use message::PlacementCourse as Told;
    let (course, prompt_tokens, output_tokens) = match update.progress {
        Progress::FirstToken => (Told::Began, 0, 0),
        Progress::Ended { prompt, output } => (Told::Ended, prompt, output),
        Progress::Broke => (Told::Broke, 0, 0),
        Progress::Refused => (Told::Refused, 0, 0),
        Progress::Unreachable => (Told::Unreachable, 0, 0),
        Progress::Dropped => (Told::Dropped, 0, 0),
    };
    message::PlacementNews {
        request_id: write_id(update.id),
        attempt: update.attempt,
        course: course.into(),
        prompt_tokens,
        output_tokens,
    }
}

fn read_update(told: &message::PlacementNews) -> Option<ProgressUpdate> {
    use message::PlacementCourse as Told;
    let progress = match told.course() {
        Told::Unspecified => return None,
        Told::Began => Progress::FirstToken,
        Told::Ended => Progress::Ended {
            prompt: told.prompt_tokens,
            output: told.output_tokens,
        },
        Told::Broke => Progress::Broke,
        Told::Refused => Progress::Refused,
        Told::Unreachable => Progress::Unreachable,
        Told::Dropped => Progress::Dropped,
    };
    Some(ProgressUpdate {
        id: read_id(&told.request_id)?,
        attempt: told.attempt,
        progress,
    })
}
