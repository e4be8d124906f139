//! The collector's TLS configuration, with keys that the gateway program issues.

use std::path::Path;
use std::sync::Arc;

use harrierdock_site_transport::Credentials;
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};

use crate::gateway_keys::issue_keys;
use crate::gateway_process::gateway_program;

/// Issues keys for the collector and for the exporters under `folder`/keys. Returns the collector's configuration, which
/// requires a client certificate.
pub(super) fn issue_server_config(folder: &Path) -> Result<Arc<ServerConfig>, String> {
    let keys = folder.join("keys");
    let program = gateway_program().map_err(|error| error.to_string())?;
    let names = [
        "hobart/collector".to_string(),
        "hobart/exporter".to_string(),
    ];
    issue_keys(&program, &keys, &names).map_err(|error| error.to_string())?;
    let read = |name: &str| std::fs::read(keys.join(name)).map_err(|e| format!("{name}: {e}"));
    let credentials = Credentials::read(
        &read("authority.pem")?,
        &read("hobart-collector.pem")?,
        &read("hobart-collector.key")?,
    )
    .map_err(|e| e.to_string())?;
    let mut roots = RootCertStore::empty();
    credentials
        .authority
        .iter()
        .try_for_each(|certificate| roots.add(certificate.clone()))
        .map_err(|e| e.to_string())?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
    let config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| e.to_string())?
        .with_client_cert_verifier(verifier.map_err(|e| e.to_string())?)
        .with_single_cert(credentials.chain, credentials.key)
        .map_err(|e| e.to_string())?;
    Ok(Arc::new(config))
}
