//! Writes messages within a given size.

use crate::information_element::{Element, Kind, Template, Value};

/// Which of the two forms is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Ipfix,
    V9,
}

/// NetFlow v9 has no lengths within records: texts take this many octets there, the rest noughts.
pub const V9_TEXT: u16 = 32;

const IPFIX_VERSION: u16 = 10;
const V9_VERSION: u16 = 9;
const IPFIX_HEAD: usize = 16;
const V9_HEAD: usize = 20;
const SET_HEAD: usize = 4;

impl Form {
    fn head(self) -> usize {
        match self {
            Form::Ipfix => IPFIX_HEAD,
            Form::V9 => V9_HEAD,
        }
    }

    /// The sets that hold templates and options templates.
    fn template_set(self, options: bool) -> u16 {
        match (self, options) {
            (Form::Ipfix, false) => 2,
            (Form::Ipfix, true) => 3,
            (Form::V9, false) => 0,
            (Form::V9, true) => 1,
        }
    }
}

/// A record that fits no message of the given size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Collects sets into messages of at most `most` octets. Sequence numbers count data records in IPFIX (RFC 7011,
/// 3.1, modulo 2^32) and messages in NetFlow v9.
pub struct Writer {
    form: Form,
    domain: u32,
    most: usize,
    sequence: u32,
    /// The message under way; empty, or a head with sets behind it.
    message: Vec<u8>,
    /// Where its last set begins, and which it is.
    set: Option<(usize, u16)>,
    records: u32,
    /// Records in it, templates among them, as NetFlow v9 counts.
    counted: u16,
    done: Vec<(Vec<u8>, u32)>,
}

impl Writer {
    /// `most` is the size that a message may have, in octets: at least 512, at most 65,535.
    pub fn new(form: Form, domain: u32, most: usize) -> Writer {
        let most = most.clamp(512, 65_535);
        Writer {
            form,
            domain,
            most,
            sequence: 0,
            message: Vec::new(),
            set: None,
            records: 0,
            counted: 0,
            done: Vec::new(),
        }
    }

    /// The next message's sequence number.
    pub fn sequence(&self) -> u32 {
        self.sequence
    }

    /// Goes on from where an earlier writer stood.
    pub fn go_on(&mut self, sequence: u32) {
        self.sequence = sequence;
    }

    /// Adds a template; collectors need it before the records made by it.
    ///
    /// # Errors
    /// `Full` if it fits no message.
    pub fn template(&mut self, template: &Template) -> Result<(), Full> {
        let mut bytes = Vec::new();
        put16(&mut bytes, template.id);
        let (scope, rest) = template
            .fields
            .split_at(usize::from(template.scope).min(template.fields.len()));
        match self.form {
            Form::Ipfix => {
                put16(&mut bytes, template.fields.len() as u16);
                if template.scope > 0 {
                    put16(&mut bytes, template.scope);
                }
                template
                    .fields
                    .iter()
                    .for_each(|f| self.specifier(&mut bytes, f));
            }
            Form::V9 if template.scope > 0 => {
                put16(&mut bytes, 4 * template.scope);
                put16(&mut bytes, 4 * rest.len() as u16);
                // The scope "system" (RFC 3954, 6.1) stands for whatever scope the IPFIX form has.
                scope.iter().for_each(|f| {
                    put16(&mut bytes, 1);
                    put16(&mut bytes, self.length(f));
                });
                rest.iter().for_each(|f| self.specifier(&mut bytes, f));
            }
            Form::V9 => {
                put16(&mut bytes, template.fields.len() as u16);
                template
                    .fields
                    .iter()
                    .for_each(|f| self.specifier(&mut bytes, f));
            }
        }
        self.put(self.form.template_set(template.scope > 0), &bytes, false)
    }

    fn length(&self, element: &Element) -> u16 {
        match (self.form, element.kind) {
            (Form::V9, Kind::Text) => V9_TEXT,
            _ => element.length(),
        }
    }

    fn specifier(&self, bytes: &mut Vec<u8>, element: &Element) {
        // Enterprise elements have the high bit; NetFlow v9 knows no enterprises and takes it for a large type.
        let high = if element.enterprise.is_some() {
            0x8000
        } else {
            0
        };
        put16(bytes, element.id | high);
        put16(bytes, self.length(element));
        if let (Some(enterprise), Form::Ipfix) = (element.enterprise, self.form) {
            bytes.extend_from_slice(&enterprise.to_be_bytes());
        }
    }

