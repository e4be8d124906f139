//! The information elements of exported records: IANA's, and enterprise-specific ones under the documentation enterprise number.

use harrierdock_flow_metering::{RecordKind, DURATION_BUCKETS};
use harrierdock_ipfix::DataType::{
    DateTimeMilliseconds, String as Text, Unsigned16, Unsigned32, Unsigned64, Unsigned8,
};
use harrierdock_ipfix::Semantics::{
    Default as Plain, DeltaCounter, Identifier, Quantity, TotalCounter,
};
use harrierdock_ipfix::{DataType, InformationElement, Semantics, ENTERPRISE_NUMBER};

/// IANA's number of the unit "octets".
const OCTETS_UNIT: u16 = 2;

const fn iana(
    id: u16,
    name: &'static str,
    data_type: DataType,
    semantics: Semantics,
) -> InformationElement {
    InformationElement {
        enterprise: None,
        id,
        name,
        data_type,
        semantics,
        units: 0,
    }
}

const fn enterprise(
    id: u16,
    name: &'static str,
    data_type: DataType,
    semantics: Semantics,
) -> InformationElement {
    InformationElement {
        enterprise: Some(ENTERPRISE_NUMBER),
        ..iana(id, name, data_type, semantics)
    }
}

const fn in_octets(element: InformationElement) -> InformationElement {
    InformationElement {
        units: OCTETS_UNIT,
        ..element
    }
}

macro_rules! elements {
    ($($constant:ident = $registry:ident($id:literal, $name:literal, $data_type:ident, $semantics:ident);)*) => {
        $(pub(crate) const $constant: InformationElement = $registry($id, $name, $data_type, $semantics);)*
    };
}

elements! {
    FLOW_START = iana(152, "flowStartMilliseconds", DateTimeMilliseconds, Plain);
    FLOW_END = iana(153, "flowEndMilliseconds", DateTimeMilliseconds, Plain);
    BUILD = enterprise(1, "hdBuild", Unsigned32, Identifier);
    STAGE = enterprise(2, "hdStage", Unsigned8, Identifier);
    CLASS = enterprise(3, "hdProduct", Text, Plain);
    OUTCOME = enterprise(4, "hdOutcome", Text, Plain);
    PATH = enterprise(5, "hdRoad", Text, Plain);
    ENDPOINT = enterprise(6, "hdServer", Text, Plain);
    COUNT = enterprise(7, "hdCount", Unsigned64, DeltaCounter);
    RETRIES = enterprise(8, "hdSecondSubmissions", Unsigned64, DeltaCounter);
    LATE = enterprise(9, "hdLate", Unsigned64, DeltaCounter);
    DURATION_US = enterprise(10, "hdTimeMicroseconds", Unsigned64, DeltaCounter);
    EXPOSURE_LIMIT_PPM = enterprise(13, "hdCapPartsPerMillion", Unsigned32, Quantity);
    RECEIVED_REQUESTS = enterprise(14, "hdTaken", Unsigned64, DeltaCounter);
    EXPORTING_PROCESS = iana(144, "exportingProcessId", Unsigned32, Identifier);
    EXPORTED_MESSAGES = iana(41, "exportedMessageTotalCount", Unsigned64, TotalCounter);
    EXPORTED_RECORDS = iana(42, "exportedFlowRecordTotalCount", Unsigned64, TotalCounter);
    DROPPED_FLOWS = iana(166, "notSentFlowTotalCount", Unsigned64, TotalCounter);
    IGNORED = iana(164, "ignoredPacketTotalCount", Unsigned64, TotalCounter);
}

pub(crate) const REQUEST_OCTETS: InformationElement =
    in_octets(enterprise(11, "hdRequestOctets", Unsigned64, DeltaCounter));
pub(crate) const RESPONSE_OCTETS: InformationElement =
    in_octets(enterprise(12, "hdAnswerOctets", Unsigned64, DeltaCounter));

/// Attempts and requests observed, indexed by [`RecordKind`].
pub(crate) const OBSERVED: [InformationElement; RecordKind::ALL.len()] = [
    enterprise(15, "hdRecordedSubmissions", Unsigned64, TotalCounter),
    enterprise(16, "hdRecordedTxns", Unsigned64, TotalCounter),
];

/// Attempts and requests dropped, indexed by [`RecordKind`].
pub(crate) const DROPPED: [InformationElement; RecordKind::ALL.len()] = [
    enterprise(17, "hdDroppedSubmissions", Unsigned64, TotalCounter),
    enterprise(18, "hdDroppedTxns", Unsigned64, TotalCounter),
];

/// The buckets of the duration histogram, by ratio to the latency objective.
pub(crate) const DURATION_HISTOGRAM: [InformationElement; DURATION_BUCKETS] = [
    enterprise(21, "hdTimesUpToEighthSla", Unsigned64, DeltaCounter),
    enterprise(22, "hdTimesUpToQuarterSla", Unsigned64, DeltaCounter),
    enterprise(23, "hdTimesUpToHalfSla", Unsigned64, DeltaCounter),
    enterprise(24, "hdTimesUpToSla", Unsigned64, DeltaCounter),
    enterprise(25, "hdTimesUpToTwiceSla", Unsigned64, DeltaCounter),
    enterprise(26, "hdTimesUpToFourSla", Unsigned64, DeltaCounter),
    enterprise(27, "hdTimesUpToEightSla", Unsigned64, DeltaCounter),
    enterprise(28, "hdTimesBeyond", Unsigned64, DeltaCounter),
];

/// The fields of an information element's type record (RFC 5610, section 3.9).
pub(crate) const ELEMENT_TYPE_FIELDS: [InformationElement; 6] = [
    iana(346, "privateEnterpriseNumber", Unsigned32, Identifier),
    iana(303, "informationElementId", Unsigned16, Identifier),
    iana(339, "informationElementDataType", Unsigned8, Plain),
    iana(344, "informationElementSemantics", Unsigned8, Plain),
    iana(345, "informationElementUnits", Unsigned16, Plain),
    iana(341, "informationElementName", Text, Plain),
];
