//! What a caller may ask for: roles name stages and bounds, tenants name the roles that their people may have.
//! Bounds count for each tenant and role by themselves, so that a busy clerk takes nothing from a bidder.

use std::collections::HashMap;

use crate::budget::TokenBucket;
use crate::denial::DenialReason;

/// Tenants that a process tells apart over its life, those that were taken out of the start file included:
/// their numbers are never given out anew, as fingerprints hold them.
pub const MAX_TENANTS: usize = 1024;
/// Roles, likewise.
pub const MAX_ROLES: usize = 64;

/// A role.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// Its name, as tokens carry it.
    pub name: String,
    /// Stages that it may ask for, by their position.
    pub request_classes: Vec<usize>,
    /// How many tasks of a tenant may be open at once in this role.
    pub max_concurrent: usize,
    /// How many may come a second.
    pub requests_per_s: f64,
    /// How many may come at once after a quiet time.
    pub burst: f64,
    /// The largest cost that a task may claim, in milliseconds of one core; infinite for any.
    pub max_cost_ms: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, as tokens carry it.
    pub name: String,
    /// The customer of the settings that its tasks count for.
    pub scheduling_tenant: usize,
    /// Names of roles that its people may have.
    pub roles: Vec<String>,
}

/// A place that an open task takes up. Whoever has it gives it back by [`Rights::leave`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct ConcurrencyPermit {
    tenant: u32,
    role: usize,
}

/// One refusal, and in how many milliseconds to come again, if that is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Why.
    pub reason: DenialReason,
    /// When to come again; 0 for no advice.
    pub retry_after_ms: f64,
}

impl From<DenialReason> for Denial {
    fn from(why: DenialReason) -> Denial {
        Denial {
            reason: why,
            retry_after_ms: 0.0,
        }
    }
}

#[derive(Clone, Copy)]
struct Quota {
    open_requests: usize,
    bucket: Option<TokenBucket>,
}

/// Names that have a number for good.
#[derive(Default)]
struct NameNumbers {
    by_name: HashMap<String, usize>,
}

impl NameNumbers {
    fn get_or_assign(&mut self, name: &str) -> usize {
        let next = self.by_name.len();
        *self.by_name.entry(name.to_owned()).or_insert(next)
    }
}

/// Roles, tenants and what they have taken up.
#[derive(Default)]
pub struct Authorizer {
    tenant_numbers: NameNumbers,
    role_numbers: NameNumbers,
    /// By number; `None` for one that is not in the start file any more.
    tenants: Vec<Option<Tenant>>,
    roles: Vec<Option<Role>>,
    /// By tenant and role.
    quotas: Vec<Vec<Quota>>,
}

impl Authorizer {
    /// These roles and tenants hold from now on; what is open stays counted. `Err` if that would be too many
    /// names over the life of the process; nothing changes then.
    pub fn configure(&mut self, roles: &[Role], tenants: &[Tenant]) -> Result<(), String> {
        let fresh = |known: &NameNumbers, names: &mut dyn Iterator<Item = &String>| {
            names
                .filter(|name| !known.by_name.contains_key(*name))
                .count()
                + known.by_name.len()
        };
        if fresh(&self.tenant_numbers, &mut tenants.iter().map(|t| &t.name)) > MAX_TENANTS {
            return Err(format!(
                "over {MAX_TENANTS} tenants in the life of this process"
            ));
        }
        if fresh(&self.role_numbers, &mut roles.iter().map(|r| &r.name)) > MAX_ROLES {
            return Err(format!(
                "over {MAX_ROLES} roles in the life of this process"
            ));
        }
        self.tenants.fill(None);
        self.roles.fill(None);
        for role in roles {
            let n = self.role_numbers.get_or_assign(&role.name);
            self.roles.resize(self.roles.len().max(n + 1), None);
            self.roles[n] = Some(role.clone());
        }
        for tenant in tenants {
            let n = self.tenant_numbers.get_or_assign(&tenant.name);
            self.tenants.resize(self.tenants.len().max(n + 1), None);
            self.tenants[n] = Some(tenant.clone());
        }
        self.quotas.resize(self.tenants.len(), Vec::new());
        for quotas in &mut self.quotas {
            quotas.resize(
                self.roles.len(),
                Quota {
                    open_requests: 0,
                    bucket: None,
                },
            );
        }
        Ok(())
    }

    /// The number of a tenant that is there now.
    pub fn tenant_number(&self, name: &str) -> Option<u32> {
        let n = *self.tenant_numbers.by_name.get(name)?;
        self.tenants[n].as_ref().map(|_| n as u32)
    }

    /// How many numbers tenants have been given.
    pub fn tenant_count(&self) -> u32 {
        self.tenants.len() as u32
    }

    /// The customer of the settings that a tenant's tasks count for.
    pub fn scheduling_tenant(&self, tenant: u32) -> usize {
        self.tenants
            .get(tenant as usize)
            .and_then(Option::as_ref)
            .map_or(0, |tenant| tenant.scheduling_tenant)
    }

