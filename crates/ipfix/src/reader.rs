//! Decodes messages with the templates received so far. Arbitrary input is decoded or rejected with an error.

use std::collections::BTreeMap;

use crate::octets::Octets;
use crate::wire_format::{
    SetKind, ENTERPRISE_BIT, FIRST_DATA_SET_ID, IPFIX_HEADER_OCTETS, IPFIX_VERSION,
    NETFLOW_V9_ALIGNMENT_OCTETS, NETFLOW_V9_VERSION, SET_HEADER_OCTETS,
};
use crate::{
    DataRecord, DecodeError, FieldValue, Message, WireFormat, ENTERPRISE_NUMBER, NETFLOW_V9_SCOPE,
    VARIABLE_LENGTH,
};

const MAX_TEMPLATES_PER_DOMAIN: usize = 256;
const MAX_FIELDS_PER_TEMPLATE: usize = 256;
const MAX_DOMAINS: usize = 64;
const TEMPLATE_HEADER_OCTETS: usize = 4;
/// Size of a NetFlow v9 field specifier. NetFlow v9 options templates state their field counts as octets of specifiers.
const NETFLOW_V9_SPECIFIER_OCTETS: u16 = 4;
/// First octet of a variable-length field whose length is in the next two octets.
const LONG_LENGTH_MARKER: usize = 255;

#[derive(Clone)]
struct FieldSpecifier {
    enterprise: u32,
    element_id: u16,
    length: u16,
}

impl FieldSpecifier {
    /// Returns the minimum size of the field in a record.
    fn min_octets(&self) -> usize {
        if self.length == VARIABLE_LENGTH {
            1
        } else {
            usize::from(self.length)
        }
    }

    fn read_value(&self, set: &mut Octets) -> Result<FieldValue, DecodeError> {
        let mut length = usize::from(self.length);
        if self.length == VARIABLE_LENGTH {
            length = usize::from(set.take(1)?[0]);
            if length == LONG_LENGTH_MARKER {
                length = usize::from(set.u16()?);
            }
        }
        Ok(FieldValue {
            enterprise: self.enterprise,
            element_id: self.element_id,
            octets: set.take(length)?.to_vec(),
        })
    }
}

#[derive(Clone)]
struct ReceivedTemplate {
    scope_field_count: u16,
    fields: Vec<FieldSpecifier>,
}

/// The field counts that a template record states.
struct FieldCounts {
    all: usize,
    scope: u16,
}

/// Decodes the messages of one exporter, and stores a bounded number of its templates.
#[derive(Default)]
pub struct MessageReader {
    /// Templates by observation domain and template id.
    templates: BTreeMap<u32, BTreeMap<u16, ReceivedTemplate>>,
}

impl MessageReader {
    /// Returns the length of the IPFIX message that starts at the first octet; `None` if there are fewer than four octets.
    ///
    /// # Errors
    /// The octets are not the start of an IPFIX message.
    pub fn message_length(octets: &[u8]) -> Result<Option<usize>, DecodeError> {
        let mut header = Octets(octets);
        let (Ok(version), Ok(length)) = (header.u16(), header.u16()) else {
            return Ok(None);
        };
        match (version, usize::from(length)) {
            (IPFIX_VERSION, length) if length >= IPFIX_HEADER_OCTETS => Ok(Some(length)),
            (IPFIX_VERSION, _) => Err(DecodeError::WrongLength),
            (version, _) => Err(DecodeError::UnsupportedVersion(version)),
        }
    }

    /// Removes all templates, as a restart of the collector does.
    pub fn clear_templates(&mut self) {
        self.templates.clear();
    }

