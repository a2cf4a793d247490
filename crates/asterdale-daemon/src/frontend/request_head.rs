//! Reads the FastCGI parameters of a complete request: which request class or health check it is for, and the headers
//! that the decisions use. The platform defines the names of the parameters.

use asterdale::parameters::Idempotency;
use asterdale_engine::message::{IdempotencyKey, RequestHead, RequestId};
use asterdale_fastcgi::{Params, ProtocolError};
use asterdale_parameters::Settings;

const HEALTH_CHECK_PATH: &[u8] = b"/healthz";
const TASK_PATH_PREFIX: &[u8] = b"/v1/";
/// What is reported as invalid if the parameters can't be parsed.
const PARAMETERS_FIELD: &str = "parameters";
/// Upper bound of an idempotency key's and an object name's length, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Exclusive upper bound of a request's declared memory, in KiB.
const MAX_MEMORY_KB: f64 = 2000.0;

/// What a request is for.
#[derive(Debug, PartialEq)]
pub enum RequestTarget {
    /// A health check.
    HealthCheck {
        /// It asks whether requests are being served, not only whether the process is alive.
        deep: bool,
    },
    /// A request of some class, and the caller's token if there is one and callers must be identified.
    Task(RequestHead, Option<Box<[u8]>>),
}

/// The values of the parameters that are used, not validated yet.
#[derive(Default)]
struct RawHead<'a> {
    method: Option<&'a [u8]>,
    path: Option<&'a [u8]>,
    query: Option<&'a [u8]>,
    id: Option<&'a [u8]>,
    start: Option<&'a [u8]>,
    caller: Option<&'a [u8]>,
    tenant: Option<&'a [u8]>,
    timeout: Option<&'a [u8]>,
    cost: Option<&'a [u8]>,
    memory: Option<&'a [u8]>,
    key: Option<&'a [u8]>,
    object: Option<&'a [u8]>,
    authorization: Option<&'a [u8]>,
}

/// Reads a request's parameters. Unknown ones are ignored, and so is `Authorization` unless `identity_required`.
///
/// # Errors
/// The name of a field that is missing or invalid.
pub fn parse(
    params: &[u8],
    settings: &Settings,
    identity_required: bool,
) -> Result<RequestTarget, &'static str> {
    let raw = RawHead::collect(params, identity_required).map_err(|_| PARAMETERS_FIELD)?;
    if raw.path == Some(HEALTH_CHECK_PATH) {
        let deep = raw.query.is_some_and(|query| {
            query
                .split(|&byte| byte == b'&')
                .any(|part| part == b"deep=1")
        });
        return Ok(RequestTarget::HealthCheck { deep });
    }
    let head = raw.validate(settings)?;
    Ok(RequestTarget::Task(
        head,
        raw.authorization.map(bearer_token),
    ))
}

impl<'a> RawHead<'a> {
    /// Collects the parameters that are used. If one is repeated, its last value is used.
    fn collect(params: &'a [u8], identity_required: bool) -> Result<RawHead<'a>, ProtocolError> {
        let mut raw = RawHead::default();
        for pair in Params(params) {
            let (name, value) = pair?;
            let field = match name {
                b"REQUEST_METHOD" => &mut raw.method,
                b"SCRIPT_NAME" => &mut raw.path,
                b"QUERY_STRING" => &mut raw.query,
                b"HTTP_X_REQUEST_ID" => &mut raw.id,
                b"HTTP_X_REQUEST_START" => &mut raw.start,
                b"HTTP_X_CALLER" => &mut raw.caller,
                b"HTTP_X_TENANT" => &mut raw.tenant,
                b"HTTP_X_TIMEOUT_MS" => &mut raw.timeout,
                b"HTTP_X_COST_MS" => &mut raw.cost,
                b"HTTP_X_MEMORY_KB" => &mut raw.memory,
                b"HTTP_IDEMPOTENCY_KEY" => &mut raw.key,
                b"HTTP_X_OBJECT" => &mut raw.object,
                b"HTTP_AUTHORIZATION" if identity_required => &mut raw.authorization,
                _ => continue,
            };
            *field = Some(value);
        }
        Ok(raw)
    }

    /// The validated head, or the name of the first field that is missing or invalid.
    fn validate(&self, settings: &Settings) -> Result<RequestHead, &'static str> {
        if self.method.is_some_and(|method| method != b"POST") {
            return Err("method");
        }
        let class = self.class(settings)?;
        let id = self.request_id()?;
        let tenant = tenant_index(self.tenant, settings).ok_or("tenant")?;
        Ok(RequestHead {
            id,
            class,
            tenant,
            start_ms: number(self.start).ok_or("start")?,
            edge_node: number(self.caller)
                .filter(|&n| n <= f64::from(u32::MAX))
                .ok_or("caller")? as u32,
            timeout_ms: optional_number(self.timeout, "timeout")?,
            cost_hint_ms: optional_number(self.cost, "cost")?.filter(|&ms| ms > 0.0),
            memory_kb: number(self.memory)
                .filter(|&kb| kb > 0.0 && kb < MAX_MEMORY_KB)
                .ok_or("memory")?,
            idempotency_key: self.idempotency_key(class, tenant, settings)?,
        })
    }

