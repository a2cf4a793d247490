//! What a caller may ask for: roles name stages and bounds, tenants name the roles that their people may have.
//! Bounds count for each tenant and role by themselves, so that a busy clerk takes nothing from a bidder.

use std::collections::HashMap;

use crate::budget::Bucket;
use crate::who::Why;

/// Tenants that a process tells apart over its life, those that were taken out of the start file included:
/// their numbers are never given out anew, as fingerprints hold them.
pub const MOST_TENANTS: usize = 1024;
/// Roles, likewise.
pub const MOST_NAMED_ROLES: usize = 64;

/// A role.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// Its name, as tokens carry it.
    pub name: String,
    /// Stages that it may ask for, by their position.
    pub stages: Vec<usize>,
    /// How many tasks of a tenant may be open at once in this role.
    pub open: usize,
    /// How many may come a second.
    pub per_s: f64,
    /// How many may come at once after a quiet time.
    pub burst: f64,
    /// The largest cost that a task may claim, in milliseconds of one core; infinite for any.
    pub hint_ms: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, as tokens carry it.
    pub name: String,
    /// The customer of the settings that its tasks count for.
    pub customer: usize,
    /// Names of roles that its people may have.
    pub roles: Vec<String>,
}

/// A place that an open task takes up. Whoever has it gives it back by [`Rights::leave`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Seat {
    tenant: u32,
    role: usize,
}

/// One refusal, and in how many milliseconds to come again, if that is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denied {
    /// Why.
    pub why: Why,
    /// When to come again; 0 for no advice.
    pub wait_ms: f64,
}

impl From<Why> for Denied {
    fn from(why: Why) -> Denied {
        Denied { why, wait_ms: 0.0 }
    }
}

#[derive(Clone, Copy)]
struct Quota {
    open: usize,
    bucket: Option<Bucket>,
}

/// Names that have a number for good.
#[derive(Default)]
struct Numbers {
    by_name: HashMap<String, usize>,
}

impl Numbers {
    fn of(&mut self, name: &str) -> usize {
        let next = self.by_name.len();
        *self.by_name.entry(name.to_owned()).or_insert(next)
    }
}

/// Roles, tenants and what they have taken up.
#[derive(Default)]
pub struct Rights {
    names: Numbers,
    role_names: Numbers,
    /// By number; `None` for one that is not in the start file any more.
    tenants: Vec<Option<Tenant>>,
    roles: Vec<Option<Role>>,
    /// By tenant and role.
    quotas: Vec<Vec<Quota>>,
}

impl Rights {
    /// These roles and tenants hold from now on; what is open stays counted. `Err` if that would be too many
    /// names over the life of the process; nothing changes then.
    pub fn told(&mut self, roles: &[Role], tenants: &[Tenant]) -> Result<(), String> {
        let fresh = |known: &Numbers, names: &mut dyn Iterator<Item = &String>| {
            names
                .filter(|name| !known.by_name.contains_key(*name))
                .count()
                + known.by_name.len()
        };
        if fresh(&self.names, &mut tenants.iter().map(|t| &t.name)) > MOST_TENANTS {
            return Err(format!(
                "over {MOST_TENANTS} tenants in the life of this process"
            ));
        }
        if fresh(&self.role_names, &mut roles.iter().map(|r| &r.name)) > MOST_NAMED_ROLES {
            return Err(format!(
                "over {MOST_NAMED_ROLES} roles in the life of this process"
            ));
        }
        self.tenants.fill(None);
        self.roles.fill(None);
        for role in roles {
            let n = self.role_names.of(&role.name);
            self.roles.resize(self.roles.len().max(n + 1), None);
            self.roles[n] = Some(role.clone());
        }
        for tenant in tenants {
            let n = self.names.of(&tenant.name);
            self.tenants.resize(self.tenants.len().max(n + 1), None);
            self.tenants[n] = Some(tenant.clone());
        }
        self.quotas.resize(self.tenants.len(), Vec::new());
        for quotas in &mut self.quotas {
            quotas.resize(
                self.roles.len(),
                Quota {
                    open: 0,
                    bucket: None,
                },
            );
        }
        Ok(())
    }

    /// The number of a tenant that is there now.
    pub fn tenant(&self, name: &str) -> Option<u32> {
        let n = *self.names.by_name.get(name)?;
        self.tenants[n].as_ref().map(|_| n as u32)
    }

    /// How many numbers tenants have been given.
    pub fn tenants(&self) -> u32 {
        self.tenants.len() as u32
    }

    /// The customer of the settings that a tenant's tasks count for.
    pub fn customer(&self, tenant: u32) -> usize {
        self.tenants
            .get(tenant as usize)
            .and_then(Option::as_ref)
            .map_or(0, |tenant| tenant.customer)
    }