    /// Whether somebody of this tenant with these roles may have a task of this stage now. A repeat of one that
    /// is known takes no place and no part of the rate: it costs nothing, and must not be told that it never
    /// ran. The role that still has room serves; of several reasons against it the last is told.
    pub fn authorize(
        &mut self,
        now: f64,
        tenant: u32,
        roles: &[String],
        (stage, hint_ms): (usize, Option<f64>),
        repeat: bool,
    ) -> Result<Option<ConcurrencyPermit>, Denial> {
        let told = self
            .tenants
            .get(tenant as usize)
            .and_then(Option::as_ref)
            .ok_or(DenialReason::UnknownTenant)?;
        let mut denied = Denial::from(DenialReason::RoleNotGranted);
        for name in roles.iter().filter(|name| told.roles.contains(name)) {
            let Some(n) = self.role_numbers.by_name.get(name).copied() else {
                continue;
            };
            let Some(role) = &self.roles[n] else { continue };
            if !role.request_classes.contains(&stage) {
                // What another role lacks tells more than that this one is of no use here.
                if denied.reason == DenialReason::RoleNotGranted {
                    denied = DenialReason::RequestClassNotAllowed.into();
                }
                continue;
            }
            if hint_ms.is_some_and(|hint| hint > role.max_cost_ms) {
                denied = DenialReason::CostNotAllowed.into();
                continue;
            }
            if repeat {
                return Ok(None);
            }
            let quota = &mut self.quotas[tenant as usize][n];
            if quota.open_requests >= role.max_concurrent {
                denied = DenialReason::ConcurrencyQuota.into();
                continue;
            }
            let bucket = quota
                .bucket
                .get_or_insert_with(|| TokenBucket::full(now, role.burst));
            match bucket.try_take(now, role.requests_per_s, role.burst) {
                Ok(()) => {
                    quota.open_requests += 1;
                    return Ok(Some(ConcurrencyPermit { tenant, role: n }));
                }
                Err(wait_ms) => {
                    denied = Denial {
                        reason: DenialReason::RateQuota,
                        retry_after_ms: wait_ms,
                    }
                }
            }
        }
        Err(denied)
    }

    /// The task is over.
    pub fn release(&mut self, seat: ConcurrencyPermit) {
        let quota = &mut self.quotas[seat.tenant as usize][seat.role];
        quota.open_requests = quota.open_requests.saturating_sub(1);
    }

