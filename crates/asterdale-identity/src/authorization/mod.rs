//! Authorization: whether a caller of a tenant may run a request of a given class now. Roles permit request classes up
//! to a cost; tenants are granted roles. Rate and concurrency quotas are separate for each tenant and role, so that the
//! load of one role does not use up the quota of another.

mod name_registry;
mod quota;

use crate::denial::{Denial, DenialReason};
use crate::error::IdentityError;
use crate::settings::{Role, Tenant};

use name_registry::NameRegistry;
use quota::Quota;

/// The number of tenant names that a process distinguishes over its lifetime, including those that were removed from
/// the settings: their numbers are never reused, as idempotency keys contain them.
pub const MAX_TENANTS: usize = 1024;
/// The number of role names that a process distinguishes over its lifetime.
pub const MAX_ROLES: usize = 64;

/// A request to be authorized.
#[derive(Clone, Copy, Debug)]
pub struct AccessRequest {
    /// The index of the request class.
    pub request_class: usize,
    /// The cost that the request declares, in milliseconds of one core.
    pub declared_cost_ms: Option<f64>,
    /// Whether the request repeats one that this process already knows. A repeat is not subject to the quotas: it
    /// causes no further run, and a quota denial would wrongly state that the request never ran.
    pub is_repeat: bool,
}

/// The permission for one request to be in flight. It counts against the quota of its tenant and role until it is
/// passed to [`Authorizer::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct ConcurrencyPermit {
    tenant: u32,
    role: usize,
}

/// The roles and tenants of the settings, and the quotas in use.
#[derive(Default)]
pub struct Authorizer {
    tenant_numbers: NameRegistry,
    role_numbers: NameRegistry,
    /// By tenant number; `None` for a tenant that is not in the settings any more.
    tenants: Vec<Option<Tenant>>,
    /// By role number; `None` for a role that is not in the settings any more.
    roles: Vec<Option<Role>>,
    /// By tenant number, then by role number.
    quotas: Vec<Vec<Quota>>,
}

impl Authorizer {
    /// Replaces the roles and tenants. Assigned numbers and the usage of quotas are kept.
    ///
    /// # Errors
    /// [`IdentityError`] if there were too many names over the lifetime of the process. Nothing changes then.
    pub fn configure(&mut self, roles: &[Role], tenants: &[Tenant]) -> Result<(), IdentityError> {
        let tenant_names = tenants.iter().map(|tenant| tenant.name.as_str());
        if self.tenant_numbers.len_including(tenant_names) > MAX_TENANTS {
            return Err(IdentityError::TooManyTenants);
        }
        let role_names = roles.iter().map(|role| role.name.as_str());
        if self.role_numbers.len_including(role_names) > MAX_ROLES {
            return Err(IdentityError::TooManyRoles);
        }
        self.tenants.fill(None);
        self.roles.fill(None);
        for role in roles {
            let number = self.role_numbers.get_or_assign(&role.name);
            set_at(&mut self.roles, number, role.clone());
        }
        for tenant in tenants {
            let number = self.tenant_numbers.get_or_assign(&tenant.name);
            set_at(&mut self.tenants, number, tenant.clone());
        }
        self.quotas.resize(self.tenants.len(), Vec::new());
        for quotas in &mut self.quotas {
            quotas.resize(self.roles.len(), Quota::default());
        }
        Ok(())
    }

    /// The number of a tenant of the settings.
    pub fn tenant_number(&self, name: &str) -> Option<u32> {
        let number = self.tenant_numbers.get(name)?;
        self.tenants[number].as_ref().map(|_| number as u32)
    }

    /// How many tenant numbers have been assigned.
    pub fn tenant_count(&self) -> u32 {
        self.tenants.len() as u32
    }

    /// The index in the scheduling parameters of the tenant that this tenant's requests are counted for; 0 for a tenant
    /// that is not in the settings any more.
    pub fn scheduling_tenant(&self, tenant: u32) -> usize {
        self.tenants
            .get(tenant as usize)
            .and_then(Option::as_ref)
            .map_or(0, |tenant| tenant.scheduling_tenant)
    }