    /// Whether somebody of this tenant with these roles may have a task of this stage now. A repeat of one that
    /// is known takes no place and no part of the rate: it costs nothing, and must not be told that it never
    /// ran. The role that still has room serves; of several reasons against it the last is told.
    pub fn permit(
        &mut self,
        now: f64,
        tenant: u32,
        roles: &[String],
        (stage, hint_ms): (usize, Option<f64>),
        repeat: bool,
    ) -> Result<Option<Seat>, Denied> {
        let told = self
            .tenants
            .get(tenant as usize)
            .and_then(Option::as_ref)
            .ok_or(Why::Tenant)?;
        let mut denied = Denied::from(Why::Role);
        for name in roles.iter().filter(|name| told.roles.contains(name)) {
            let Some(n) = self.role_names.by_name.get(name).copied() else {
                continue;
            };
            let Some(role) = &self.roles[n] else { continue };
            if !role.stages.contains(&stage) {
                // What another role lacks tells more than that this one is of no use here.
                if denied.why == Why::Role {
                    denied = Why::Stage.into();
                }
                continue;
            }
            if hint_ms.is_some_and(|hint| hint > role.hint_ms) {
                denied = Why::Hint.into();
                continue;
            }
            if repeat {
                return Ok(None);
            }
            let quota = &mut self.quotas[tenant as usize][n];
            if quota.open >= role.open {
                denied = Why::Open.into();
                continue;
            }
            let bucket = quota
                .bucket
                .get_or_insert_with(|| Bucket::full(now, role.burst));
            match bucket.take(now, role.per_s, role.burst) {
                Ok(()) => {
                    quota.open += 1;
                    return Ok(Some(Seat { tenant, role: n }));
                }
                Err(wait_ms) => {
                    denied = Denied {
                        why: Why::Rate,
                        wait_ms,
                    }
                }
            }
        }
        Err(denied)
    }

    /// The task is over.
    pub fn leave(&mut self, seat: Seat) {
        let quota = &mut self.quotas[seat.tenant as usize][seat.role];
        quota.open = quota.open.saturating_sub(1);
    }

