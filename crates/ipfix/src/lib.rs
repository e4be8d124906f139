//! IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages: encodes templates, options templates and data records, and decodes them.
//!
//! A file of IPFIX messages (RFC 5655) is a sequence of such messages. This package does no I/O; its callers choose the templates and
//! records.

#![warn(missing_docs, unreachable_pub)]

mod decoded;
mod encoding;
mod error;
mod file;
mod information_element;
mod octets;
mod reader;
mod template;
mod wire_format;
mod writer;

pub use decoded::{DataRecord, FieldValue, Message, NETFLOW_V9_SCOPE};
pub use error::{DecodeError, RecordTooLarge};
pub use file::{split_file, FileEnd, FileError, SplitFile};
pub use information_element::{
    DataType, InformationElement, Semantics, ENTERPRISE_NUMBER, VARIABLE_LENGTH,
};
pub use reader::MessageReader;
pub use template::{Template, Value};
pub use wire_format::{WireFormat, NETFLOW_V9_STRING_OCTETS};
pub use writer::{EncodedMessage, MessageWriter};