    /// All tenants' names by their numbers, for a process that goes on with them.
    pub fn tenant_names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.tenant_numbers.by_name.len()];
        self.tenant_numbers
            .by_name
            .iter()
            .for_each(|(name, n)| names[*n].clone_from(name));
        names
    }

    /// Numbers tenants as a process before did. To be done before anything else; what the start file tells comes
    /// after.
    pub fn restore_tenant_names(&mut self, names: &[String]) {
        for name in names.iter().take(MAX_TENANTS) {
            let n = self.tenant_numbers.get_or_assign(name);
            self.tenants.resize(self.tenants.len().max(n + 1), None);
        }
    }

    /// Whose place this is, and by which role.
    pub fn permit_owner(&self, seat: &ConcurrencyPermit) -> (u32, String) {
        let role = self
            .role_numbers
            .by_name
            .iter()
            .find(|(_, n)| **n == seat.role);
        (
            seat.tenant,
            role.map_or_else(String::new, |(name, _)| name.clone()),
        )
    }

    /// Takes up a place that a task has had already; `None` if there is no such tenant or role any more.
    pub fn reacquire(&mut self, (tenant, role): &(u32, String)) -> Option<ConcurrencyPermit> {
        let n = *self.role_numbers.by_name.get(role)?;
        self.quotas
            .get_mut(*tenant as usize)?
            .get_mut(n)?
            .open_requests += 1;
        Some(ConcurrencyPermit {
            tenant: *tenant,
            role: n,
        })
    }

    /// How many tasks of a tenant are open, in all roles.
    pub fn open_requests(&self, tenant: u32) -> usize {
        self.quotas.get(tenant as usize).map_or(0, |quotas| {
            quotas.iter().map(|quota| quota.open_requests).sum()
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn role(name: &str, stages: &[usize]) -> Role {
        let (name, stages) = (name.to_owned(), stages.to_vec());
        Role {
            name,
            request_classes: stages,
            max_concurrent: 2,
            requests_per_s: 1.0,
            burst: 3.0,
            max_cost_ms: 50.0,
        }
    }

    fn tenant(name: &str, roles: &[&str]) -> Tenant {
        let roles = roles.iter().map(|role| (*role).to_owned()).collect();
        Tenant {
            name: name.to_owned(),
            scheduling_tenant: 7,
            roles,
        }
    }

    fn rights() -> Authorizer {
        let mut rights = Authorizer::default();
        let tenants = [tenant("a", &["clerk", "phone"]), tenant("b", &["clerk"])];
        rights
            .configure(&[role("clerk", &[0]), role("phone", &[1])], &tenants)
            .unwrap();
        rights
    }

    fn ask(
        rights: &mut Authorizer,
        now: f64,
        tenant: u32,
        roles: &[&str],
        stage: usize,
    ) -> Result<Option<ConcurrencyPermit>, DenialReason> {
        let roles: Vec<String> = roles.iter().map(|role| (*role).to_owned()).collect();
        rights
            .authorize(now, tenant, &roles, (stage, Some(1.0)), false)
            .map_err(|denied| denied.reason)
    }

    #[test]
    fn a_role_opens_its_stages_where_the_tenant_may_have_it() {
        let mut rights = rights();
        let (a, b) = (
            rights.tenant_number("a").unwrap(),
            rights.tenant_number("b").unwrap(),
        );
        assert!(ask(&mut rights, 0.0, a, &["clerk"], 0).is_ok());
        assert_eq!(
            ask(&mut rights, 0.0, a, &["clerk"], 1),
            Err(DenialReason::RequestClassNotAllowed)
        );
        assert!(ask(&mut rights, 0.0, a, &["clerk", "phone"], 1).is_ok());
        assert_eq!(
            ask(&mut rights, 0.0, b, &["phone"], 1),
            Err(DenialReason::RoleNotGranted)
        );
        assert_eq!(
            ask(&mut rights, 0.0, b, &["unheard"], 0),
            Err(DenialReason::RoleNotGranted)
        );
        assert_eq!(
            ask(&mut rights, 0.0, b, &[], 0),
            Err(DenialReason::RoleNotGranted)
        );
        assert_eq!(
            ask(&mut rights, 0.0, 9, &["clerk"], 0),
            Err(DenialReason::UnknownTenant)
        );
        assert_eq!(
            (rights.scheduling_tenant(a), rights.tenant_number("c")),
            (7, None)
        );
        let roles = ["phone".to_owned()];
        let much = rights
            .authorize(0.0, a, &roles, (1, Some(50.1)), false)
            .unwrap_err();
        assert_eq!(
            much,
            Denial {
                reason: DenialReason::CostNotAllowed,
                retry_after_ms: 0.0
            }
        );
        assert!(rights.authorize(0.0, a, &roles, (1, None), false).is_ok());
    }

    #[test]
    fn places_are_given_back_and_the_rate_says_when_to_come_again() {
        let mut rights = rights();
        let a = rights.tenant_number("a").unwrap();
        let one = ask(&mut rights, 0.0, a, &["clerk"], 0).unwrap().unwrap();
        let two = ask(&mut rights, 0.0, a, &["clerk"], 0).unwrap().unwrap();
        assert_eq!(
            (
                ask(&mut rights, 0.0, a, &["clerk"], 0),
                rights.open_requests(a)
            ),
            (Err(DenialReason::ConcurrencyQuota), 2)
        );
        // Other roles of the tenant, and other tenants, have their own.
        assert!(
            ask(&mut rights, 0.0, a, &["phone"], 1).is_ok()
                && ask(&mut rights, 0.0, 1, &["clerk"], 0).is_ok()
        );
        rights.release(one);
        rights.release(two);
        let three = ask(&mut rights, 0.0, a, &["clerk"], 0).unwrap().unwrap();
        rights.release(three);
        let roles = ["clerk".to_owned()];
        let wait = rights
            .authorize(250.0, a, &roles, (0, None), false)
            .unwrap_err();
        assert_eq!(
            wait,
            Denial {
                reason: DenialReason::RateQuota,
                retry_after_ms: 750.0
            }
        );
        // A repeat passes all the same, and takes nothing.
        assert_eq!(
            rights.authorize(250.0, a, &roles, (0, None), true),
            Ok(None)
        );
        assert!(ask(&mut rights, 1000.0, a, &["clerk"], 0).is_ok());
    }

    #[test]
    fn a_new_start_file_keeps_numbers_and_what_is_open() {
        let mut rights = rights();
        let (a, b) = (
            rights.tenant_number("a").unwrap(),
            rights.tenant_number("b").unwrap(),
        );
        let seat = ask(&mut rights, 0.0, b, &["clerk"], 0).unwrap().unwrap();
        rights
            .configure(
                &[role("other", &[]), role("clerk", &[0, 1])],
                &[tenant("c", &["clerk"])],
            )
            .unwrap();
        assert_eq!(
            (rights.tenant_number("a"), rights.tenant_number("b")),
            (None, None)
        );
        let c = rights.tenant_number("c").unwrap();
        assert!(
            c != a && c != b,
            "a number that fingerprints may hold was given out anew"
        );
        assert_eq!(
            ask(&mut rights, 0.0, b, &["clerk"], 0),
            Err(DenialReason::UnknownTenant)
        );
        rights
            .configure(&[role("clerk", &[0])], &[tenant("b", &["clerk"])])
            .unwrap();
        assert_eq!(
            (rights.tenant_number("b"), rights.open_requests(b)),
            (Some(b), 1)
        );
        rights.release(seat);
        assert_eq!(rights.open_requests(b), 0);
        let many: Vec<Tenant> = (0..MAX_TENANTS)
            .map(|n| tenant(&format!("n{n}"), &[]))
            .collect();
        assert!(rights.configure(&[], &many).is_err());
        assert_eq!(rights.tenant_number("b"), Some(b));
    }
}
