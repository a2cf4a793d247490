//! Section `identity` of the start file: which callers are accepted, and where the keys that verify them come from.

mod callers;
pub mod section;

use std::io::{self, Read as _};

use asterdale_engine::issuer::KeySource;
use asterdale_identity::keyring::{parse_public_key, MAX_KEY_SET_BYTES};
use asterdale_identity::IdentitySettings as IdentityParameters;
use asterdale_parameters::Settings;
use thiserror::Error;

use super::error::{Faults, Problem};
use section::{IdentitySection, IssuerSection, KeySetSection};

/// The default clock skew that is tolerated, in milliseconds.
const DEFAULT_SKEW_MS: f64 = 500.0;
/// The accepted clock skews, in milliseconds. With a larger one, tokens would be accepted long after they expired.
const SKEW_RANGE_MS: std::ops::RangeInclusive<f64> = 0.0..=300_000.0;
/// The default size of the token cache, in tokens.
const DEFAULT_CACHED_TOKENS: u32 = 2048;
/// The maximum size of the token cache, in tokens. Bounds its memory.
const MAX_CACHED_TOKENS: u32 = 65_536;
/// The memory of a cached token, in bytes: its caller's names, and places in the tables of verified and rejected tokens.
const CACHED_TOKEN_BYTES: usize = 1024;
/// The default limit of signature verifications per second for one edge node; they take a small part of one core.
const DEFAULT_SIGNATURES_PER_EDGE_PER_S: f64 = 50.0;
/// The default limit of signature verifications per second for all edge nodes together.
const DEFAULT_SIGNATURES_PER_S: f64 = 400.0;
/// The default time between two polls of the issuer, in milliseconds.
const DEFAULT_POLL_INTERVAL_MS: f64 = 30_000.0;
/// The maximum length of a key set's path at its issuer, in bytes, so that a request for it fits in one packet.
const MAX_ISSUER_PATH_BYTES: usize = 1024;

/// Which callers are accepted, and where the keys that verify them come from.
#[derive(Clone, Debug)]
pub struct IdentitySettings {
    /// How callers are verified.
    pub parameters: IdentityParameters,
    /// Where key sets come from.
    pub key_source: KeySetSource,
}

impl IdentitySettings {
    /// The memory of the token cache, in bytes.
    pub fn cache_bytes(&self) -> usize {
        self.parameters.cached_tokens * CACHED_TOKEN_BYTES
    }
}

/// Where key sets come from.
#[derive(Clone, Debug)]
pub enum KeySetSource {
    /// A file, by its path.
    File(String),
    /// An issuer that is polled over HTTP.
    Issuer(KeySource),
}

/// A key set file can't be read.
#[derive(Debug, Error)]
#[error("{path}: {source}")]
pub struct ReadKeySetError {
    path: String,
    source: io::Error,
}

impl KeySetSource {
    /// Reads the key set file and trims the white space around it; `None` if key sets come from an issuer. Reads at
    /// most one byte more than a key set may have, so that the check of the set rejects a longer file for its length.
    pub fn read_file(&self) -> Option<Result<Vec<u8>, ReadKeySetError>> {
        let KeySetSource::File(path) = self else {
            return None;
        };
        let mut text = Vec::new();
        let read = std::fs::File::open(path)
            .and_then(|file| {
                file.take(MAX_KEY_SET_BYTES as u64 + 1)
                    .read_to_end(&mut text)
            })
            .map_err(|source| ReadKeySetError {
                path: path.clone(),
                source,
            });
        Some(read.map(|_| text.trim_ascii().to_vec()))
    }
}

