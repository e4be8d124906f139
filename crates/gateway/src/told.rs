//! What a gateway is told at its start: the configuration, and the variables that override its fields.

use std::net::SocketAddr;
use std::path::PathBuf;

use harrierdock::interface::Terms;
use harrierdock_terms::Names;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::ListTold;
use crate::platform::NewsTold;

#[derive(Deserialize)]
pub struct Told {
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
    pub known: ListTold,
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
        LimitsTold { memory_mb: 192, sockets: 1024 }
    }
}

#[derive(Deserialize)]
pub struct RolloutsTold {
    pub address: SocketAddr,
    pub news: Option<NewsTold>,
}

impl Told {
    /// Reads the configuration at `path`, or at `LB_CONFIG`; the variables of the environment come first.
    pub fn read(path: Option<PathBuf>) -> Result<Told, String> {
        let named = || std::env::var_os("LB_CONFIG").map(PathBuf::from);
        let path = path.or_else(named).ok_or("no configuration: LB_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let wrong = |e: serde_json::Error| format!("{}: {e}", path.display());
        let mut told: Value = serde_json::from_str(&text).map_err(wrong)?;
        let fields = told.as_object_mut().ok_or(format!("{}: not an object", path.display()))?;
        for (variable, field) in [("LB_NAME", "name"), ("LB_LISTEN", "listen"), ("LB_DISCOVERY", "discovery")]
        {
            if let Ok(value) = std::env::var(variable) {
                fields.insert(field.into(), value.into());
            }
        }
        serde_path_to_error::deserialize(told).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn terms(&self) -> Result<(Terms, Names), String> {
        harrierdock_terms::read(&self.settings)
    }

    /// The seed as a number; one that is not hexadecimal still gives a number of its own.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| harrierdock_terms::hash(&self.seed))
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
            terms.ordinal,
            terms.balancers,
            names.products.iter().map(String::as_str).collect::<Vec<_>>().join(" "),
            self.limits.memory_mb,
            self.limits.sockets,
        ))
    }
}