    /// All tenants' names by their numbers, for a process that goes on with them.
    pub fn names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.names.by_name.len()];
        self.names
            .by_name
            .iter()
            .for_each(|(name, n)| names[*n].clone_from(name));
        names
    }

    /// Numbers tenants as a process before did. To be done before anything else; what the start file tells comes
    /// after.
    pub fn go_on(&mut self, names: &[String]) {
        for name in names.iter().take(MOST_TENANTS) {
            let n = self.names.of(name);
            self.tenants.resize(self.tenants.len().max(n + 1), None);
        }
    }

    /// Whose place this is, and by which role.
    pub fn place(&self, seat: &Seat) -> (u32, String) {
        let role = self
            .role_names
            .by_name
            .iter()
            .find(|(_, n)| **n == seat.role);
        (
            seat.tenant,
            role.map_or_else(String::new, |(name, _)| name.clone()),
        )
    }

    /// Takes up a place that a task has had already; `None` if there is no such tenant or role any more.
    pub fn replace(&mut self, (tenant, role): &(u32, String)) -> Option<Seat> {
        let n = *self.role_names.by_name.get(role)?;
        self.quotas.get_mut(*tenant as usize)?.get_mut(n)?.open += 1;
        Some(Seat {
            tenant: *tenant,
            role: n,
        })
    }

    /// How many tasks of a tenant are open, in all roles.
    pub fn open(&self, tenant: u32) -> usize {
        self.quotas
            .get(tenant as usize)
            .map_or(0, |quotas| quotas.iter().map(|quota| quota.open).sum())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn role(name: &str, stages: &[usize]) -> Role {
        let (name, stages) = (name.to_owned(), stages.to_vec());
        Role {
            name,
            stages,
            open: 2,
            per_s: 1.0,
            burst: 3.0,
            hint_ms: 50.0,
        }
    }

    fn tenant(name: &str, roles: &[&str]) -> Tenant {
        let roles = roles.iter().map(|role| (*role).to_owned()).collect();
        Tenant {
            name: name.to_owned(),
            customer: 7,
            roles,
        }
    }

    fn rights() -> Rights {
        let mut rights = Rights::default();
        let tenants = [tenant("a", &["clerk", "phone"]), tenant("b", &["clerk"])];
        rights
            .told(&[role("clerk", &[0]), role("phone", &[1])], &tenants)
            .unwrap();
        rights
    }

    fn ask(
        rights: &mut Rights,
        now: f64,
        tenant: u32,
        roles: &[&str],
        stage: usize,
    ) -> Result<Option<Seat>, Why> {
        let roles: Vec<String> = roles.iter().map(|role| (*role).to_owned()).collect();
        rights
            .permit(now, tenant, &roles, (stage, Some(1.0)), false)
            .map_err(|denied| denied.why)
    }

    #[test]
    fn a_role_opens_its_stages_where_the_tenant_may_have_it() {
        let mut rights = rights();
        let (a, b) = (rights.tenant("a").unwrap(), rights.tenant("b").unwrap());
        assert!(ask(&mut rights, 0.0, a, &["clerk"], 0).is_ok());
        assert_eq!(ask(&mut rights, 0.0, a, &["clerk"], 1), Err(Why::Stage));
        assert!(ask(&mut rights, 0.0, a, &["clerk", "phone"], 1).is_ok());
        assert_eq!(ask(&mut rights, 0.0, b, &["phone"], 1), Err(Why::Role));
        assert_eq!(ask(&mut rights, 0.0, b, &["unheard"], 0), Err(Why::Role));
        assert_eq!(ask(&mut rights, 0.0, b, &[], 0), Err(Why::Role));
        assert_eq!(ask(&mut rights, 0.0, 9, &["clerk"], 0), Err(Why::Tenant));
        assert_eq!((rights.customer(a), rights.tenant("c")), (7, None));
        let roles = ["phone".to_owned()];
        let much = rights
            .permit(0.0, a, &roles, (1, Some(50.1)), false)
            .unwrap_err();
        assert_eq!(
            much,
            Denied {
                why: Why::Hint,
                wait_ms: 0.0
            }
        );
        assert!(rights.permit(0.0, a, &roles, (1, None), false).is_ok());
    }

    #[test]
    fn places_are_given_back_and_the_rate_says_when_to_come_again() {
        let mut rights = rights();
        let a = rights.tenant("a").unwrap();
        let one = ask(&mut rights, 0.0, a, &["clerk"], 0).unwrap().unwrap();
        let two = ask(&mut rights, 0.0, a, &["clerk"], 0).unwrap().unwrap();
        assert_eq!(
            (ask(&mut rights, 0.0, a, &["clerk"], 0), rights.open(a)),
            (Err(Why::Open), 2)
        );
        // Other roles of the tenant, and other tenants, have their own.
        assert!(
            ask(&mut rights, 0.0, a, &["phone"], 1).is_ok()
                && ask(&mut rights, 0.0, 1, &["clerk"], 0).is_ok()
        );
        rights.leave(one);
        rights.leave(two);
        let three = ask(&mut rights, 0.0, a, &["clerk"], 0).unwrap().unwrap();
        rights.leave(three);
        let roles = ["clerk".to_owned()];
        let wait = rights
            .permit(250.0, a, &roles, (0, None), false)
            .unwrap_err();
        assert_eq!(
            wait,
            Denied {
                why: Why::Rate,
                wait_ms: 750.0
            }
        );
        // A repeat passes all the same, and takes nothing.
        assert_eq!(rights.permit(250.0, a, &roles, (0, None), true), Ok(None));
        assert!(ask(&mut rights, 1000.0, a, &["clerk"], 0).is_ok());
    }

    #[test]
    fn a_new_start_file_keeps_numbers_and_what_is_open() {
        let mut rights = rights();
        let (a, b) = (rights.tenant("a").unwrap(), rights.tenant("b").unwrap());
        let seat = ask(&mut rights, 0.0, b, &["clerk"], 0).unwrap().unwrap();
        rights
            .told(
                &[role("other", &[]), role("clerk", &[0, 1])],
                &[tenant("c", &["clerk"])],
            )
            .unwrap();
        assert_eq!((rights.tenant("a"), rights.tenant("b")), (None, None));
        let c = rights.tenant("c").unwrap();
        assert!(
            c != a && c != b,
            "a number that fingerprints may hold was given out anew"
        );
        assert_eq!(ask(&mut rights, 0.0, b, &["clerk"], 0), Err(Why::Tenant));
        rights
            .told(&[role("clerk", &[0])], &[tenant("b", &["clerk"])])
            .unwrap();
        assert_eq!((rights.tenant("b"), rights.open(b)), (Some(b), 1));
        rights.leave(seat);
        assert_eq!(rights.open(b), 0);
        let many: Vec<Tenant> = (0..MOST_TENANTS)
            .map(|n| tenant(&format!("n{n}"), &[]))
            .collect();
        assert!(rights.told(&[], &many).is_err());
        assert_eq!(rights.tenant("b"), Some(b));
    }
}
