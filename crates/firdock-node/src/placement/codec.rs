//! Reports and replies on the wire; whatever is malformed is left out.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Content, ContentId, RequestId};
use firdock_policy::NewRequest;
use firdock_policy::load::Pace;
use firdock_policy::notice::Notice;
use firdock_wire::message;
use uuid::Uuid;

use super::report::{Course, News, Noticed, Paced, Placed, Refused, Reply, Report, Wanted};
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
    let cut = report.waiting.len() > MAX_REQUESTS || report.running.len() > room;
    message::PlacementReport {
        instance: report.instance.clone(),
        incarnation: report.incarnation.as_bytes().to_vec(),
        zone: report.zone.clone(),
        number: report.number,
        whole: report.whole,
        waiting: report
            .waiting
            .iter()
            .take(MAX_REQUESTS)
            .map(write_wanted)
            .collect(),
        running: report
            .running
            .iter()
            .take(room)
            .map(|(wanted, endpoint)| message::PlacementRun {
                request: Some(write_wanted(wanted)),
                endpoint: endpoint.clone(),
            })
            .collect(),
        news: report
            .news
            .iter()
            .take(MAX_REQUESTS)
            .map(write_news)
            .collect(),
        cut: report.cut || cut,
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
            .map(write_noticed)
            .collect(),
    }
}

/// Reads a report.
#[must_use]
pub fn read_report(told: message::PlacementReport) -> Report {
    let runs = told.running.into_iter().take(MAX_REQUESTS);
    let waiting = told.waiting.into_iter().take(MAX_REQUESTS);
    let news = told.news.into_iter().take(MAX_REQUESTS);
    let paces = told.paces.into_iter().take(MAX_PACES);
    let notices = told.notices.into_iter().take(MAX_NOTICES);
    Report {
        instance: told.instance,
        incarnation: read_incarnation(&told.incarnation),
        zone: told.zone,
        number: told.number,
        whole: told.whole,
        waiting: waiting.filter_map(read_wanted).collect(),
        running: runs
            .filter_map(|run| Some((read_wanted(run.request?)?, run.endpoint)))
            .collect(),
        news: news.filter_map(|n| read_news(&n)).collect(),
        paces: paces.filter_map(read_pace).collect(),
        notices: notices.map(read_noticed).collect(),
        cut: told.cut,
    }
}

/// Writes a reply as the word of the instance `name`.
#[must_use]
pub fn write_reply(reply: &Reply, name: &str) -> message::PlacementReply {
    let placed = |p: &Placed| message::Placement {
        request_id: write_id(p.id),
        attempt: p.attempt,
        endpoint: p.endpoint.clone(),
        predicted_millis: millis(p.predicted),
    };
    let refused = |r: &Refused| message::PlacementRefusal {
        request_id: write_id(r.id),
        attempt: r.attempt,
        reason: r.reason.as_str().to_owned(),
        retry_millis: millis(r.retry_after),
    };
    message::PlacementReply {
        instance: name.to_owned(),
        number: reply.number,
        placements: reply.placed.iter().map(placed).collect(),
        refusals: reply.refused.iter().map(refused).collect(),
    }
}

/// Reads a reply.
#[must_use]
pub fn read_reply(told: message::PlacementReply) -> Reply {
    let placed = |p: message::Placement| {
        Some(Placed {
            id: read_id(&p.request_id)?,
            attempt: p.attempt,
            endpoint: p.endpoint,
            predicted: Duration::from_millis(p.predicted_millis),
        })
    };
    let refused = |r: message::PlacementRefusal| {
        Some(Refused {
            id: read_id(&r.request_id)?,
            attempt: r.attempt,
            reason: read_reason(&r.reason),
            retry_after: Duration::from_millis(r.retry_millis),
        })
    };
    Reply {
        instance: told.instance,
        number: told.number,
        placed: told.placements.into_iter().filter_map(placed).collect(),
        refused: told.refusals.into_iter().filter_map(refused).collect(),
    }
}

