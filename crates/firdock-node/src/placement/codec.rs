//! Wire encoding of placement reports and replies. Malformed entries are skipped.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Content, ContentId, RequestId};
use firdock_policy::NewRequest;
use firdock_policy::load::Pace;
use firdock_policy::notice::Notice;
use firdock_policy::request::{Build, StreamOrigin};
use firdock_wire::message;
use uuid::Uuid;

use super::report::{
    Assignment, EndpointNotice, EndpointPace, PlacementRequest, Progress, ProgressUpdate, Refusal,
    Reply, Report,
};
use crate::clock::millis;
use crate::peer::{read_incarnation, read_reason};

/// Maximum number of requests in one report; more would not fit into a datagram.
const MAX_REQUESTS: usize = 300;

/// Maximum number of engine paces in one report. A member receives responses from fewer engines
/// between two reports, and a pace that is left out is reported again with the engine's next
/// response.
const MAX_PACES: usize = 64;

/// Maximum number of engine notices in one report. If more engines leave or back off at once, the
/// coordinator learns of the rest from the heartbeat, or when an assignment to such an engine is
/// declined.
const MAX_NOTICES: usize = 64;

/// Encodes a report.
#[must_use]
pub fn write_report(report: &Report) -> message::PlacementReport {
    let capacity = MAX_REQUESTS.saturating_sub(report.waiting.len());
    let truncated = report.waiting.len() > MAX_REQUESTS || report.running.len() > capacity;
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
            .take(capacity)
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

/// Decodes a report.
#[must_use]
pub fn read_report(wire: message::PlacementReport) -> Report {
    let runs = wire.running.into_iter().take(MAX_REQUESTS);
    let waiting = wire.waiting.into_iter().take(MAX_REQUESTS);
    let updates = wire.news.into_iter().take(MAX_REQUESTS);
    let paces = wire.paces.into_iter().take(MAX_PACES);
    let notices = wire.notices.into_iter().take(MAX_NOTICES);
    Report {
        instance: wire.instance,
        incarnation: read_incarnation(&wire.incarnation),
        zone: wire.zone,
        number: wire.number,
        full: wire.whole,
        waiting: waiting.filter_map(read_request).collect(),
        running: runs
            .filter_map(|run| Some((read_request(run.request?)?, run.endpoint)))
            .collect(),
        updates: updates.filter_map(|u| read_update(&u)).collect(),
        paces: paces.filter_map(read_pace).collect(),
        notices: notices.map(read_notice).collect(),
        truncated: wire.cut,
    }
}

/// Encodes a reply sent by the instance `name`.
#[must_use]
pub fn write_reply(reply: &Reply, name: &str) -> message::PlacementReply {
    let assignment = |p: &Assignment| message::Placement {
        request_id: write_id(p.id),
        attempt: p.attempt,
        endpoint: p.endpoint.clone(),
        predicted_millis: millis(p.predicted),
        permitted: p.permitted,
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

/// Decodes a reply.
#[must_use]
pub fn read_reply(wire: message::PlacementReply) -> Reply {
    let assignment = |p: message::Placement| {
        Some(Assignment {
            id: read_id(&p.request_id)?,
            attempt: p.attempt,
            endpoint: p.endpoint,
            predicted: Duration::from_millis(p.predicted_millis),
            permitted: p.permitted,
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
        instance: wire.instance,
        number: wire.number,
        assignments: wire.placements.into_iter().filter_map(assignment).collect(),
        refusals: wire.refusals.into_iter().filter_map(refusal).collect(),
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
        began_at: new.stream_origin.build().map(write_build),
    }
}

fn read_request(mut wire: message::PlacementRequest) -> Option<PlacementRequest> {
    wire.avoid.sort_unstable();
    wire.avoid.dedup();
    let new_request = NewRequest {
        id: read_id(&wire.request_id)?,
        service: wire.service,
        account: wire.account,
        draw: wire.draw,
        prompt_tokens: wire.prompt_tokens,
        output_tokens: wire.output_tokens,
        age: Duration::from_millis(wire.age_millis),
        tried: wire.avoid,
        content: ContentId::from_bytes(&wire.content).map(content_with_id),
        stream_origin: wire.began_at.map_or(StreamOrigin::New, |build| {
            StreamOrigin::Known(Arc::new(read_build(build)))
        }),
        ..NewRequest::default()
    };
    Some(PlacementRequest {
        new_request,
        attempt: wire.attempt,
        remaining: wire.left_millis.map(Duration::from_millis),
    })
}

/// Builds a content of which only the ID was transmitted.
fn content_with_id(id: ContentId) -> Arc<Content> {
    let path = "".into();
    Arc::new(Content { id, path })
}

/// Encodes a build.
#[must_use]
pub fn write_build(build: &Build) -> message::Build {
    message::Build {
        pool: build.pool.clone(),
        version: build.version.clone(),
    }
}

/// Decodes a build.
#[must_use]
pub fn read_build(wire: message::Build) -> Build {
    Build {
        pool: wire.pool,
        version: wire.version,
    }
}

fn write_pace(pace: &EndpointPace) -> message::PlacementPace {
    message::PlacementPace {
        endpoint: pace.endpoint.clone(),
        hundredths: pace.pace.hundredths(),
        age_millis: millis(pace.age),
    }
}

fn read_pace(wire: message::PlacementPace) -> Option<EndpointPace> {
    Some(EndpointPace {
        endpoint: wire.endpoint,
        pace: Pace::from_hundredths(wire.hundredths)?,
        age: Duration::from_millis(wire.age_millis),
    })
}

fn write_notice(notice: &EndpointNotice) -> message::PlacementNotice {
    message::PlacementNotice {
        endpoint: notice.endpoint.clone(),
        leaving: notice.notice.leaving,
        backoff_millis: notice.notice.backoff.map_or(0, millis),
    }
}

fn read_notice(wire: message::PlacementNotice) -> EndpointNotice {
    let backoff = (wire.backoff_millis > 0).then(|| Duration::from_millis(wire.backoff_millis));
    let notice = Notice {
        leaving: wire.leaving,
        backoff: backoff.map(|time| time.min(Notice::MAX_BACKOFF)),
        ..Notice::default()
    };
    EndpointNotice {
        endpoint: wire.endpoint,
        notice,
    }
}

fn write_update(update: &ProgressUpdate) -> message::PlacementNews {
    use message::PlacementCourse as WireProgress;
    let (course, prompt_tokens, output_tokens) = match update.progress {
        Progress::FirstToken => (WireProgress::Began, 0, 0),
        Progress::Ended { prompt, output } => (WireProgress::Ended, prompt, output),
        Progress::Broke => (WireProgress::Broke, 0, 0),
        Progress::Refused => (WireProgress::Refused, 0, 0),
        Progress::Unreachable => (WireProgress::Unreachable, 0, 0),
        Progress::Dropped => (WireProgress::Dropped, 0, 0),
    };
    message::PlacementNews {
        request_id: write_id(update.id),
        attempt: update.attempt,
        course: course.into(),
        prompt_tokens,
        output_tokens,
    }
}

fn read_update(wire: &message::PlacementNews) -> Option<ProgressUpdate> {
    use message::PlacementCourse as WireProgress;
    let progress = match wire.course() {
        WireProgress::Unspecified => return None,
        WireProgress::Began => Progress::FirstToken,
        WireProgress::Ended => Progress::Ended {
            prompt: wire.prompt_tokens,
            output: wire.output_tokens,
        },
        WireProgress::Broke => Progress::Broke,
        WireProgress::Refused => Progress::Refused,
        WireProgress::Unreachable => Progress::Unreachable,
        WireProgress::Dropped => Progress::Dropped,
    };
    Some(ProgressUpdate {
        id: read_id(&wire.request_id)?,
        attempt: wire.attempt,
        progress,
    })
}