    /// Decides whether a caller of this tenant with these roles may run a request now. The first role that permits it
    /// and has quota left is used. The result has no permit for a repeat.
    ///
    /// # Errors
    /// If no role permits the request, the denial of the last role. A denial for the request class is returned only if
    /// no role was denied for another reason.
    pub fn authorize(
        &mut self,
        now_ms: f64,
        tenant: u32,
        roles: &[String],
        request: &AccessRequest,
    ) -> Result<Option<ConcurrencyPermit>, Denial> {
        let is_known = matches!(self.tenants.get(tenant as usize), Some(Some(_)));
        if !is_known {
            return Err(DenialReason::UnknownTenant.into());
        }
        let mut denial = Denial::from(DenialReason::RoleNotGranted);
        for name in roles {
            let Some(role) = self.granted_role(tenant, name) else {
                continue;
            };
            match self.authorize_role(now_ms, tenant, role, request) {
                Ok(permit) => return Ok(permit),
                Err(next) if next.reason != DenialReason::RequestClassNotAllowed => denial = next,
                Err(next) if denial.reason == DenialReason::RoleNotGranted => denial = next,
                Err(_) => {}
            }
        }
        Err(denial)
    }

    /// The number of a role, if the settings contain it and grant it to the tenant.
    fn granted_role(&self, tenant: u32, name: &String) -> Option<usize> {
        let tenant = self.tenants.get(tenant as usize)?.as_ref()?;
        let number = self
            .role_numbers
            .get(name)
            .filter(|_| tenant.roles.contains(name))?;
        self.roles[number].as_ref().map(|_| number)
    }

    fn authorize_role(
        &mut self,
        now_ms: f64,
        tenant: u32,
        role_number: usize,
        request: &AccessRequest,
    ) -> Result<Option<ConcurrencyPermit>, Denial> {
        let role = self.roles[role_number]
            .as_ref()
            .ok_or(DenialReason::RoleNotGranted)?;
        if !role.request_classes.contains(&request.request_class) {
            return Err(DenialReason::RequestClassNotAllowed.into());
        }
        if request
            .declared_cost_ms
            .is_some_and(|cost_ms| cost_ms > role.max_cost_ms)
        {
            return Err(DenialReason::CostNotAllowed.into());
        }
        if request.is_repeat {
            return Ok(None);
        }
        self.quotas[tenant as usize][role_number].acquire(now_ms, role)?;
        Ok(Some(ConcurrencyPermit {
            tenant,
            role: role_number,
        }))
    }

    /// Releases the permit of a request that has ended.
    pub fn release(&mut self, permit: ConcurrencyPermit) {
        self.quotas[permit.tenant as usize][permit.role].release();
    }

    /// The names of all tenants, indexed by tenant number, to transfer to another process.
    pub fn tenant_names(&self) -> Vec<String> {
        self.tenant_numbers.names()
    }

    /// Assigns the same tenant numbers as another process. Must be called before [`Authorizer::configure`].
    pub fn restore_tenant_names(&mut self, names: &[String]) {
        for name in names.iter().take(MAX_TENANTS) {
            let number = self.tenant_numbers.get_or_assign(name);
            grow_to(&mut self.tenants, number);
        }
    }

    /// The tenant number and the role name of a permit, to transfer it to another process.
    pub fn permit_owner(&self, permit: &ConcurrencyPermit) -> (u32, String) {
        let role_name = self.role_numbers.name(permit.role).unwrap_or_default();
        (permit.tenant, role_name.to_owned())
    }

    /// Issues a permit for a request that another process had authorized; `None` if the tenant or the role does not
    /// exist any more. The quota is not checked.
    pub fn reacquire(&mut self, (tenant, role): &(u32, String)) -> Option<ConcurrencyPermit> {
        let role = self.role_numbers.get(role)?;
        self.quotas
            .get_mut(*tenant as usize)?
            .get_mut(role)?
            .reacquire();
        Some(ConcurrencyPermit {
            tenant: *tenant,
            role,
        })
    }

    /// The number of a tenant's requests that are in flight, in all roles.
    pub fn open_requests(&self, tenant: u32) -> usize {
        self.quotas
            .get(tenant as usize)
            .map_or(0, |quotas| quotas.iter().map(Quota::open_requests).sum())
    }
}

fn grow_to<T: Clone>(items: &mut Vec<Option<T>>, index: usize) {
    items.resize(items.len().max(index + 1), None);
}

fn set_at<T: Clone>(items: &mut Vec<Option<T>>, index: usize, item: T) {
    grow_to(items, index);
    items[index] = Some(item);
}
