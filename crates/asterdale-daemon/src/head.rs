//! The head of a request, read in place: what it asks for, as the platform names the parameters.

use asterdale::parameters::Idempotency;
use asterdale_engine::message::{IdempotencyKey, RequestHead, RequestId};
use asterdale_fastcgi::{Params, ProtocolError};
use asterdale_parameters::Settings;

/// The head of a request.
#[derive(Debug, PartialEq)]
pub enum Head {
    /// A health check.
    Check {
        /// It asks whether work gets done.
        deep: bool,
    },
    /// A task, and what it says of who is calling.
    Task(RequestHead, Option<Box<[u8]>>),
    /// This field is missing, or makes no sense.
    Senseless(&'static str),
}

/// The token in `Authorization: Bearer TOKEN` (RFC 6750); of any other scheme, the whole, which is none.
fn bearer(value: &[u8]) -> Box<[u8]> {
    let scheme = value
        .get(..7)
        .filter(|scheme| scheme.eq_ignore_ascii_case(b"Bearer "));
    scheme.map_or(value, |_| value[7..].trim_ascii()).into()
}

fn number(value: Option<&[u8]>) -> Option<f64> {
    let text = std::str::from_utf8(value?).ok()?;
    text.trim()
        .parse()
        .ok()
        .filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// Reads the head of a request. Parameters that are not known here are passed over.
/// `asked_who` says whether it matters who is calling.
pub fn read(params: &[u8], facts: &Settings, asked_who: bool) -> Result<Head, ProtocolError> {
    let [mut method, mut path, mut query, mut id, mut start] = [None; 5];
    let [mut caller, mut timeout, mut cost, mut memory, mut key, mut object, mut token] = [None; 7];
    let mut tenant = None;
    for pair in Params(params) {
        let (name, value) = pair?;
        let field = match name {
            b"REQUEST_METHOD" => &mut method,
            b"SCRIPT_NAME" => &mut path,
            b"QUERY_STRING" => &mut query,
            b"HTTP_X_REQUEST_ID" => &mut id,
            b"HTTP_X_REQUEST_START" => &mut start,
            b"HTTP_X_CALLER" => &mut caller,
            b"HTTP_X_TENANT" => &mut tenant,
            b"HTTP_X_TIMEOUT_MS" => &mut timeout,
            b"HTTP_X_COST_MS" => &mut cost,
            b"HTTP_X_MEMORY_KB" => &mut memory,
            b"HTTP_IDEMPOTENCY_KEY" => &mut key,
            b"HTTP_X_OBJECT" => &mut object,
            b"HTTP_AUTHORIZATION" if asked_who => &mut token,
            _ => continue,
        };
        *field = Some(value);
    }
    let path = path.unwrap_or_default();
    if path == b"/healthz" {
        let deep =
            query.is_some_and(|query| query.split(|&b| b == b'&').any(|part| part == b"deep=1"));
        return Ok(Head::Check { deep });
    }
    Ok(task(
        method,
        path,
        id,
        [start, caller, timeout, cost, memory],
        [tenant, key, object],
        facts,
    )
    .map_or_else(Head::Senseless, |asked| {
        Head::Task(asked, token.map(bearer))
    }))
}

/// The position of a tenant by its name; `None` for a name that the settings don't have. Where they have no tenants, or
/// the request names none, all count as the first.
fn tenant_of(name: Option<&[u8]>, facts: &Settings) -> Option<u32> {
    let Some(name) = name.filter(|_| !facts.tenant_names.is_empty()) else {
        return Some(0);
    };
    let position = facts
        .tenant_names
        .iter()
        .position(|tenant| tenant.as_bytes() == name)?;
    u32::try_from(position).ok()
}

fn task(
    method: Option<&[u8]>,
    path: &[u8],
    id: Option<&[u8]>,
    [start, caller, timeout, cost, memory]: [Option<&[u8]>; 5],
    [tenant, key, object]: [Option<&[u8]>; 3],
    facts: &Settings,
) -> Result<RequestHead, &'static str> {
    if method.is_some_and(|method| method != b"POST") {
        return Err("method");
    }
    let stage = path.strip_prefix(b"/v1/").ok_or("path")?;
    let stage = facts
        .class_names
        .iter()
        .position(|name| name.as_bytes() == stage)
        .ok_or("class")?;
    let id: RequestId = id.and_then(|id| id.try_into().ok()).ok_or("id")?;
    if !id.iter().all(u8::is_ascii_hexdigit) {
        return Err("id");
    }
    let optional = |field: Option<&[u8]>, name| match (field, number(field)) {
        (Some(_), None) => Err(name),
        (_, value) => Ok(value),
    };
    let told = &facts.decisions.classes[stage];
    let tenant = tenant_of(tenant, facts).ok_or("tenant")?;
    let sign = |text: &[u8]| IdempotencyKey {
        class: stage,
        tenant,
        bytes: text.into(),
    };
    Ok(RequestHead {
        id,
        class: stage,
        tenant,
        start_ms: number(start).ok_or("start")?,
        edge_node: number(caller)
            .filter(|&n| n <= f64::from(u32::MAX))
            .ok_or("caller")? as u32,
        timeout_ms: optional(timeout, "timeout")?,
        cost_hint_ms: optional(cost, "cost")?.filter(|&ms| ms > 0.0),
        memory_kb: number(memory)
            .filter(|kb| *kb > 0.0 && *kb < 2000.0)
            .ok_or("memory")?,
        idempotency_key: match told.idempotency {
            Idempotency::Keyed => match key {
                Some(key) if (1..=128).contains(&key.len()) => Some(sign(key)),
                _ => return Err("key"),
            },
            Idempotency::Idempotent => object.filter(|object| object.len() <= 128).map(sign),
            Idempotency::NonIdempotent => None,
        },
    })
}
