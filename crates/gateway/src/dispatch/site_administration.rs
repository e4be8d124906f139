//! Operator commands for a gateway with two sites: drain or resume this site, query the status, and reload keys.

use harrierdock_multi_site::{Event, OperatorCommand};

use crate::config::extension::ExtensionConfig;
use crate::multi_site::forwarding::ForwardingError;
use crate::runtime::gateway::Gateway;

impl Gateway {
    /// Executes an operator's command. Returns the status, or an error, as one line of JSON.
    pub(crate) fn handle_control_command(&mut self, command: &str) -> String {
        let now = self.context.now();
        let operator_command = match command {
            "drain" => Some(OperatorCommand::Drain),
            "resume" => Some(OperatorCommand::Resume),
            "status" => None,
            unknown => {
                return format!(
                    "{{\"error\":\"unknown word '{}'\"}}\n",
                    unknown.escape_default()
                )
            }
        };
        if let Some(operator_command) = operator_command {
            tracing::warn!("sites: executing operator command: {command}");
            self.handle_multi_site_event(now, Event::OperatorCommand(operator_command));
            self.process_events();
        }
        let status = self
            .forwarding
            .as_ref()
            .and_then(|forwarding| serde_json::to_string(&forwarding.sites.status()).ok());
        let not_configured = || r#"{"error":"no other site is told"}"#.to_string();
        format!("{}\n", status.unwrap_or_else(not_configured))
    }

    /// Reloads keys and certificates. They apply to connections opened after the reload.
    pub(crate) fn reload_site_keys(&mut self, extension: &ExtensionConfig) {
        let Some(forwarding) = &mut self.forwarding else {
            return;
        };
        match &extension.sites {
            Some(settings) if settings.other.site != forwarding.other_site => {
                tracing::warn!("sites: changing the name of the other site requires a restart");
            }
            Some(settings) => {
                log_reloaded_keys(forwarding.reload_keys(settings, extension.folder()));
            }
            None => log_reloaded_keys(Err(ForwardingError::NoSites)),
        }
    }
}

fn log_reloaded_keys(reloaded: Result<(), ForwardingError>) {
    match reloaded {
        Ok(()) => tracing::info!("sites: reloaded the keys"),
        Err(e) => tracing::warn!("sites: failed to reload the keys, keeping the current ones: {e}"),
    }
}
