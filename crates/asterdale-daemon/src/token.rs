//! `asterdale token`: makes tokens, shows what one claims, and says what a server would make of it.

use std::path::PathBuf;

use asterdale_identity::mint::SecretKey;
use asterdale_identity::token::{self, Audience, Claims};
use asterdale_identity::{AccessRequest, Credentials, Identity};
use clap::{Args, Subcommand};

use crate::keys;
use crate::start;

/// What can be done with tokens.
#[derive(Subcommand)]
pub enum Command {
    /// Make a token and print it
    Mint(Box<Mint>),
    /// Print what a token says of itself, which proves nothing
    Inspect {
        /// The token
        token: String,
    },
    /// Judge a token as a server with this start file would; exit code 2 if it turns the caller away
    Verify {
        /// The token
        token: String,
        /// The start file, with a section `identity`
        #[arg(long)]
        start: PathBuf,
        /// The signed set of keys; the file that the start file names if absent
        #[arg(long)]
        set: Option<PathBuf>,
        /// Ask for a task of this stage, too
        #[arg(long)]
        stage: Option<String>,
    },
}

/// What a new token says.
#[derive(Args)]
pub struct Mint {
    /// The secret key that signs it
    #[arg(long)]
    key: PathBuf,
    /// Who issues it
    #[arg(long)]
    issuer: String,
    /// For whom it is meant
    #[arg(long)]
    audience: String,
    /// The tenant
    #[arg(long)]
    tenant: String,
    /// Whom it speaks for
    #[arg(long)]
    subject: String,
    /// What the subject is there for; may come several times
    #[arg(long = "role", required = true)]
    roles: Vec<String>,
    /// How long it lives
    #[arg(long, default_value = "10m", value_parser = keys::duration)]
    lives: f64,
    /// Its id; one made at random if absent
    #[arg(long)]
    id: Option<String>,
}

fn mint(mint: Mint) -> Result<(), String> {
    let (secret, now) = (keys::secret(&mint.key)?, keys::now());
    // The public half of a key that was just made up: no two are alike.
    let jti = match mint.id {
        Some(id) => id,
        None => SecretKey::generate("id")
            .map_err(|error| error.to_string())?
            .public_key_text(),
    };
    let claims = Claims {
        iss: mint.issuer,
        aud: Audience::One(mint.audience),
        sub: mint.subject,
        tenant: mint.tenant,
        roles: mint.roles,
        exp: ((now + mint.lives) / 1e3).floor(),
        nbf: Some((now / 1e3).floor()),
        iat: Some((now / 1e3).floor()),
        jti,
    };
    let text = secret.sign_token(&claims);
    token::parse(text.as_bytes())
        .map_err(|why| format!("no server would take this token: {why:?}"))?;
    println!("{text}");
    Ok(())
}

fn inspect(text: &str) -> Result<(), String> {
    let token = token::parse(text.as_bytes())
        .map_err(|why| format!("this can't be read as a token: {why:?}"))?;
    let shown = serde_json::json!({"head": token.header, "claims": token.claims});
    println!(
        "{}",
        serde_json::to_string_pretty(&shown).map_err(|e| e.to_string())?
    );
    let left = token.claims.exp - keys::now() / 1e3;
    println!("expires in {left:.0} s; the signature was not checked");
    Ok(())
}

fn verify(
    text: &str,
    file: &PathBuf,
    set: Option<PathBuf>,
    stage: Option<String>,
) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{}: {e}", file.display());
    let start = start::parse(
        &std::fs::read(file).map_err(told)?,
        Some(String::new()),
        None,
    );
    let start = start.map_err(|error| {
        error
            .faults()
            .iter()
            .map(|f| f.to_string())
            .collect::<Vec<_>>()
            .join("\n")
    })?;
    let callers = start
        .identity
        .ok_or("identity: the start file has no such section")?;
    let source = set.map_or(callers.key_source, |path| {
        start::KeySetSource::File(path.display().to_string())
    });
    let set = source
        .read_file()
        .ok_or("--set: the start file names an issuer, and no file")?
        .map_err(|e| e.to_string())?;
    let now = keys::now();
    let mut identity = Identity::new(now, callers.parameters).map_err(|error| error.to_string())?;
    identity
        .offer_key_set(now, &set)
        .map_err(|why| format!("the set of keys is refused: {why:?}"))?;
    let ask = Credentials {
        token: Some(text.as_bytes()),
        certificate: None,
        edge_node: 0,
        received_ms: now,
    };
    let caller = identity
        .authenticate(now, ask)
        .map_err(|denied| format!("turned away: {:?}", denied.reason))?;
    println!(
        "{} of {}, key {}",
        caller.claims.sub,
        caller.claims.tenant,
        caller.key.as_deref().unwrap_or("-")
    );
    if let Some(stage) = stage {
        let at = start
            .settings
            .class_names
            .iter()
            .position(|name| *name == stage);
        let at = at.ok_or(format!("--stage {stage}: no name in settings.lanes"))?;
        let request = AccessRequest {
            request_class: at,
            declared_cost_ms: None,
            is_repeat: false,
        };
        identity
            .authorize(now, &caller, &request)
            .map_err(|denied| format!("turned away: {:?}", denied.reason))?;
        println!("may ask for {stage}");
    }
    Ok(())
}

/// Does it.
pub fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Mint(what) => mint(*what),
        Command::Inspect { token } => inspect(&token),
        Command::Verify {
            token,
            start,
            set,
            stage,
        } => verify(&token, &start, set, stage),
    }
}
