//! The two gates, put together: who is calling, and whether the caller may have this task.

use std::sync::Arc;

use ed25519_dalek::VerifyingKey;
use serde::{Deserialize, Serialize};

use crate::budget::Budget;
use crate::cache::{Digests, Proven, RefusedTokens};
use crate::failpoint::{self, Failpoint};
use crate::keyring::{Keyring, Offered, Phase, Refused};
use crate::rights::{Denied, Rights, Role, Tenant};
use crate::token::{self, Claims};

use crate::who::{Caller, Why};

pub use crate::rights::Seat;

/// What identity is told: all of it can change while the process serves, but for the seed and the cache.
#[derive(Clone, Debug)]
pub struct Facts {
    /// For digests that nobody outside can foresee.
    pub seed: u64,
    /// `iss` of the tokens that are taken.
    pub issuer: String,
    /// `aud` of them.
    pub audience: String,
    /// Keys that may sign sets of keys.
    pub roots: Vec<VerifyingKey>,
    /// A set serves for so long after it was signed, in milliseconds; infinite for ever.
    pub most_age_ms: f64,
    /// How far clocks may be apart, in milliseconds.
    pub skew_ms: f64,
    /// How many proven tokens are remembered.
    pub cache: usize,
    /// Signatures a second that may be checked for one edge node.
    pub per_edge: f64,
    /// And for all.
    pub in_all: f64,
    /// The roles.
    pub roles: Vec<Role>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// For whom certificates speak.
    pub certificates: Vec<Named>,
}

/// What comes with a task.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The token, if there is one.
    pub token: Option<&'a [u8]>,
    /// The certificate of the connection, if it has one: it speaks for what comes without a token.
    pub certificate: Option<&'a Certificate>,
    /// The number of the edge node.
    pub edge: u32,
    /// When it came to the machine, by the clock of `now`: never later than now, and no earlier than what the
    /// host itself has seen allows.
    pub arrived_ms: f64,
}

/// What a process that goes on with an identity needs beside the start file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Passed {
    tenants: Vec<String>,
    ring: crate::keyring::Passed,
}

/// A certificate that a client has shown, and that was good when it did: its chain and its time were checked by
/// whoever did the handshake.
#[derive(Clone, Debug, PartialEq)]
pub struct Certificate {
    /// Its names: `dns:`, `uri:` or `email:` and the name.
    pub names: Vec<String>,
    /// It is valid from then on, in Unix milliseconds.
    pub from_ms: f64,
    /// Until then.
    pub until_ms: f64,
    /// SHA-256 over it, in hexadecimal: the id by which it can be revoked, as a token by its own.
    pub print: String,
}

/// For whom a certificate with a certain name speaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Named {
    /// The name, as in [`Certificate::names`].
    pub name: String,
    /// The tenant.
    pub tenant: String,
    /// The subject.
    pub subject: String,
    /// What it is there for.
    pub roles: Vec<String>,
}

/// Who is calling, and what they may.
pub struct Identity {
    facts: Facts,
    ring: Keyring,
    rights: Rights,
    budget: Budget,
    digests: Digests,
    proven: Proven,
    refused: RefusedTokens,
    /// Signatures checked so far.
    checked: u64,
}

/// Places for refused tokens, for each one for proven tokens: a flood has more tokens than there are customers.
const REFUSED_FOR_EACH: usize = 2;

impl Identity {
    /// Without keys: all tasks get [`Why::NoKeys`] until a set is offered.
    pub fn new(now: f64, facts: Facts) -> Result<Identity, String> {
        let mut rights = Rights::default();
        rights.told(&facts.roles, &facts.tenants)?;
        Ok(Identity {
            ring: Keyring::new(facts.roots.clone(), facts.most_age_ms),
            rights,
            budget: Budget::new(now, facts.per_edge, facts.in_all),
            digests: Digests::new(facts.seed),
            proven: Proven::new(facts.cache),
            refused: RefusedTokens::new(REFUSED_FOR_EACH * facts.cache),
            checked: 0,
            facts,
        })
    }