fn write_id(id: RequestId) -> Vec<u8> {
    id.as_bytes().to_vec()
}

fn read_id(bytes: &[u8]) -> Option<RequestId> {
    Uuid::from_slice(bytes).ok()
}

fn write_wanted(wanted: &Wanted) -> message::PlacementRequest {
    let new = &wanted.new;
    message::PlacementRequest {
        request_id: write_id(new.id),
        attempt: wanted.attempt,
        service: new.service.clone(),
        account: new.account.clone(),
        draw: new.draw,
        prompt_tokens: new.prompt_tokens,
        output_tokens: new.output_tokens,
        age_millis: millis(new.age),
        left_millis: wanted.left.map(millis),
        avoid: new.tried.clone(),
        content: new
            .content
            .as_ref()
            .map_or_else(Vec::new, |c| c.id.as_bytes().to_vec()),
    }
}

fn read_wanted(mut told: message::PlacementRequest) -> Option<Wanted> {
    told.avoid.sort_unstable();
    told.avoid.dedup();
    let new = NewRequest {
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
    Some(Wanted {
        new,
        attempt: told.attempt,
        left: told.left_millis.map(Duration::from_millis),
    })
}

/// Makes a content of which the identity alone was told.
fn unnamed(id: ContentId) -> Arc<Content> {
    let path = "".into();
    Arc::new(Content { id, path })
}

fn write_pace(paced: &Paced) -> message::PlacementPace {
    message::PlacementPace {
        endpoint: paced.endpoint.clone(),
        hundredths: paced.pace.hundredths(),
        age_millis: millis(paced.age),
    }
}

fn read_pace(told: message::PlacementPace) -> Option<Paced> {
    Some(Paced {
        endpoint: told.endpoint,
        pace: Pace::from_hundredths(told.hundredths)?,
        age: Duration::from_millis(told.age_millis),
    })
}

fn write_noticed(noticed: &Noticed) -> message::PlacementNotice {
    message::PlacementNotice {
        endpoint: noticed.endpoint.clone(),
        leaving: noticed.notice.leaving,
        backoff_millis: noticed.notice.backoff.map_or(0, millis),
    }
}

fn read_noticed(told: message::PlacementNotice) -> Noticed {
    let backoff = (told.backoff_millis > 0).then(|| Duration::from_millis(told.backoff_millis));
    let notice = Notice {
        leaving: told.leaving,
        backoff: backoff.map(|time| time.min(Notice::MAX_BACKOFF)),
    };
    Noticed {
        endpoint: told.endpoint,
        notice,
    }
}

fn write_news(news: &News) -> message::PlacementNews {
    use message::PlacementCourse as Told;
    let (course, prompt_tokens, output_tokens) = match news.course {
        Course::Began => (Told::Began, 0, 0),
        Course::Ended { prompt, output } => (Told::Ended, prompt, output),
        Course::Broke => (Told::Broke, 0, 0),
        Course::Refused => (Told::Refused, 0, 0),
        Course::Unreachable => (Told::Unreachable, 0, 0),
        Course::Dropped => (Told::Dropped, 0, 0),
    };
    message::PlacementNews {
        request_id: write_id(news.id),
        attempt: news.attempt,
        course: course.into(),
        prompt_tokens,
        output_tokens,
    }
}

fn read_news(told: &message::PlacementNews) -> Option<News> {
    use message::PlacementCourse as Told;
    let course = match told.course() {
        Told::Unspecified => return None,
        Told::Began => Course::Began,
        Told::Ended => Course::Ended {
            prompt: told.prompt_tokens,
            output: told.output_tokens,
        },
        Told::Broke => Course::Broke,
        Told::Refused => Course::Refused,
        Told::Unreachable => Course::Unreachable,
        Told::Dropped => Course::Dropped,
    };
    Some(News {
        id: read_id(&told.request_id)?,
        attempt: told.attempt,
        course,
    })
}
