//! Maps between names and the identifiers that the other packages use for them.

use std::collections::BTreeMap;

use harrierdock_types::{ClassId, EndpointId, TenantId, ZoneId};
use indexmap::IndexSet;

/// The names of request classes. The configuration sets them.
#[derive(Clone, Debug, Default)]
pub struct ClassNames(IndexSet<String>);

impl ClassNames {
    /// The class with this name.
    pub fn id(&self, name: &str) -> Option<ClassId> {
        self.0.get_index_of(name).map(ClassId)
    }

    /// The name of a class; empty for an unknown identifier.
    pub fn name(&self, class: ClassId) -> &str {
        self.0.get_index(class.0).map_or("", String::as_str)
    }

    /// All class names, in the order of the configuration.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}

impl FromIterator<String> for ClassNames {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> ClassNames {
        ClassNames(names.into_iter().collect())
    }
}

/// The names of endpoints. The set of endpoints changes at runtime. Identifiers are never reused, so code that still holds the
/// identifier of a removed endpoint cannot confuse that endpoint with another one.
#[derive(Clone, Debug, Default)]
pub struct EndpointNames {
    ids: BTreeMap<String, EndpointId>,
    names: BTreeMap<EndpointId, String>,
    next_id: usize,
}

impl EndpointNames {
    /// The endpoint with this name. An unknown name gets a new identifier.
    pub fn get_or_assign(&mut self, name: &str) -> EndpointId {
        if let Some(endpoint) = self.id(name) {
            return endpoint;
        }
        let endpoint = EndpointId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.into(), endpoint);
        self.names.insert(endpoint, name.into());
        endpoint
    }

    /// The endpoint with this name.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// The name of an endpoint; `None` after `retain` has removed it.
    pub fn name(&self, endpoint: EndpointId) -> Option<&str> {
        self.names.get(&endpoint).map(String::as_str)
    }

    /// The identifiers of all endpoints whose names are known.
    pub fn ids(&self) -> impl ExactSizeIterator<Item = EndpointId> + '_ {
        self.names.keys().copied()
    }

    /// Removes the names of all endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.names.retain(|endpoint, _| keep(*endpoint));
        self.ids.retain(|_, endpoint| keep(*endpoint));
    }
}

/// All names known to a gateway.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of request classes.
    pub classes: ClassNames,
    /// Names of endpoints.
    pub endpoints: EndpointNames,
    pub(crate) tenants: IndexSet<String>,
    pub(crate) zones: IndexSet<String>,
    pub(crate) models: IndexSet<String>,
}

impl Names {
    /// The tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get_index_of(name).map(TenantId)
    }

    /// The zone with this name. An unknown name gets a new identifier.
    pub fn get_or_assign_zone(&mut self, name: &str) -> ZoneId {
        ZoneId(get_or_insert(&mut self.zones, name))
    }

    /// The number of the machine model with this name. An unknown name gets a new number.
    pub fn get_or_assign_model(&mut self, name: &str) -> usize {
        get_or_insert(&mut self.models, name)
    }
}

fn get_or_insert(names: &mut IndexSet<String>, name: &str) -> usize {
    match names.get_index_of(name) {
        Some(index) => index,
        None => names.insert_full(name.into()).0,
    }
}
