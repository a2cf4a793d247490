//! `asterdale token`: creates tokens, prints a token's claims, and verifies a token as a server would.

use std::path::{Path, PathBuf};

use asterdale_identity::keyring::KeySetError;
use asterdale_identity::mint::{SecretKey, SecretKeyError};
use asterdale_identity::token::{self, Audience, Claims};
use asterdale_identity::{AccessRequest, Credentials, DenialReason, Identity, IdentityError};
use clap::{Args, Subcommand};
use thiserror::Error;

use crate::keys::{parse_duration_ms, read_secret_key, unix_ms, KeysError};
use crate::start::{self, KeySetSource, ReadKeySetError, StartError, StartSettings};

/// The token commands. The comments on variants and fields are their help texts.
#[derive(Subcommand)]
pub enum Command {
    /// Create a token and print it
    Mint(Box<Mint>),
    /// Print the header and claims of a token, without verifying it
    Inspect {
        /// The token
        token: String,
    },
    /// Verify a token as a server with this start file would; exit code 2 if the caller is denied
    Verify {
        /// The token
        token: String,
        /// The start file, with a section `identity`
        #[arg(long)]
        start: PathBuf,
        /// The signed key set; if absent, the file that the start file names
        #[arg(long)]
        set: Option<PathBuf>,
        /// Also verify that the caller may request this stage
        #[arg(long = "stage", value_name = "STAGE")]
        request_class: Option<String>,
    },
}

/// The claims of a new token.
#[derive(Args)]
pub struct Mint {
    /// The secret key that signs the token
    #[arg(long)]
    key: PathBuf,
    /// The issuer
    #[arg(long)]
    issuer: String,
    /// The audience: the service that the token is for
    #[arg(long)]
    audience: String,
    /// The tenant
    #[arg(long)]
    tenant: String,
    /// The subject: the caller that the token identifies
    #[arg(long)]
    subject: String,
    /// A role of the subject; may be repeated
    #[arg(long = "role", required = true)]
    roles: Vec<String>,
    /// The token's lifetime
    #[arg(long = "lives", value_name = "LIVES", default_value = "10m", value_parser = parse_duration_ms)]
    lifetime_ms: f64,
    /// The token's id; if absent, a random one
    #[arg(long)]
    id: Option<String>,
}