/// Checks the section; `None` if it has no usable source of key sets.
pub fn check(
    section: IdentitySection,
    seed: u64,
    settings: &Settings,
    faults: &mut Faults,
) -> Option<IdentitySettings> {
    let issuer = require_text("identity.issuer", section.issuer, faults);
    let audience = require_text("identity.audience", section.audience, faults);
    let mut roots = Vec::new();
    for (index, text) in require_roots(section.roots, faults).iter().enumerate() {
        match parse_public_key(text) {
            Some(root) => roots.push(root),
            None => faults.add(
                format!("identity.roots[{index}]"),
                "is not a public key (32 bytes in base64url)",
            ),
        }
    }
    let skew_ms = section.skew_ms.unwrap_or(DEFAULT_SKEW_MS);
    if !SKEW_RANGE_MS.contains(&skew_ms) {
        faults.add("identity.skew_ms", "must be from 0 to 300000");
    }
    let roles = callers::check_roles(section.roles, settings, faults);
    let tenants = callers::check_tenants(section.tenants, &roles, settings, faults);
    let certificates = callers::check_certificates(section.certificates, &roles, &tenants, faults);
    let key_source = check_key_source(section.keys, faults)?;
    let cached_tokens = section.cache.unwrap_or(DEFAULT_CACHED_TOKENS);
    let parameters = IdentityParameters {
        seed,
        issuer,
        audience,
        root_keys: roots,
        max_key_set_age_ms: section.max_age_ms.map_or(f64::INFINITY, |ms| ms.0),
        clock_skew_ms: skew_ms,
        cached_tokens: cached_tokens.clamp(1, MAX_CACHED_TOKENS) as usize,
        signatures_per_edge_per_s: section
            .signatures_per_edge
            .map_or(DEFAULT_SIGNATURES_PER_EDGE_PER_S, |rate| rate.0),
        signatures_per_s: section
            .signatures
            .map_or(DEFAULT_SIGNATURES_PER_S, |rate| rate.0),
        roles,
        tenants,
        certificate_mappings: certificates,
    };
    Some(IdentitySettings {
        parameters,
        key_source,
    })
}

/// Returns a required text. A missing or empty one is reported, and returned as an empty text.
fn require_text(path: &str, text: Option<String>, faults: &mut Faults) -> String {
    let text = faults.require(path, text).unwrap_or_default();
    if text.is_empty() && !faults.has(path) {
        faults.add(path, Problem::Empty);
    }
    text
}

/// Returns the texts of the root public keys, which sign key sets. Reports a fault if there are none.
fn require_roots(roots: Option<Vec<String>>, faults: &mut Faults) -> Vec<String> {
    let roots = faults.require("identity.roots", roots).unwrap_or_default();
    if roots.is_empty() {
        faults.add("identity.roots", "must have at least one entry");
    }
    roots
}

/// Checks the source of key sets; `None` if it is missing, ambiguous or incomplete.
fn check_key_source(section: Option<KeySetSection>, faults: &mut Faults) -> Option<KeySetSource> {
    let section = faults.require("identity.keys", section)?;
    match (section.file, section.fetch) {
        (Some(path), None) => Some(KeySetSource::File(path)),
        (None, Some(issuer)) => check_issuer(issuer, faults).map(KeySetSource::Issuer),
        _ => {
            faults.add("identity.keys", "must have exactly one of file and fetch");
            None
        }
    }
}

fn check_issuer(section: IssuerSection, faults: &mut Faults) -> Option<KeySource> {
    let address = faults.require("identity.keys.fetch.at", section.address)?.0;
    let path = faults.require("identity.keys.fetch.path", section.path)?;
    let is_printable = path.bytes().all(|byte| byte.is_ascii_graphic());
    if !path.starts_with('/') || !is_printable || path.len() > MAX_ISSUER_PATH_BYTES {
        faults.add(
            "identity.keys.fetch.path",
            "must begin with / and be at most 1024 printable ASCII characters, without spaces",
        );
    }
    Some(KeySource {
        address,
        path,
        interval_ms: section
            .poll_interval_ms
            .map_or(DEFAULT_POLL_INTERVAL_MS, |ms| ms.0),
    })
}
