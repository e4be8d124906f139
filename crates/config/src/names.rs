//! The names behind the identifiers that the edges hand out.

use std::collections::BTreeMap;

use harrierdock_types::{ClassId, EndpointId, TenantId, ZoneId};
use indexmap::IndexSet;

/// The names of request classes. They are fixed by the configuration.
#[derive(Clone, Debug, Default)]
pub struct ClassNames(IndexSet<String>);

impl ClassNames {
    /// The class of this name.
    pub fn id(&self, name: &str) -> Option<ClassId> {
        self.0.get_index_of(name).map(ClassId)
    }

    /// The name of a class; empty if there is none.
    pub fn name(&self, class: ClassId) -> &str {
        self.0.get_index(class.0).map_or("", String::as_str)
    }

    /// All names, in the order of the configuration.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}

impl FromIterator<String> for ClassNames {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> ClassNames {
        ClassNames(names.into_iter().collect())
    }
}

/// The names of endpoints, which come and go. An identifier is never given to two names, so that whatever still holds one of
/// a forgotten name cannot take another endpoint for it.
#[derive(Clone, Debug, Default)]
pub struct EndpointNames {
    ids: BTreeMap<String, EndpointId>,
    names: BTreeMap<EndpointId, String>,
    next: usize,
}

impl EndpointNames {
    /// The endpoint of this name, with a new identifier if the name is unknown.
    pub fn get_or_assign(&mut self, name: &str) -> EndpointId {
        if let Some(endpoint) = self.id(name) {
            return endpoint;
        }
        let endpoint = EndpointId(self.next);
        self.next += 1;
        self.ids.insert(name.into(), endpoint);
        self.names.insert(endpoint, name.into());
        endpoint
    }

    /// The endpoint of this name.
    pub fn id(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// The name of an endpoint.
    pub fn name(&self, endpoint: EndpointId) -> Option<&str> {
        self.names.get(&endpoint).map(String::as_str)
    }

    /// All endpoints that have a name.
    pub fn ids(&self) -> impl ExactSizeIterator<Item = EndpointId> + '_ {
        self.names.keys().copied()
    }

    /// Forgets the names of all endpoints but those to keep.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.names.retain(|endpoint, _| keep(*endpoint));
        self.ids.retain(|_, endpoint| keep(*endpoint));
    }
}

/// All names that a gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: ClassNames,
    /// Endpoints.
    pub endpoints: EndpointNames,
    pub(crate) tenants: IndexSet<String>,
    pub(crate) zones: IndexSet<String>,
    pub(crate) models: IndexSet<String>,
}

impl Names {
    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get_index_of(name).map(TenantId)
    }

    /// The zone of this name, with a new identifier if the name is unknown.
    pub fn get_or_assign_zone(&mut self, name: &str) -> ZoneId {
        ZoneId(get_or_insert(&mut self.zones, name))
    }

    /// The number of the machine model of this name, a new one if the name is unknown.
    pub fn get_or_assign_model(&mut self, name: &str) -> usize {
        get_or_insert(&mut self.models, name)
    }
}

fn get_or_insert(names: &mut IndexSet<String>, name: &str) -> usize {
    match names.get_index_of(name) {
        Some(place) => place,
        None => names.insert_full(name.into()).0,
    }
}