    /// Adds a data record. Values of another kind than their field's are written as nought or nothing.
    ///
    /// # Errors
    /// `Full` if it fits no message.
    pub fn record(&mut self, template: &Template, values: &[Value]) -> Result<(), Full> {
        let mut bytes = Vec::new();
        for (at, field) in template.fields.iter().enumerate() {
            let length = self.length(field);
            match (values.get(at), field.kind) {
                (Some(Value::Text(text)), Kind::Text) => self.text(&mut bytes, text),
                (_, Kind::Text) => self.text(&mut bytes, ""),
                (Some(Value::Number(number)), _) => {
                    // A number too large for its field stays at the largest rather than wrap.
                    let most = if length == 8 {
                        u64::MAX
                    } else {
                        (1 << (8 * u32::from(length))) - 1
                    };
                    bytes.extend_from_slice(
                        &(*number).min(most).to_be_bytes()[8 - usize::from(length)..],
                    );
                }
                _ => bytes.extend(std::iter::repeat_n(0, usize::from(length))),
            }
        }
        self.put(template.id, &bytes, true)
    }

    fn text(&self, bytes: &mut Vec<u8>, text: &str) {
        match self.form {
            Form::Ipfix => {
                let text = cut(text, usize::from(u16::MAX) - 1024);
                match u8::try_from(text.len()) {
                    Ok(short) if short < 255 => bytes.push(short),
                    _ => {
                        bytes.push(255);
                        put16(bytes, text.len() as u16);
                    }
                }
                bytes.extend_from_slice(text.as_bytes());
            }
            Form::V9 => {
                let text = cut(text, usize::from(V9_TEXT));
                bytes.extend_from_slice(text.as_bytes());
                bytes.extend(std::iter::repeat_n(0, usize::from(V9_TEXT) - text.len()));
            }
        }
    }

    fn put(&mut self, set: u16, bytes: &[u8], data: bool) -> Result<(), Full> {
        // NetFlow v9 pads each set to four octets.
        let pad = if self.form == Form::V9 { 3 } else { 0 };
        if self.form.head() + SET_HEAD + bytes.len() + pad > self.most {
            return Err(Full);
        }
        let new_set = self.set.is_none_or(|(_, id)| id != set);
        let more = bytes.len() + if new_set { SET_HEAD } else { 0 } + pad;
        if !self.message.is_empty() && self.message.len() + more > self.most {
            self.flush();
        }
        if self.message.is_empty() {
            self.message = vec![0; self.form.head()];
        }
        if self.set.is_none_or(|(_, id)| id != set) {
            self.close_set();
            self.set = Some((self.message.len(), set));
            put16(&mut self.message, set);
            put16(&mut self.message, 0);
        }
        self.message.extend_from_slice(bytes);
        self.records += u32::from(data);
        self.counted = self.counted.saturating_add(1);
        Ok(())
    }

    fn close_set(&mut self) {
        let Some((from, _)) = self.set.take() else {
            return;
        };
        while self.form == Form::V9 && !(self.message.len() - from).is_multiple_of(4) {
            self.message.push(0);
        }
        let length = (self.message.len() - from) as u16;
        self.message[from + 2..from + 4].copy_from_slice(&length.to_be_bytes());
    }

    /// Ends the message under way, if there is one.
    pub fn flush(&mut self) {
        if self.message.is_empty() {
            return;
        }
        self.close_set();
        let message = std::mem::take(&mut self.message);
        let records = std::mem::take(&mut self.records);
        let counted = std::mem::take(&mut self.counted);
        let mut head = Vec::with_capacity(self.form.head());
        match self.form {
            Form::Ipfix => {
                put16(&mut head, IPFIX_VERSION);
                put16(&mut head, message.len() as u16);
                head.extend_from_slice(&[0; 4]);
                head.extend_from_slice(&self.sequence.to_be_bytes());
                self.sequence = self.sequence.wrapping_add(records);
            }
            Form::V9 => {
                put16(&mut head, V9_VERSION);
                put16(&mut head, counted);
                head.extend_from_slice(&[0; 8]);
                head.extend_from_slice(&self.sequence.to_be_bytes());
                self.sequence = self.sequence.wrapping_add(1);
            }
        }
        head.extend_from_slice(&self.domain.to_be_bytes());
        let mut message = message;
        message[..head.len()].copy_from_slice(&head);
        self.done.push((message, records));
    }

    /// The messages that are done, each with its number of data records, stamped with the time of export: Unix
    /// seconds, and for NetFlow v9 milliseconds since the start.
    pub fn take(&mut self, unix: u32, up_ms: u32) -> Vec<(Vec<u8>, u32)> {
        let mut done = std::mem::take(&mut self.done);
        for (message, _) in &mut done {
            match self.form {
                Form::Ipfix => message[4..8].copy_from_slice(&unix.to_be_bytes()),
                Form::V9 => {
                    message[4..8].copy_from_slice(&up_ms.to_be_bytes());
                    message[8..12].copy_from_slice(&unix.to_be_bytes());
                }
            }
        }
        done
    }
}

fn put16(bytes: &mut Vec<u8>, number: u16) {
    bytes.extend_from_slice(&number.to_be_bytes());
}

/// The longest beginning of a text within so many octets that is a text.
fn cut(text: &str, most: usize) -> &str {
    let mut end = text.len().min(most);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
