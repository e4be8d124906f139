//! Identifiers. The configuration, discovery and downstream code assigns numbers to names; all other code uses only the
//! numbers.

use std::fmt;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($number:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<$number> for $name {
            fn from(number: $number) -> $name {
                $name(number)
            }
        }
    };
}

id! {
    /// A client's request. A gateway never reuses an identifier.
    RequestId(u64)
}
id! {
    /// Groups related requests: after a build has answered one of them, no older build may answer another.
    AffinityKey(u64)
}
id! {
    /// A build of the endpoints' software. Newer builds have higher numbers.
    BuildId(u32)
}
id! {
    /// An endpoint, by the number that this gateway assigned to it.
    EndpointId(usize)
}
id! {
    /// An endpoint, by a hash of its name that is the same in all gateways of a fleet.
    GossipId(u16)
}
id! {
    /// A request class, by its index in the configuration.
    ClassId(usize)
}
id! {
    /// A tenant, by its index in the configuration.
    TenantId(usize)
}
id! {
    /// A zone, by the number that this gateway assigned to it.
    ZoneId(usize)
}
id! {
    /// A gateway of the same fleet, by its index in the fleet.
    PeerId(usize)
}
