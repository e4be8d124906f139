//! Reload on SIGHUP: addresses, keys, the electorate and collectors may change while the gateway runs.

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
    /// Reads the configuration again and switches to its addresses. Keeps connections, pending requests and the endpoint list.
    /// Changes nothing if the file is invalid.
    pub(super) fn reload(&mut self) {
        match GatewayConfig::read_at_reload(&self.config_path) {
            Ok(config) => {
                tracing::info!("reloading the configuration");
                self.apply_configuration(&config);
            }
            Err(e) => tracing::warn!("reload failed; the configuration is unchanged: {e}"),
        }
    }

    fn apply_configuration(&mut self, config: &GatewayConfig) {
        if self.extension_path.is_some() {
            self.reload_extension(config);
        }
        self.switch_discovery(config.discovery);
        if let Some(RolloutPlatformConfig { address, .. }) = config.rollouts {
            self.switch_rollout_platform(address);
        }
    }

    /// Switches discovery to `address`. Reads pending data of the old connection first.
    fn switch_discovery(&mut self, address: SocketAddr) {
        if self.discovery.address() == address {
            return;
        }
        handle_discovery(self, READABLE);
        self.discovery.set_address(&mut self.context, address);
    }

    /// Switches the rollout platform to `address`. Reads pending data of the old connection first, as the platform does not
    /// resend it.
    fn switch_rollout_platform(&mut self, address: SocketAddr) {
        match &self.rollout_platform {
            Some(platform) if platform.address() == address => return,
            Some(_) => handle_rollout_platform(self, READABLE),
            None => {}
        }
        let new_platform =
            || RolloutPlatform::new(address, self.vote_timeout, self.maintenance_interval);
        self.rollout_platform
            .get_or_insert_with(new_platform)
            .set_address(&mut self.context, address);
    }

    fn reload_extension(&mut self, config: &GatewayConfig) {
        let extension = match ExtensionConfig::read(self.extension_path.as_deref()) {
            Ok(extension) => extension,
            Err(e) => {
                return tracing::warn!(
                    "reload: the extension file cannot be read and its settings are unchanged: {e}"
                )
            }
        };
        match check_reloaded(config, &extension) {
            Ok(()) => self.apply_extension(&extension),
            Err(e) => {
                tracing::warn!(
                    "reload: the extension file is invalid and its settings are unchanged: {e}"
                );
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
        let result = match &mut self.exporter {
            Some(exporter) => exporter.reload(now, extension.flows.as_ref(), extension.folder()),
            None if extension.flows.is_some() => {
                return tracing::warn!("flows: starting the export requires a restart");
            }
            None => return,
        };
        match result {
            Ok(()) => tracing::info!("flows: collectors reloaded"),
            Err(e) => tracing::warn!("flows: reload failed; the collectors are unchanged: {e}"),
        }
    }
}

/// Checks the settings that a reload may change in the extension file: collectors and the electorate.
fn check_reloaded(config: &GatewayConfig, extension: &ExtensionConfig) -> Result<(), ConfigError> {
    let fleet = config.fleet_context();
    extension.check_flows()?;
    extension
        .check_leases(&fleet)
        .map_err(ExtensionError::from)?;
    Ok(())
}