    /// The position of the request class that the path names.
    fn class(&self, settings: &Settings) -> Result<usize, &'static str> {
        let class_name = self
            .path
            .unwrap_or_default()
            .strip_prefix(TASK_PATH_PREFIX)
            .ok_or("path")?;
        settings
            .class_names
            .iter()
            .position(|name| name.as_bytes() == class_name)
            .ok_or("class")
    }

    fn request_id(&self) -> Result<RequestId, &'static str> {
        self.id
            .and_then(|id| id.try_into().ok())
            .filter(|id: &RequestId| id.iter().all(u8::is_ascii_hexdigit))
            .ok_or("id")
    }

    /// The key by which repeats of this request are recognised: for keyed classes the idempotency key, which is
    /// required; for idempotent classes the object's name, if there is one.
    fn idempotency_key(
        &self,
        class: usize,
        tenant: u32,
        settings: &Settings,
    ) -> Result<Option<IdempotencyKey>, &'static str> {
        let to_key = |bytes: &[u8]| IdempotencyKey {
            class,
            tenant,
            bytes: bytes.into(),
        };
        match settings.decisions.classes[class].idempotency {
            Idempotency::Keyed => match self.key {
                Some(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(to_key(key))),
                _ => Err("key"),
            },
            Idempotency::Idempotent => Ok(self
                .object
                .filter(|object| object.len() <= MAX_KEY_BYTES)
                .map(to_key)),
            Idempotency::NonIdempotent => Ok(None),
        }
    }
}

/// Whether repeats of this request are recognised by an idempotency key.
pub fn is_keyed(head: &RequestHead, settings: &Settings) -> bool {
    settings.decisions.classes[head.class].idempotency == Idempotency::Keyed
}

/// Whether these parameters, which may be invalid otherwise, are of a request with an idempotency key.
pub fn names_keyed_class(params: &[u8], settings: &Settings) -> bool {
    let raw = RawHead::collect(params, false);
    let class = raw.ok().and_then(|raw| raw.class(settings).ok());
    class.is_some_and(|class| settings.decisions.classes[class].idempotency == Idempotency::Keyed)
}

/// The token in `Authorization: Bearer TOKEN` (RFC 6750). For any other scheme it is the complete value, which is not a
/// valid token.
fn bearer_token(value: &[u8]) -> Box<[u8]> {
    const SCHEME: &[u8] = b"Bearer ";
    match value.split_at_checked(SCHEME.len()) {
        Some((scheme, token)) if scheme.eq_ignore_ascii_case(SCHEME) => token.trim_ascii().into(),
        _ => value.into(),
    }
}

/// A finite number of at least 0, in decimal.
fn number(value: Option<&[u8]>) -> Option<f64> {
    let text = std::str::from_utf8(value?).ok()?;
    text.trim()
        .parse()
        .ok()
        .filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// The number in a field that may be absent. Fails with the field's `name` if the field is present but invalid.
fn optional_number(value: Option<&[u8]>, name: &'static str) -> Result<Option<f64>, &'static str> {
    match (value, number(value)) {
        (Some(_), None) => Err(name),
        (_, parsed) => Ok(parsed),
    }
}

/// The position of a tenant in the settings, `None` for an unknown name. If the settings have no tenants or the request
/// names none, it is the first position.
fn tenant_index(name: Option<&[u8]>, settings: &Settings) -> Option<u32> {
    let Some(name) = name.filter(|_| !settings.tenant_names.is_empty()) else {
        return Some(0);
    };
    let position = settings
        .tenant_names
        .iter()
        .position(|tenant| tenant.as_bytes() == name)?;
    u32::try_from(position).ok()
}
