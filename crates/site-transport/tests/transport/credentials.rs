//! Tests which credentials are refused, and how credentials are read, replaced and described.

use std::time::{Duration, SystemTime};

use harrierdock_site_transport::{
    describe_certificates, issue_certificate, CertificateAndKey, CloseCause, Credentials, Delivery,
    SiteTransport, TransportEvent, Validity,
};

use crate::network::{
    authority, credentials, expired, gateway_name, valid_now, Network, ACCEPTING, CONNECTING,
};

/// Credentials that the other end must refuse.
struct RefusedCase {
    name: &'static str,
    credentials: Credentials,
    /// Index of the end that presents them.
    end: usize,
}

/// Connects the two ends, and returns why the peer refuses the credentials of the case.
fn refusal_reason(case: &RefusedCase, peer: &Credentials) -> String {
    let (connecting, accepting) = if case.end == ACCEPTING {
        (peer, &case.credentials)
    } else {
        (&case.credentials, peer)
    };
    let ends = [
        SiteTransport::new(connecting, "launceston").unwrap(),
        SiteTransport::new(accepting, "hobart").unwrap(),
    ];
    let mut network = Network::new(ends, 5, 0.0);
    network.connect();
    network.advance(Duration::from_secs(2));
    let refusing = 1 - case.end;
    assert!(
        !network.has_opened(refusing),
        "{}: {:?}",
        case.name,
        network.events
    );
    format!("{}: {}", case.name, network.reasons(refusing))
}

#[test]
fn a_wrong_name_site_authority_or_validity_is_refused_with_its_reason() {
    let shared_authority = authority();
    let other_authority = authority();
    let issue = |site: &str, gateway: &str, validity| {
        credentials(&shared_authority, &gateway_name(site, gateway), validity)
    };
    let cases = [
        RefusedCase {
            name: "another gateway",
            credentials: issue("launceston", "l9", valid_now()),
            end: ACCEPTING,
        },
        RefusedCase {
            name: "another site",
            credentials: issue("geelong", "h0", valid_now()),
            end: CONNECTING,
        },
        RefusedCase {
            name: "expired",
            credentials: issue("hobart", "h0", expired()),
            end: CONNECTING,
        },
        RefusedCase {
            name: "another authority",
            credentials: credentials(&other_authority, &gateway_name("hobart", "h0"), valid_now()),
            end: CONNECTING,
        },
    ];
    let mut reasons = Vec::new();
    for case in cases {
        let peer = if case.end == ACCEPTING {
            issue("hobart", "h0", valid_now())
        } else {
            issue("launceston", "l0", valid_now())
        };
        reasons.push(refusal_reason(&case, &peer));
    }
    let reasons = reasons.join("\n");
    for part in [
        "NotValidForName",
        "no gateway of hobart",
        "xpired",
        "UnknownIssuer",
    ] {
        assert!(
            reasons.contains(part) || reasons.contains("not valid for name"),
            "{part} is not in:\n{reasons}"
        );
    }
}

/// The causes of all closed paths, as the connecting end reports them.
fn close_causes(network: &Network) -> Vec<CloseCause> {
    let events = network.events[CONNECTING].iter();
    let causes = events.filter_map(|event| match event {
        TransportEvent::Closed { cause, .. } => Some(*cause),
        _ => None,
    });
    causes.collect()
}

#[test]
fn refused_credentials_are_distinguished_from_an_unreachable_peer() {
    let shared_authority = authority();
    let issue = |authority: &CertificateAndKey, site: &str, gateway: &str, validity| {
        credentials(authority, &gateway_name(site, gateway), validity)
    };
    let valid = |site: &str, gateway: &str| issue(&shared_authority, site, gateway, valid_now());
    let refused = CloseCause::CredentialsRefused;
    let cases = [
        (
            valid("hobart", "h0"),
            valid("launceston", "l9"),
            0.0,
            refused,
        ),
        (
            valid("geelong", "h0"),
            valid("launceston", "l0"),
            0.0,
            refused,
        ),
        (
            issue(&shared_authority, "hobart", "h0", expired()),
            valid("launceston", "l0"),
            0.0,
            refused,
        ),
        (
            issue(&authority(), "hobart", "h0", valid_now()),
            valid("launceston", "l0"),
            0.0,
            refused,
        ),
        (
            valid("hobart", "h0"),
            valid("launceston", "l0"),
            1.0,
            CloseCause::Lost,
        ),
    ];
    for (connecting, accepting, loss_probability, cause) in cases {
        let ends = [
            SiteTransport::new(&connecting, "launceston").unwrap(),
            SiteTransport::new(&accepting, "hobart").unwrap(),
        ];
        let mut network = Network::new(ends, 5, loss_probability);
        network.connect();
        network.advance(Duration::from_secs(30));
        assert_eq!(close_causes(&network), [cause], "{:?}", network.events);
    }
}

#[test]
fn replaced_credentials_apply_to_new_paths_and_certificates_are_described() {
    let authority = authority();
    let mut network = Network::with_two_sites(7, 0.0);
    network.connect();
    network.advance(Duration::from_secs(1));
    let replaced = credentials(&authority, &gateway_name("launceston", "l0"), valid_now());
    network.ends[ACCEPTING]
        .replace_credentials(&replaced)
        .unwrap();
    let now = network.now;
    let path = network.path(CONNECTING);
    network.ends[CONNECTING].send(now, path, vec![1], Delivery::Reliable);
    network.advance(Duration::from_millis(100));
    assert_eq!(
        network.messages(ACCEPTING).len(),
        1,
        "the open path did not stay open"
    );
    network.clear_events();
    network.connect();
    network.advance(Duration::from_secs(1));
    assert!(
        network
            .reasons(CONNECTING)
            .contains("invalid peer certificate"),
        "{}",
        network.reasons(CONNECTING)
    );
    let now = SystemTime::now();
    let pair = issue_certificate(&authority, &gateway_name("hobart", "h0"), expired()).unwrap();
    let description = describe_certificates(pair.certificate.as_bytes(), now).unwrap();
    assert!(
        description.contains("gateway      hobart/h0") && description.contains("expired"),
        "{description}"
    );
    let validity = Validity {
        from: now,
        until: now,
    };
    assert!(issue_certificate(&authority, &gateway_name("Hobart", "h0"), validity).is_err());
    assert!(Credentials::read(b"x", pair.certificate.as_bytes(), b"y").is_err());
}