/// A command on tokens has failed, or a token was rejected.
#[derive(Debug, Error)]
pub enum TokenError {
    /// The secret key can't be read.
    #[error(transparent)]
    Key(#[from] KeysError),
    /// No id can be generated for the token.
    #[error(transparent)]
    Id(#[from] SecretKeyError),
    /// The new token breaks a rule that servers enforce.
    #[error("every server would reject this token: {0:?}")]
    Unusable(#[source] DenialReason),
    /// The text is not a token.
    #[error("cannot parse the token: {0:?}")]
    Malformed(#[source] DenialReason),
    /// The claims can't be printed.
    #[error(transparent)]
    Print(#[from] serde_json::Error),
    /// The start file can't be read.
    #[error("{}: {source}", path.display())]
    StartFile {
        /// The path of the start file.
        path: PathBuf,
        /// The error of reading it.
        source: std::io::Error,
    },
    /// The start file has faults.
    #[error("{}", fault_lines(.0))]
    Start(#[source] StartError),
    /// The start file accepts any caller.
    #[error("identity: the start file has no such section")]
    NoIdentity,
    /// Neither the command line nor the start file names a file with a key set.
    #[error("--set: the start file names an issuer, and no file")]
    NoKeySetFile,
    /// The key set can't be read.
    #[error(transparent)]
    KeySetFile(#[from] ReadKeySetError),
    /// The identity settings can't be used.
    #[error(transparent)]
    Identity(#[from] IdentityError),
    /// The key set is rejected.
    #[error("the key set is rejected: {0:?}")]
    KeySetRejected(#[source] KeySetError),
    /// A server would deny the request.
    #[error("access denied: {0:?}")]
    Denied(#[source] DenialReason),
    /// There is no such request class.
    #[error("--stage {0}: not a name in settings.lanes")]
    UnknownRequestClass(String),
}

/// The faults of a start file, one per line.
fn fault_lines(error: &StartError) -> String {
    let lines: Vec<String> = error.faults().iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Runs a command.
///
/// # Errors
/// If a file can't be used, or a server would reject the token.
pub fn run(command: Command) -> Result<(), TokenError> {
    match command {
        Command::Mint(claims) => mint(*claims),
        Command::Inspect { token } => inspect(&token),
        Command::Verify {
            token,
            start,
            set,
            request_class,
        } => verify(&token, &start, set, request_class),
    }
}

fn mint(mint: Mint) -> Result<(), TokenError> {
    let key = read_secret_key(&mint.key)?;
    let now_ms = unix_ms();
    let id = match mint.id {
        Some(id) => id,
        None => random_id()?,
    };
    let now_seconds = (now_ms / 1e3).floor();
    let claims = Claims {
        iss: mint.issuer,
        aud: Audience::One(mint.audience),
        sub: mint.subject,
        tenant: mint.tenant,
        roles: mint.roles,
        exp: ((now_ms + mint.lifetime_ms) / 1e3).floor(),
        nbf: Some(now_seconds),
        iat: Some(now_seconds),
        jti: id,
    };
    let text = key.sign_token(&claims);
    token::parse(text.as_bytes()).map_err(TokenError::Unusable)?;
    println!("{text}");
    Ok(())
}

/// A unique token id: the public key of a newly generated secret key.
fn random_id() -> Result<String, TokenError> {
    Ok(SecretKey::generate("id")?.public_key_text())
}

fn inspect(text: &str) -> Result<(), TokenError> {
    let token = token::parse(text.as_bytes()).map_err(TokenError::Malformed)?;
    let shown = serde_json::json!({"head": token.header, "claims": token.claims});
    println!("{}", serde_json::to_string_pretty(&shown)?);
    let left_seconds = token.claims.exp - unix_ms() / 1e3;
    println!("expires in {left_seconds:.0} s; the signature was not checked");
    Ok(())
}

fn verify(
    text: &str,
    start_file: &Path,
    key_set: Option<PathBuf>,
    request_class: Option<String>,
) -> Result<(), TokenError> {
    let start = read_start_file(start_file)?;
    let settings = start.identity.ok_or(TokenError::NoIdentity)?;
    let source = key_set.map_or(settings.key_source, |path| {
        KeySetSource::File(path.display().to_string())
    });
    let key_set = source.read_file().ok_or(TokenError::NoKeySetFile)??;
    let now_ms = unix_ms();
    let mut identity = Identity::new(now_ms, settings.parameters)?;
    identity
        .offer_key_set(now_ms, &key_set)
        .map_err(TokenError::KeySetRejected)?;
    let credentials = Credentials {
        token: Some(text.as_bytes()),
        certificate: None,
        edge_node: 0,
        received_ms: now_ms,
    };
    let caller = identity
        .authenticate(now_ms, credentials)
        .map_err(|denial| TokenError::Denied(denial.reason))?;
    println!(
        "{} of {}, key {}",
        caller.claims.sub,
        caller.claims.tenant,
        caller.key.as_deref().unwrap_or("-")
    );
    let Some(name) = request_class else {
        return Ok(());
    };
    let classes = &start.settings.class_names;
    let Some(class) = classes.iter().position(|known| *known == name) else {
        return Err(TokenError::UnknownRequestClass(name));
    };
    let request = AccessRequest {
        request_class: class,
        declared_cost_ms: None,
        is_repeat: false,
    };
    identity
        .authorize(now_ms, &caller, &request)
        .map_err(|denial| TokenError::Denied(denial.reason))?;
    println!("may request {name}");
    Ok(())
}

/// Reads the start file. The process's name and address are not used here, so the environment variables for them are
/// not read.
fn read_start_file(path: &Path) -> Result<StartSettings, TokenError> {
    let text = std::fs::read(path).map_err(|source| TokenError::StartFile {
        path: path.to_owned(),
        source,
    })?;
    start::parse(&text, Some(String::new()), None).map_err(TokenError::Start)
}