    /// The start file was read again. Keys, places and numbers of tenants stay.
    pub fn retold(&mut self, facts: Facts) -> Result<(), String> {
        self.rights.told(&facts.roles, &facts.tenants)?;
        self.ring.retold(facts.roots.clone(), facts.most_age_ms);
        self.budget.retold(facts.per_edge, facts.in_all);
        self.refused.clear();
        self.facts = facts;
        Ok(())
    }

    /// Offers a set of keys. Once it is adopted, callers that are held must be looked at anew, see
    /// [`Identity::revoked`].
    pub fn offer(&mut self, now: f64, set: &[u8]) -> Result<Offered, Refused> {
        let offered = self.ring.offer(now, set)?;
        if offered == Offered::Adopted && !failpoint::is_active(Failpoint::Cache) {
            self.refused.clear();
            let ring = &self.ring;
            self.proven.retain(|caller| {
                let known = caller
                    .key
                    .as_ref()
                    .is_none_or(|key| ring.key(key).is_some());
                known && ring.revoked(&caller.claims).is_ok()
            });
        }
        Ok(offered)
    }

    /// What a process that goes on needs: numbers of tenants, and what the ring knows. Levels of quotas are not
    /// among it, which costs one burst at most; places are taken again task by task.
    pub fn pass(&self) -> Passed {
        Passed {
            tenants: self.rights.names(),
            ring: self.ring.pass(),
        }
    }

    /// Goes on where another process stood. To be done before anything is asked.
    pub fn continue_from(&mut self, now: f64, passed: Passed) -> Result<(), String> {
        let mut rights = Rights::default();
        rights.go_on(&passed.tenants);
        rights.told(&self.facts.roles, &self.facts.tenants)?;
        self.rights = rights;
        self.ring
            .go_on(now, passed.ring)
            .map_err(|why| format!("the set of keys: {why:?}"))
    }

    /// Whose place this is, and by which role.
    pub fn place(&self, seat: &Seat) -> (u32, String) {
        self.rights.place(seat)
    }

    /// Takes up a place that a task has had already.
    pub fn replace(&mut self, place: &(u32, String)) -> Option<Seat> {
        self.rights.replace(place)
    }

    /// The keys.
    pub fn ring(&self) -> &Keyring {
        &self.ring
    }

    /// What tenants have taken up.
    pub fn rights(&self) -> &Rights {
        &self.rights
    }

    /// Signatures checked, and proven tokens remembered.
    pub fn cost(&self) -> (u64, usize) {
        (self.checked, self.proven.len())
    }

    /// Who is calling. What is refused for good costs a digest and a look-up when it comes again; what is
    /// refused otherwise costs at most one signature, within what its edge node may cost.
    pub fn identify(&mut self, now: f64, ask: Ask<'_>) -> Result<Arc<Caller>, Denied> {
        let Some(text) = ask.token else {
            return self.vouch(now, ask).map_err(Denied::from);
        };
        // What lay unread is judged by when it came; but no stamp lengthens a life by more than the skew.
        let at = ask.arrived_ms.clamp(now - self.facts.skew_ms, now);
        if text.len() > token::MOST_TOKEN {
            return Err(Why::Malformed.into());
        }
        let digest = self.digests.of(text);
        if let Some(why) = self.refused.get(&digest) {
            return Err(why.into());
        }
        let verdict = match self.proven.get(&digest) {
            Some(caller) if failpoint::is_active(Failpoint::Cache) => Ok(caller.clone()),
            Some(caller) => {
                let caller = caller.clone();
                self.standing(now, at, caller.key.as_deref(), &caller.claims)
                    .map(|_| caller)
                    .map_err(Denied::from)
            }
            None => self.prove(now, at, text, ask.edge),
        };
        match &verdict {
            Ok(caller) => {
                if self.proven.get(&digest).is_none() {
                    self.proven.put(digest, caller.clone());
                }
            }
            Err(denied) if denied.why.lasts() => self.refused.put(digest, denied.why),
            Err(_) => {}
        }
        verdict
    }

