//! The lists of section `identity`: roles, tenants and client certificates, and how they refer to each other.

use asterdale_identity::{CertificateMapping, Role, Tenant, MAX_ROLES, MAX_TENANTS};
use asterdale_parameters::Settings;

use super::section::{CertificateSection, RoleSection, TenantSection};
use crate::start::error::Faults;
use crate::start::require_unique_names;

/// The default maximum number of open requests of one tenant in a role.
const DEFAULT_MAX_OPEN: u32 = 256;
/// The default burst of a role, in seconds at its rate.
const DEFAULT_BURST_SECONDS: f64 = 2.0;
/// Prefixes of subject alternative names, one for each kind of name.
const ALTERNATIVE_NAME_PREFIXES: [&str; 3] = ["dns:", "uri:", "email:"];

/// Checks the roles. Faults are reported, and unknown request classes left out.
pub fn check_roles(
    sections: Option<Vec<RoleSection>>,
    settings: &Settings,
    faults: &mut Faults,
) -> Vec<Role> {
    let sections = faults
        .require("identity.roles", sections)
        .unwrap_or_default();
    let names = sections.iter().map(|role| role.name.as_ref());
    require_unique_names("identity.roles", names, faults);
    if sections.len() > MAX_ROLES {
        let rule = format!("must have at most {MAX_ROLES} entries");
        faults.add("identity.roles", rule);
    }
    let sections = sections.into_iter().enumerate();
    sections
        .map(|(index, section)| check_role(index, section, settings, faults))
        .collect()
}

fn check_role(
    index: usize,
    section: RoleSection,
    settings: &Settings,
    faults: &mut Faults,
) -> Role {
    let path = format!("identity.roles[{index}].stages");
    let names = faults.require(&path, section.classes).unwrap_or_default();
    let mut classes = Vec::new();
    for (position, name) in names.iter().enumerate() {
        match settings.class_names.iter().position(|known| known == name) {
            Some(class) => classes.push(class),
            None => faults.add(
                format!("{path}[{position}]"),
                format!("{name:?} is not a name in settings.lanes"),
            ),
        }
    }
    let rate_per_s = section.rate_per_s.map_or(f64::INFINITY, |rate| rate.0);
    let default_burst = (DEFAULT_BURST_SECONDS * rate_per_s).max(1.0);
    Role {
        name: section.name.unwrap_or_default(),
        request_classes: classes,
        max_concurrent: section.max_open.unwrap_or(DEFAULT_MAX_OPEN) as usize,
        requests_per_s: rate_per_s,
        burst: section
            .burst
            .map_or(default_burst, |burst| burst.0.max(1.0)),
        max_cost_ms: section.max_cost_ms.map_or(f64::INFINITY, |ms| ms.0),
    }
}

/// Checks the tenants and reports faults.
pub fn check_tenants(
    sections: Option<Vec<TenantSection>>,
    roles: &[Role],
    settings: &Settings,
    faults: &mut Faults,
) -> Vec<Tenant> {
    let sections = faults
        .require("identity.tenants", sections)
        .unwrap_or_default();
    let names = sections.iter().map(|tenant| tenant.name.as_ref());
    require_unique_names("identity.tenants", names, faults);
    if sections.len() > MAX_TENANTS {
        let rule = format!("must have at most {MAX_TENANTS} entries");
        faults.add("identity.tenants", rule);
    }
    let quota_count = settings.decisions.tenants.len();
    let mut tenants = Vec::new();
    for (index, section) in sections.into_iter().enumerate() {
        let path = format!("identity.tenants[{index}]");
        let quota_index = section.quota_index.unwrap_or(0) as usize;
        if section.quota_index.is_some() && quota_index >= quota_count {
            let rule = format!("{quota_index} is not an index of settings.tenants, which has {quota_count} entries");
            faults.add(format!("{path}.customer"), rule);
        }
        tenants.push(Tenant {
            name: section.name.unwrap_or_default(),
            scheduling_tenant: quota_index,
            roles: check_role_names(&format!("{path}.roles"), section.roles, roles, faults),
        });
    }
    tenants
}

/// Checks the mapping from client certificates to callers, and reports faults.
pub fn check_certificates(
    sections: Option<Vec<CertificateSection>>,
    roles: &[Role],
    tenants: &[Tenant],
    faults: &mut Faults,
) -> Vec<CertificateMapping> {
    let sections = sections.unwrap_or_default();
    let names = sections.iter().map(|certificate| certificate.name.as_ref());
    require_unique_names("identity.certificates", names, faults);
    let mut certificates = Vec::new();
    for (index, section) in sections.into_iter().enumerate() {
        let path = format!("identity.certificates[{index}]");
        let name = check_certificate_name(&path, section.name, faults);
        let tenant_path = format!("{path}.tenant");
        let tenant = faults
            .require(&tenant_path, section.tenant)
            .unwrap_or_default();
        if !tenants.iter().any(|known| known.name == tenant) {
            let rule = format!("{tenant:?} is not a name in identity.tenants");
            faults.add(tenant_path, rule);
        }
        let roles = check_role_names(&format!("{path}.roles"), section.roles, roles, faults);
        let subject = section.subject.unwrap_or_else(|| name.clone());
        certificates.push(CertificateMapping {
            name,
            tenant,
            subject,
            roles,
        });
    }
    certificates
}

/// Checks the prefix of a subject alternative name. Returns DNS names in lower case, in which they are compared.
fn check_certificate_name(path: &str, name: Option<String>, faults: &mut Faults) -> String {
    let mut name = name.unwrap_or_default();
    if !ALTERNATIVE_NAME_PREFIXES
        .iter()
        .any(|prefix| name.starts_with(prefix))
    {
        faults.add(
            format!("{path}.name"),
            "must be dns:, uri: or email: followed by a name",
        );
    }
    if name.starts_with("dns:") {
        name.make_ascii_lowercase();
    }
    name
}

/// Checks a required list of role names. Returns all of them; unknown ones are reported.
fn check_role_names(
    path: &str,
    names: Option<Vec<String>>,
    roles: &[Role],
    faults: &mut Faults,
) -> Vec<String> {
    let names = faults.require(path, names).unwrap_or_default();
    for (index, name) in names.iter().enumerate() {
        if !roles.iter().any(|role| role.name == *name) {
            let rule = format!("{name:?} is not a name in identity.roles");
            faults.add(format!("{path}[{index}]"), rule);
        }
    }
    names
}