    /// Decodes one complete IPFIX or NetFlow v9 message.
    ///
    /// # Errors
    /// The first error in the message. Templates read before it stay stored.
    pub fn read(&mut self, octets: &[u8]) -> Result<Message, DecodeError> {
        let mut rest = Octets(octets);
        let Preamble {
            format,
            stated_count,
        } = read_preamble(&mut rest, octets.len())?;
        let mut message = read_header(&mut rest, format)?;
        let mut template_count = 0;
        while !rest.is_empty() {
            let set_id = rest.u16()?;
            let length = usize::from(rest.u16()?);
            let body_length = length
                .checked_sub(SET_HEADER_OCTETS)
                .ok_or(DecodeError::WrongLength)?;
            let set = Octets(rest.take(body_length)?);
            match format.set_kind(set_id) {
                Some(SetKind::Data(template_id)) => {
                    let stated_count =
                        stated_count.map(|count| count.saturating_sub(template_count));
                    self.read_data(&mut message, template_id, set, stated_count)?
                }
                Some(kind) => {
                    let domain = message.observation_domain;
                    template_count += self.read_templates(domain, set, format, kind)?;
                }
                None => return Err(DecodeError::Malformed),
            }
        }
        Ok(message)
    }

    /// Reads a set of templates, and returns the number of template records in it.
    fn read_templates(
        &mut self,
        domain: u32,
        mut set: Octets,
        format: WireFormat,
        kind: SetKind,
    ) -> Result<usize, DecodeError> {
        let mut count = 0;
        if !self.templates.contains_key(&domain) && self.templates.len() >= MAX_DOMAINS {
            return Err(DecodeError::LimitExceeded);
        }
        // Remaining octets that are shorter than a template header are padding.
        while set.len() >= TEMPLATE_HEADER_OCTETS {
            let template_id = set.u16()?;
            if template_id < FIRST_DATA_SET_ID {
                let is_zero_padding = template_id == 0 && set.0.iter().all(|octet| *octet == 0);
                return if is_zero_padding {
                    Ok(count)
                } else {
                    Err(DecodeError::Malformed)
                };
            }
            count += 1;
            let counts = read_field_counts(&mut set, format, kind)?;
            if counts.all == 0 && kind == SetKind::Templates {
                // A template withdrawal (RFC 7011, section 8.1).
                self.templates
                    .entry(domain)
                    .or_default()
                    .remove(&template_id);
                continue;
            }
            let template = read_template(&mut set, format, &counts)?;
            self.store_template(domain, template_id, template)?;
        }
        Ok(count)
    }

    fn store_template(
        &mut self,
        domain: u32,
        template_id: u16,
        template: ReceivedTemplate,
    ) -> Result<(), DecodeError> {
        let templates = self.templates.entry(domain).or_default();
        if !templates.contains_key(&template_id) && templates.len() >= MAX_TEMPLATES_PER_DOMAIN {
            return Err(DecodeError::LimitExceeded);
        }
        templates.insert(template_id, template);
        Ok(())
    }

    /// Reads a set of data records. `stated_count` is the number of data records in the whole message, if its header states it.
    fn read_data(
        &self,
        message: &mut Message,
        template_id: u16,
        mut set: Octets,
        stated_count: Option<usize>,
    ) -> Result<(), DecodeError> {
        let template = self
            .templates
            .get(&message.observation_domain)
            .and_then(|templates| templates.get(&template_id));
        let Some(template) = template else {
            message.unknown_set_count += 1;
            return Ok(());
        };
        let min_octets: usize = template.fields.iter().map(FieldSpecifier::min_octets).sum();
        // A template of empty fields would make the loop below endless.
        if min_octets == 0 {
            return Err(DecodeError::Malformed);
        }
        while set.len() >= min_octets {
            // A record can be as short as the padding after it, so the stated count separates the two.
            let are_all_read = stated_count.is_some_and(|count| message.records.len() >= count);
            if are_all_read && is_padding(&set) {
                break;
            }
            let mut fields = Vec::with_capacity(template.fields.len());
            for field in &template.fields {
                fields.push(field.read_value(&mut set)?);
            }
            message.records.push(DataRecord {
                template_id,
                scope_field_count: template.scope_field_count,
                fields,
            });
        }
        Ok(())
    }
}

/// Returns whether the rest of a NetFlow v9 set can be padding.
fn is_padding(rest: &Octets) -> bool {
    rest.len() < NETFLOW_V9_ALIGNMENT_OCTETS && rest.0.iter().all(|octet| *octet == 0)
}

