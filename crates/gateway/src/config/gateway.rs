//! What a gateway is told, at its start and again at a reload: the configuration, and the variables beside it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use harrierdock_config::Names;
use harrierdock_types::Parameters;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::config::extensions::With;
use crate::config::lease::Beside;
use crate::control_plane::discovery_messages::EndpointListMessage;
use crate::control_plane::rollout_messages::RolloutMessage;

#[derive(Deserialize)]
pub struct Told {
    #[serde(skip)]
    pub path: PathBuf,
    #[serde(default)]
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    pub limits: LimitsTold,
    pub peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub rollouts: Option<RolloutsTold>,
    #[serde(default)]
    pub known: EndpointListMessage,
    settings: Value,
}

#[derive(Clone, Deserialize)]
#[serde(default)]
pub struct LimitsTold {
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Default for LimitsTold {
    /// The least that a scored day grants.
    fn default() -> LimitsTold {
        LimitsTold {
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

#[derive(Deserialize)]
pub struct RolloutsTold {
    pub address: SocketAddr,
    pub news: Option<RolloutMessage>,
}

impl Told {
    /// Reads the configuration at `path`, or at `LB_CONFIG`; the variables of the environment come first.
    pub fn read(path: Option<PathBuf>) -> Result<Told, String> {
        let named = || std::env::var_os("LB_CONFIG").map(PathBuf::from);
        let path = path
            .or_else(named)
            .ok_or("no configuration: LB_CONFIG is not set")?;
        Told::parse(&path, |fields, field, value| {
            fields.insert(field.into(), value);
        })
    }

    /// Reads the file again. Guards against the variables of the start, which cannot change, hiding what the
    /// file tells now: they fill in only what it leaves out.
    pub fn read_again(path: &Path) -> Result<Told, String> {
        Told::parse(path, |fields, field, value| {
            fields.entry(field).or_insert(value);
        })
    }

    fn parse(
        path: &Path,
        set: impl Fn(&mut Map<String, Value>, &str, Value),
    ) -> Result<Told, String> {
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| wrong(&e))?;
        let mut value: Value = serde_json::from_str(&text).map_err(|e| wrong(&e))?;
        let fields = value
            .as_object_mut()
            .ok_or_else(|| wrong(&"not an object"))?;
        for (variable, field) in [
            ("LB_NAME", "name"),
            ("LB_LISTEN", "listen"),
            ("LB_DISCOVERY", "discovery"),
        ] {
            if let Ok(value) = std::env::var(variable) {
                set(fields, field, value.into());
            }
        }
        let told: Told = serde_path_to_error::deserialize(value).map_err(|e| wrong(&e))?;
        let told = Told {
            path: path.into(),
            ..told
        };
        told.terms().map(|_| told)
    }

    pub fn terms(&self) -> Result<(Parameters, Names), String> {
        harrierdock_config::read(&self.settings)
            .map_err(|e| format!("{}: settings.{e}", self.path.display()))
    }

    /// The seed as a number; one that is not hexadecimal still gives a number of its own.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| harrierdock_config::fnv1a(&self.seed))
    }

    /// What the configuration and the file beside it hold, in a line each.
    pub fn checked(&self, with: Option<&Path>) -> Result<String, String> {
        let held = With::read(with)?;
        self.check_with(with, &held)?;
        let mut lines = vec![self.summary()?];
        if let Some(sites) = &held.sites {
            let (own, other) = (sites.own(&self.name), &sites.other);
            let many = other.gateways.len();
            lines.push(format!(
                "{own} links on {} with {many} of {}",
                sites.listen, other.site
            ));
        }
        lines.extend(held.fleet.as_ref().map(|f| f.summary(&self.name)));
        Ok(lines.join("\n"))
    }

    /// Refuses a file that does not go with the configuration.
    pub fn check_with(&self, path: Option<&Path>, with: &With) -> Result<(), String> {
        let (_, names) = self.terms()?;
        let classes: Vec<&str> = names.classes.iter().collect();
        let file = path.map_or(String::new(), |p| format!("{}: ", p.display()));
        let fleet = with.check_fleet(&self.beside()?).map_err(|e| e.to_string());
        fleet
            .and_then(|()| with.check(&self.name, &classes))
            .map_err(|e| format!("{file}{e}"))
    }

    /// The configuration's side of what a fleet is told.
    pub fn beside(&self) -> Result<Beside<'_>, String> {
        let ordinal = self.terms()?.0.local_peer.0;
        let (peers, hears) = (self.peers.len(), self.peer_listen.is_some());
        Ok(Beside {
            name: &self.name,
            ordinal,
            peers,
            hears,
        })
    }

    /// What the configuration holds, in one line.
    pub fn summary(&self) -> Result<String, String> {
        let (terms, names) = self.terms()?;
        Ok(format!(
            "{} listens on {}, discovery at {}, platform {}, {} of {} gateways, products {}, {} MB, {} descriptors",
            self.name,
            self.listen,
            self.discovery,
            self.rollouts.as_ref().map_or("none".into(), |r| format!("at {}", r.address)),
            terms.local_peer,
            terms.gateway_count,
            names.classes.iter().collect::<Vec<_>>().join(" "),
            self.limits.memory_mb,
            self.limits.sockets,
        ))
    }
}