    /// A token that was not proven before. All that can refuse it without its signature comes first: if it was
    /// forged it would be refused anyway, and if not, it says the truth about itself.
    fn prove(&mut self, now: f64, at: f64, text: &[u8], edge: u32) -> Result<Arc<Caller>, Denied> {
        let token = token::read(text)?;
        let tenant = self.standing(now, at, Some(&token.head.kid), &token.claims)?;
        let key = *self.ring.key(&token.head.kid).ok_or(Why::KeyUnknown)?;
        self.budget.take(now, edge).map_err(|wait_ms| Denied {
            why: Why::Busy,
            wait_ms,
        })?;
        self.checked += 1;
        let right = token.signed_by(&key);
        self.budget.turned_out(now, edge, right);
        if !right {
            return Err(Why::Signature.into());
        }
        Ok(Arc::new(Caller {
            tenant,
            key: Some(token.head.kid),
            claims: token.claims,
        }))
    }

    /// For whom the connection's certificate speaks. Its caller is made anew for each task: it costs no
    /// signature, and what the start file says of it holds at once.
    fn vouch(&self, now: f64, ask: Ask<'_>) -> Result<Arc<Caller>, Why> {
        let shown = ask.certificate.ok_or(Why::Missing)?;
        let named = self
            .facts
            .certificates
            .iter()
            .find(|named| shown.names.contains(&named.name));
        let named = named.ok_or(Why::CertificateName)?;
        let claims = Claims {
            iss: self.facts.issuer.clone(),
            aud: token::Audience::One(self.facts.audience.clone()),
            sub: named.subject.clone(),
            tenant: named.tenant.clone(),
            roles: named.roles.clone(),
            exp: shown.until_ms / 1000.0,
            nbf: Some(shown.from_ms / 1000.0),
            iat: None,
            jti: shown.print.clone(),
        };
        let at = ask.arrived_ms.clamp(now - self.facts.skew_ms, now);
        let tenant = self.standing(now, at, None, &claims)?;
        Ok(Arc::new(Caller {
            tenant,
            key: None,
            claims,
        }))
    }

    /// Whether somebody with this key and these claims passes, the signature aside; the tenant's number.
    fn standing(&self, now: f64, at: f64, key: Option<&str>, claims: &Claims) -> Result<u32, Why> {
        let skew = self.facts.skew_ms;
        let passes = key.map_or(Ok(()), |key| self.ring.passes(key, at, skew));
        // Revocations hold even of a set that is too old to let anybody in.
        match passes {
            Err(Why::KeyRevoked) => return Err(Why::KeyRevoked),
            _ => self.ring.revoked(claims)?,
        }
        // Of certificates, too: whoever has no set does not know which are revoked.
        if !self.ring.serves(now) {
            return Err(Why::NoKeys);
        }
        passes?;
        if at >= claims.exp * 1000.0 + skew {
            return Err(Why::Expired);
        }
        if claims.nbf.is_some_and(|from| at < from * 1000.0 - skew) {
            return Err(Why::Early);
        }
        if claims.iss != self.facts.issuer {
            return Err(Why::Issuer);
        }
        if !claims.aud.holds(&self.facts.audience) {
            return Err(Why::Audience);
        }
        self.rights.tenant(&claims.tenant).ok_or(Why::Tenant)
    }

    /// Whether this caller is revoked by now. What only lapses (a token, an overlap) is judged at arrival, once.
    pub fn revoked(&self, caller: &Caller) -> Option<Why> {
        let phase = caller
            .key
            .as_ref()
            .and_then(|key| self.ring.phase(key, 0.0));
        if phase == Some(Phase::Revoked) {
            return Some(Why::KeyRevoked);
        }
        self.ring.revoked(&caller.claims).err()
    }

    /// Whether the caller may have this task now. `repeat` if it repeats one that is known here. A seat must be
    /// given back by [`Identity::leave`] once the task is over; a repeat has none.
    pub fn permit(
        &mut self,
        now: f64,
        caller: &Caller,
        stage: usize,
        hint_ms: Option<f64>,
        repeat: bool,
    ) -> Result<Option<Seat>, Denied> {
        self.rights.permit(
            now,
            caller.tenant,
            &caller.claims.roles,
            (stage, hint_ms),
            repeat,
        )
    }

    /// The customer of the settings that this tenant's tasks count for.
    pub fn customer(&self, tenant: u32) -> usize {
        self.rights.customer(tenant)
    }

    /// A task that had a seat is over.
    pub fn leave(&mut self, seat: Seat) {
        self.rights.leave(seat);
    }
}