/// The first fields of a message header.
struct Preamble {
    format: WireFormat,
    /// The number of data and template records that a NetFlow v9 header states; `None` for IPFIX.
    stated_count: Option<usize>,
}

/// Reads the version, and the length (IPFIX) or record count (NetFlow v9) after it.
fn read_preamble(rest: &mut Octets, message_octets: usize) -> Result<Preamble, DecodeError> {
    let version = rest.u16()?;
    let length_or_count = usize::from(rest.u16()?);
    match version {
        IPFIX_VERSION if length_or_count == message_octets => Ok(Preamble {
            format: WireFormat::Ipfix,
            stated_count: None,
        }),
        IPFIX_VERSION => Err(DecodeError::WrongLength),
        NETFLOW_V9_VERSION => Ok(Preamble {
            format: WireFormat::NetflowV9,
            stated_count: Some(length_or_count),
        }),
        version => Err(DecodeError::UnsupportedVersion(version)),
    }
}

fn read_header(rest: &mut Octets, format: WireFormat) -> Result<Message, DecodeError> {
    let version = match format {
        WireFormat::Ipfix => IPFIX_VERSION,
        WireFormat::NetflowV9 => {
            // The exporter's uptime, which is not used.
            rest.u32()?;
            NETFLOW_V9_VERSION
        }
    };
    Ok(Message {
        version,
        export_time_s: rest.u32()?,
        sequence_number: rest.u32()?,
        observation_domain: rest.u32()?,
        records: Vec::new(),
        unknown_set_count: 0,
    })
}

fn read_field_counts(
    set: &mut Octets,
    format: WireFormat,
    kind: SetKind,
) -> Result<FieldCounts, DecodeError> {
    let first = set.u16()?;
    match (format, kind) {
        (WireFormat::NetflowV9, SetKind::OptionsTemplates) => {
            let scope = first / NETFLOW_V9_SPECIFIER_OCTETS;
            let others = set.u16()? / NETFLOW_V9_SPECIFIER_OCTETS;
            Ok(FieldCounts {
                all: usize::from(scope) + usize::from(others),
                scope,
            })
        }
        (WireFormat::Ipfix, SetKind::OptionsTemplates) => Ok(FieldCounts {
            all: usize::from(first),
            scope: set.u16()?,
        }),
        _ => Ok(FieldCounts {
            all: usize::from(first),
            scope: 0,
        }),
    }
}

fn read_template(
    set: &mut Octets,
    format: WireFormat,
    counts: &FieldCounts,
) -> Result<ReceivedTemplate, DecodeError> {
    let is_within_limits = (1..=MAX_FIELDS_PER_TEMPLATE).contains(&counts.all);
    if !is_within_limits || usize::from(counts.scope) > counts.all {
        return Err(DecodeError::LimitExceeded);
    }
    let mut fields = Vec::with_capacity(counts.all);
    for index in 0..counts.all {
        let is_scope = index < usize::from(counts.scope);
        fields.push(read_specifier(set, format, is_scope)?);
    }
    Ok(ReceivedTemplate {
        scope_field_count: counts.scope,
        fields,
    })
}

fn read_specifier(
    set: &mut Octets,
    format: WireFormat,
    is_scope: bool,
) -> Result<FieldSpecifier, DecodeError> {
    let element = set.u16()?;
    let length = set.u16()?;
    let has_enterprise_bit = element & ENTERPRISE_BIT != 0;
    let enterprise = match format {
        WireFormat::Ipfix if has_enterprise_bit => set.u32()?,
        WireFormat::Ipfix => 0,
        WireFormat::NetflowV9 if is_scope => NETFLOW_V9_SCOPE,
        // NetFlow v9 has no enterprise numbers; types with the enterprise bit are the gateway's enterprise-specific elements.
        WireFormat::NetflowV9 if has_enterprise_bit => ENTERPRISE_NUMBER,
        WireFormat::NetflowV9 => 0,
    };
    Ok(FieldSpecifier {
        enterprise,
        element_id: element & !ENTERPRISE_BIT,
        length,
    })
}
