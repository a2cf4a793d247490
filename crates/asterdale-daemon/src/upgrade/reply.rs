//! Replies and their routes as messages, with a number for each kind of reply.

use asterdale_engine::message::{Reply, ResponseRoute};
use asterdale_hot_restart::message::{Reply as ReplyFrame, ResponseRoute as RouteFrame};
use asterdale_identity::DenialStatus;

/// Makes the message of a route.
pub fn route_frame(route: ResponseRoute) -> Option<RouteFrame> {
    Some(RouteFrame {
        connection: route.connection,
        request: route.request.into(),
    })
}

/// Reads the route of a message; `None` if it has none, or one that is out of range.
pub fn route(frame: Option<RouteFrame>) -> Option<ResponseRoute> {
    let frame = frame?;
    Some(ResponseRoute {
        connection: frame.connection,
        request: frame.request.try_into().ok()?,
    })
}

/// Makes the message of a reply.
pub fn reply_frame(route: ResponseRoute, reply: &Reply) -> ReplyFrame {
    let (kind, number, body) = match reply {
        Reply::Served(body) => (0, 0, body.to_vec()),
        Reply::Rejected {
            is_final,
            retry_after_ms,
        } => (1, retry_after_ms << 1 | u64::from(*is_final), Vec::new()),
        Reply::Overloaded => (2, 0, Vec::new()),
        Reply::Failed | Reply::Unknown { .. } => (3, 0, Vec::new()),
        Reply::Malformed => (4, 0, Vec::new()),
        Reply::CallerGone => (5, 0, Vec::new()),
        Reply::HealthChecked(is_healthy) => (6, u64::from(*is_healthy), Vec::new()),
        Reply::Denied {
            kind,
            retry_after_ms,
        } => {
            let kind = match kind {
                DenialStatus::Unauthenticated => 7,
                DenialStatus::Forbidden => 8,
                DenialStatus::QuotaExceeded => 9,
                DenialStatus::Unavailable => 10,
            };
            (kind, *retry_after_ms, Vec::new())
        }
    };
    ReplyFrame {
        route: route_frame(route),
        kind,
        body,
        number,
    }
}

/// Reads a reply and its route. A reply of an unknown kind is read as failed, which makes no promise about the request;
/// `None` if the route is missing or out of range.
pub fn reply(frame: ReplyFrame) -> Option<(ResponseRoute, Reply)> {
    let number = frame.number;
    let denied = |kind| Reply::Denied {
        kind,
        retry_after_ms: number,
    };
    let reply = match frame.kind {
        0 => Reply::Served(frame.body.into()),
        1 => Reply::Rejected {
            is_final: number & 1 == 1,
            retry_after_ms: number >> 1,
        },
        2 => Reply::Overloaded,
        4 => Reply::Malformed,
        5 => Reply::CallerGone,
        6 => Reply::HealthChecked(number == 1),
        7 => denied(DenialStatus::Unauthenticated),
        8 => denied(DenialStatus::Forbidden),
        9 => denied(DenialStatus::QuotaExceeded),
        10 => denied(DenialStatus::Unavailable),
        _ => Reply::Failed,
    };
    Some((route(frame.route)?, reply))
}
