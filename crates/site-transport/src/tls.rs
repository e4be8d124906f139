//! QUIC and TLS configuration of accepting and connecting endpoints.

use std::sync::Arc;
use std::time::Duration;

use harrierdock_site_messages::MAX_MESSAGE_BYTES;
use quinn_proto::congestion::BbrConfig;
use quinn_proto::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn_proto::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig};
use rustls::server::WebPkiClientVerifier;
use rustls::RootCertStore;

use crate::streams::MAX_UNSENT_BYTES;
use crate::{Credentials, SetupError};

/// Application protocol identifier (ALPN, RFC 7301).
const APPLICATION_PROTOCOL: &[u8] = b"harrierdock/1";
/// A connection is closed after receiving nothing for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Round-trip time assumed until the first measurement; typical between regions.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(100);
/// Limit of concurrent streams on a connection; each message uses its own stream.
const MAX_STREAMS: u32 = 512;

/// QUIC configuration for accepted connections (`server`) and for opened ones (`client`).
pub(crate) struct EndpointConfigs {
    pub(crate) server: ServerConfig,
    pub(crate) client: ClientConfig,
}

impl EndpointConfigs {
    /// Both configurations present the gateway's certificate and trust only the given authority.
    pub(crate) fn new(credentials: &Credentials) -> Result<EndpointConfigs, SetupError> {
        let mut roots = RootCertStore::empty();
        for certificate in &credentials.authority {
            roots
                .add(certificate.clone())
                .map_err(SetupError::Authority)?;
        }
        let roots = Arc::new(roots);
        let server = server_tls(credentials, roots.clone())?;
        let client = client_tls(credentials, roots)?;
        let server = QuicServerConfig::try_from(server).map_err(SetupError::CipherSuite)?;
        let client = QuicClientConfig::try_from(client).map_err(SetupError::CipherSuite)?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport_config());
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport_config());
        Ok(EndpointConfigs { server, client })
    }
}

fn server_tls(
    credentials: &Credentials,
    roots: Arc<RootCertStore>,
) -> Result<rustls::ServerConfig, SetupError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(SetupError::Verifier)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(SetupError::Protocol)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(SetupError::CertificateAndKey)?;
    server.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    server.send_tls13_tickets = 0;
    Ok(server)
}

fn client_tls(
    credentials: &Credentials,
    roots: Arc<RootCertStore>,
) -> Result<rustls::ClientConfig, SetupError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(SetupError::Protocol)?
        .with_root_certificates(roots)
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(SetupError::CertificateAndKey)?;
    client.alpn_protocols = vec![APPLICATION_PROTOCOL.to_vec()];
    // A resumed session could outlive the certificate that established it.
    client.resumption = rustls::client::Resumption::disabled();
    Ok(client)
}

fn transport_config() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.initial_rtt(INITIAL_ROUND_TRIP);
    transport.max_concurrent_uni_streams(MAX_STREAMS.into());
    transport.max_concurrent_bidi_streams(0_u8.into());
    // BBR reacts to the delivery rate, not to loss: messages still get through when a third of all datagrams is lost.
    transport.congestion_controller_factory(Arc::new(BbrConfig::default()));
    // Flow control bounds the buffered data, so neither an endless message nor many messages can exhaust memory.
    transport.stream_receive_window((MAX_MESSAGE_BYTES as u32 + 1).into());
    transport.receive_window((MAX_UNSENT_BYTES as u32).into());
    Arc::new(transport)
}
