//! What a session's CONNECT leads to under a configuration: its route, its service and its tenant.
//!
//! `client_session` looks the target up when a session begins, and again whenever another version
//! of the configuration comes in force.
use crate::base::errors::ErrorKind;
use crate::base::ids::{ServiceName, TenantName};
use crate::config::route_table::{RouteEntry, RouteTable};
use crate::config::tenants::{Identity, TenantEntry};
use crate::pooler::admission::Priority;

/// The database name and the key in a client's CONNECT.
pub(super) struct Credentials {
    /// The hostname of a route.
    pub(super) database: String,
    /// The API key, if the configuration has tenants; otherwise any word.
    pub(super) key: String,
}

/// What a client's credentials lead to under one version of the configuration.
pub(super) struct SessionTarget {
    pub(super) route: RouteEntry,
    pub(super) service: ServiceName,
    /// The tenant of the client's key; `None` if its route demands none.
    tenant: Option<TenantEntry>,
}

impl SessionTarget {
    /// Looks up what the credentials lead to.
    ///
    /// # Errors
    /// `NoDatabase` if no route has the name, and `Denied` if the key belongs to no tenant.
    pub(super) fn look_up(
        route_table: &RouteTable,
        credentials: &Credentials,
    ) -> Result<Self, ErrorKind> {
        let found = route_table.entry_for_hostname(&credentials.database);
        let (route, service) = found.ok_or(ErrorKind::NoDatabase)?;
        let identity = route_table.identify(route, Some(&credentials.key));
        let tenant = match identity.map_err(|_| ErrorKind::Denied)? {
            Identity::Anyone => None,
            Identity::Tenant(tenant) => Some(tenant.clone()),
        };
        Ok(Self { route: route.clone(), service: service.clone(), tenant })
    }

    /// Whether the key is still known under another version of the configuration.
    pub(super) fn is_admitted(&self, route_table: &RouteTable, credentials: &Credentials) -> bool {
        route_table.identify(&self.route, Some(&credentials.key)).is_ok()
    }

    /// The name of the tenant, which databases are told.
    pub(super) fn tenant_name(&self) -> Option<&TenantName> {
        self.tenant.as_ref().map(|tenant| &tenant.name)
    }

    /// The tenant whose operations are limited, if this one's are.
    pub(super) fn limited_tenant(&self) -> Option<&TenantName> {
        self.tenant.as_ref().filter(|tenant| tenant.limited).map(|tenant| &tenant.name)
    }

    /// The priority of the session's statements.
    pub(super) fn priority(&self) -> Priority {
        let tenant = self.tenant.as_ref().map_or(0, |tenant| tenant.priority);
        Priority { tenant, route: self.route.priority }
    }
}
