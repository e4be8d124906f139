//! What operators may do about the other site: drain or resume this site, ask for the status, and replace keys.

use harrierdock_multi_site::{Event, OperatorCommand};

use crate::config::extension::ExtensionConfig;
use crate::multi_site::forwarding::ForwardingError;
use crate::runtime::gateway::Gateway;

impl Gateway {
    /// Carries out an operator's command and returns the status, in one line of JSON.
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
            tracing::warn!("sites: told by hand to {command}");
            self.handle_multi_site_event(now, Event::OperatorCommand(operator_command));
            self.process_events();
        }
        let status = self
            .forwarding
            .as_ref()
            .and_then(|forwarding| serde_json::to_string(&forwarding.sites.status()).ok());
        let no_site = || r#"{"error":"no other site is told"}"#.to_string();
        format!("{}\n", status.unwrap_or_else(no_site))
    }

    /// Uses new keys and certificates for the connections that come up from now on.
    pub(crate) fn reload_site_keys(&mut self, extension: &ExtensionConfig) {
        let Some(forwarding) = &mut self.forwarding else {
            return;
        };
        match &extension.sites {
            Some(settings) if settings.other.site != forwarding.other_site => {
                tracing::warn!("sites: another other site counts from the next start on");
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
        Ok(()) => tracing::info!("sites: keys are read again"),
        Err(e) => tracing::warn!("sites: the keys held stay: {e}"),
    }
}
