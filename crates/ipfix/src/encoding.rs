//! Encodes the parts of a message: template records, data records and their fields.

use crate::octets::put_u16;
use crate::wire_format::ENTERPRISE_BIT;
use crate::{DataType, InformationElement, Template, Value, WireFormat, NETFLOW_V9_STRING_OCTETS};

/// Leaves 1024 octets of the largest message for headers and other fields.
const MAX_STRING_OCTETS: usize = u16::MAX as usize - 1024;
/// First octet of a variable-length field whose length is in the next two octets.
const LONG_LENGTH_MARKER: u8 = 255;
/// The scope type "System" of NetFlow v9 (RFC 3954, section 6.1).
const NETFLOW_V9_SYSTEM_SCOPE: u16 = 1;
/// Size of a NetFlow v9 field specifier. NetFlow v9 options templates state their field counts as octets of specifiers.
const NETFLOW_V9_SPECIFIER_OCTETS: u16 = 4;

impl WireFormat {
    /// Returns the length that a template states for an element, in octets.
    fn field_length(self, element: &InformationElement) -> u16 {
        match (self, element.data_type) {
            (WireFormat::NetflowV9, DataType::String) => NETFLOW_V9_STRING_OCTETS,
            _ => element.length(),
        }
    }

    pub(crate) fn encode_template(self, template: &Template) -> Vec<u8> {
        let mut buffer = Vec::new();
        put_u16(&mut buffer, template.id);
        if self == WireFormat::NetflowV9 && template.scope_field_count > 0 {
            self.put_netflow_v9_options(&mut buffer, template);
            return buffer;
        }
        put_u16(&mut buffer, template.fields.len() as u16);
        if template.scope_field_count > 0 {
            put_u16(&mut buffer, template.scope_field_count);
        }
        for field in &template.fields {
            self.put_specifier(&mut buffer, field);
        }
        buffer
    }

    fn put_netflow_v9_options(self, buffer: &mut Vec<u8>, template: &Template) {
        let scope_count = usize::from(template.scope_field_count).min(template.fields.len());
        let (scope, others) = template.fields.split_at(scope_count);
        put_u16(
            buffer,
            NETFLOW_V9_SPECIFIER_OCTETS * template.scope_field_count,
        );
        put_u16(buffer, NETFLOW_V9_SPECIFIER_OCTETS * others.len() as u16);
        // NetFlow v9 has no scope types for information elements, so every scope field gets the type "System".
        for field in scope {
            put_u16(buffer, NETFLOW_V9_SYSTEM_SCOPE);
            put_u16(buffer, self.field_length(field));
        }
        for field in others {
            self.put_specifier(buffer, field);
        }
    }

    fn put_specifier(self, buffer: &mut Vec<u8>, element: &InformationElement) {
        // NetFlow v9 has no enterprise numbers, so the enterprise bit becomes part of the field type.
        let enterprise_bit = match element.enterprise {
            Some(_) => ENTERPRISE_BIT,
            None => 0,
        };
        put_u16(buffer, element.id | enterprise_bit);
        put_u16(buffer, self.field_length(element));
        if let (Some(enterprise), WireFormat::Ipfix) = (element.enterprise, self) {
            buffer.extend_from_slice(&enterprise.to_be_bytes());
        }
    }

    pub(crate) fn encode_record(self, template: &Template, values: &[Value]) -> Vec<u8> {
        let mut buffer = Vec::new();
        for (index, field) in template.fields.iter().enumerate() {
            let length = self.field_length(field);
            match (values.get(index), field.data_type) {
                (Some(Value::Text(text)), DataType::String) => self.put_text(&mut buffer, text),
                (_, DataType::String) => self.put_text(&mut buffer, ""),
                (Some(Value::Number(number)), _) => put_number(&mut buffer, *number, length),
                _ => buffer.extend(std::iter::repeat_n(0, usize::from(length))),
            }
        }
        buffer
    }

    fn put_text(self, buffer: &mut Vec<u8>, text: &str) {
        match self {
            WireFormat::Ipfix => {
                let text = truncate_text(text, MAX_STRING_OCTETS);
                match u8::try_from(text.len()) {
                    Ok(length) if length < LONG_LENGTH_MARKER => buffer.push(length),
                    _ => {
                        buffer.push(LONG_LENGTH_MARKER);
                        put_u16(buffer, text.len() as u16);
                    }
                }
                buffer.extend_from_slice(text.as_bytes());
            }
            WireFormat::NetflowV9 => {
                let field_octets = usize::from(NETFLOW_V9_STRING_OCTETS);
                let text = truncate_text(text, field_octets);
                buffer.extend_from_slice(text.as_bytes());
                buffer.extend(std::iter::repeat_n(0, field_octets - text.len()));
            }
        }
    }
}

/// Appends a number in one to eight octets. A number too large for them is written as the largest that fits, not wrapped.
fn put_number(buffer: &mut Vec<u8>, number: u64, octets: u16) {
    let max = if octets == 8 {
        u64::MAX
    } else {
        (1 << (8 * u32::from(octets))) - 1
    };
    let encoded = number.min(max).to_be_bytes();
    buffer.extend_from_slice(&encoded[8 - usize::from(octets)..]);
}

/// Returns the longest prefix of at most `max_octets` octets that ends at a character boundary.
fn truncate_text(text: &str, max_octets: usize) -> &str {
    let mut end = text.len().min(max_octets);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
