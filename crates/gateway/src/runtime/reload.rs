//! Reloading: addresses, keys, the electorate and collectors may change while the gateway runs.

use std::net::SocketAddr;

use calloop::Readiness;

use crate::config::error::{ConfigError, ExtensionError};
use crate::config::extension::ExtensionConfig;
use crate::config::gateway::{GatewayConfig, RolloutPlatformConfig};
use crate::control_plane::rollout_platform::RolloutPlatform;
use crate::runtime::gateway::Gateway;
use crate::runtime::socket_handlers::{handle_discovery, handle_rollout_platform};

const READABLE: Readiness = Readiness {
    readable: true,
    writable: false,
    error: false,
};

impl Gateway {
    /// Reads the configuration again and switches to the addresses it names. Connections, requests under way and the endpoint
    /// list stay. A file that cannot be read changes nothing.
    pub(super) fn reload(&mut self) {
        match GatewayConfig::read_again(&self.config_path) {
            Ok(config) => {
                tracing::info!("told to reload");
                self.apply_reloaded(&config);
            }
            Err(e) => tracing::warn!("told to reload, nothing changes: {e}"),
        }
    }

    fn apply_reloaded(&mut self, config: &GatewayConfig) {
        if self.extension_path.is_some() {
            self.reload_extension(config);
        }
        self.move_discovery(config.discovery);
        if let Some(RolloutPlatformConfig { address, .. }) = config.rollouts {
            self.move_rollout_platform(address);
        }
    }

    /// Switches to another address of discovery, once what has arrived from the former one is read.
    fn move_discovery(&mut self, address: SocketAddr) {
        if self.discovery.address() == address {
            return;
        }
        handle_discovery(self, READABLE);
        self.discovery.set_address(&mut self.context, address);
    }

    /// Switches to another address of the rollout platform, once what has arrived from the former one is read: it is not
    /// sent again.
    fn move_rollout_platform(&mut self, address: SocketAddr) {
        match &self.rollout_platform {
            Some(platform) if platform.address() == address => return,
            Some(_) => handle_rollout_platform(self, READABLE),
            None => {}
        }
        let new_client =
            || RolloutPlatform::new(address, self.vote_timeout, self.maintenance_interval);
        self.rollout_platform
            .get_or_insert_with(new_client)
            .set_address(&mut self.context, address);
    }

    fn reload_extension(&mut self, config: &GatewayConfig) {
        let extension = match ExtensionConfig::read(self.extension_path.as_deref()) {
            Ok(extension) => extension,
            Err(e) => return tracing::warn!("told to reload, the keys held stay: {e}"),
        };
        match check_reloaded(config, &extension) {
            Ok(()) => self.apply_extension(&extension),
            Err(e) => {
                tracing::warn!("told to reload, what is told beside the configuration stays: {e}");
            }
        }
    }

    fn apply_extension(&mut self, extension: &ExtensionConfig) {
        self.reload_site_keys(extension);
        self.reload_electorate(extension);
        self.reload_collectors(extension);
    }

    fn reload_collectors(&mut self, extension: &ExtensionConfig) {
        let now = self.context.now();
        let renewed = match &mut self.exporter {
            Some(exporter) => exporter.reload(now, extension.flows.as_ref(), extension.folder()),
            None if extension.flows.is_some() => {
                return tracing::warn!("flows: export begins with the next start only");
            }
            None => return,
        };
        match renewed {
            Ok(()) => tracing::info!("flows: collectors are read again"),
            Err(e) => tracing::warn!("flows: the collectors held stay: {e}"),
        }
    }
}

/// Checks what may change while the gateway runs: collectors and the electorate.
fn check_reloaded(config: &GatewayConfig, extension: &ExtensionConfig) -> Result<(), ConfigError> {
    let fleet = config.fleet_context();
    extension.check_flows()?;
    extension
        .check_leases(&fleet)
        .map_err(ExtensionError::from)?;
    Ok(())
}
