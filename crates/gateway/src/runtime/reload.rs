//! Reloading: addresses, keys, the electorate and collectors may change while the gateway runs.

use crate::config::error::{ConfigError, ExtensionError};
use crate::config::extension::ExtensionConfig;
use crate::config::gateway::{GatewayConfig, RolloutPlatformConfig};
use crate::control_plane::rollout_platform::RolloutPlatform;
use crate::runtime::gateway::Gateway;

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
        self.discovery
            .set_address(&mut self.context, config.discovery);
        if let Some(RolloutPlatformConfig { address, .. }) = config.rollouts {
            let new_client =
                || RolloutPlatform::new(address, self.vote_timeout, self.maintenance_interval);
            self.rollout_platform
                .get_or_insert_with(new_client)
                .set_address(&mut self.context, address);
        }
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
