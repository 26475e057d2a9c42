//! Compatibility of external formats: records written by earlier versions, the schemas of operators' files, and the
//! encoding of peer messages.

use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use snowshelf::operator::OperatorSettings;
use snowshelf_calendar::entry::{Reservation, Window};
use snowshelf_drain::budget::Ledger;
use snowshelf_drain::entry::Drain;
use snowshelf_model::protocol::cloud::MachineType;
use snowshelf_model::protocol::peer::{PeerMessage, PeerStatus};
use snowshelf_model::records::{
    DagRecord, FormatRecord, JobRecord, LeaseHolder, QuotaRecord, RecordFormat, RunRecord,
    ShardAllocation, StorageLimits,
};

/// Values that earlier versions wrote, one JSON object a line: the key, and its value.
const RECORDS: &str = include_str!("fixtures/records.jsonl");

/// Decodes a value as a record and encodes it again.
fn round_trip<T: DeserializeOwned + Serialize>(value: &Value) -> Value {
    let record: T = serde_json::from_value(value.clone()).expect("the record can be read");
    serde_json::to_value(&record).expect("the record can be written")
}

/// Decodes an allocation and encodes it in the format in which it was written.
fn round_trip_allocation(value: &Value) -> Value {
    let alloc: ShardAllocation =
        serde_json::from_value(value.clone()).expect("the record can be read");
    let storage_limits = StorageLimits {
        format: match value.is_string() {
            true => RecordFormat::V2,
            false => RecordFormat::V1,
        },
        value_bytes: 16 * 1024,
        txn_ops: 12,
        rps: 1.0,
        write_rps: 1.0,
    };
    storage_limits
        .encode_allocation(&alloc)
        .expect("the record is small enough")
}

#[test]
fn stored_records_round_trip_unchanged() {
    let mut kinds = std::collections::BTreeMap::<String, u32>::new();
    for line in RECORDS.lines() {
        let entry: Value = serde_json::from_str(line).expect("a JSON object a line");
        let key = entry["key"].as_str().expect("a key");
        let kind = key.split('/').next().unwrap_or(key);
        let value = &entry["value"];
        let encoded = match kind {
            "alloc" => round_trip_allocation(value),
            "job" => round_trip::<JobRecord>(value),
            "part" | "leader" => round_trip::<LeaseHolder>(value),
            "quota" => round_trip::<QuotaRecord>(value),
            "member" | "format" => round_trip::<FormatRecord>(value),
            "types" => round_trip::<Vec<MachineType>>(value),
            "res" => round_trip::<Reservation>(value),
            "win" => round_trip::<Window>(value),
            "drain" => round_trip::<Drain>(value),
            "disrupt" => round_trip::<Ledger>(value),
            "run" => round_trip::<RunRecord>(value),
            "graph" => round_trip::<DagRecord>(value),
            "plan" | "def" => round_trip::<String>(value),
            "calendar" => value.clone(),
            _ => panic!("{key}: no such kind of record"),
        };
        assert_eq!(encoded.to_string(), value.to_string(), "{key}");
        *kinds.entry(kind.to_string()).or_default() += 1;
    }
    assert_eq!(kinds.len(), 17, "{kinds:?}");
}

/// Removes the descriptions from a schema, since their wording may change.
fn without_descriptions(schema: Value) -> Value {
    match schema {
        Value::Object(map) => map
            .into_iter()
            .filter(|(key, value)| key != "description" || !value.is_string())
            .map(|(key, value)| (key, without_descriptions(value)))
            .collect(),
        Value::Array(items) => items.into_iter().map(without_descriptions).collect(),
        other => other,
    }
}

#[test]
fn operator_file_schemas_are_unchanged() {
    for (schema, expected) in [
        (
            OperatorSettings::schema(),
            include_str!("fixtures/operator.schema.json"),
        ),
        (
            snowshelf_dag::native::schema(),
            include_str!("fixtures/graph.schema.json"),
        ),
        (
            snowshelf_dag::mapping::schema(),
            include_str!("fixtures/mapping.schema.json"),
        ),
    ] {
        let expected: Value = serde_json::from_str(expected).expect("a schema");
        assert_eq!(without_descriptions(schema), expected);
    }
}

/// Encodes a number as a protobuf varint: base 128, low-order groups first.
fn varint(mut value: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
    bytes
}

/// Encodes a length-delimited field.
fn field(tag: usize, bytes: &[u8]) -> Vec<u8> {
    [varint(tag << 3 | 2), varint(bytes.len()), bytes.to_vec()].concat()
}

fn number(tag: u8, value: u8) -> Vec<u8> {
    vec![tag << 3, value]
}

fn double(tag: u8, value: f64) -> Vec<u8> {
    let mut field = vec![tag << 3 | 1];
    field.extend_from_slice(&value.to_le_bytes());
    field
}

/// Guards against a changed tag or type. The bytes are written by hand with the tags that earlier versions use.
#[test]
fn peer_messages_keep_their_field_tags() {
    let shard = [
        number(1, 2),
        double(2, 1.5),
        double(3, 2.5),
        field(4, b"m-1"),
        double(5, 3.5),
        field(
            6,
            &[field(1, b"z"), field(2, b"t"), number(3, 4), number(4, 5)].concat(),
        ),
        field(7, &[field(1, b"red"), double(2, 6.5)].concat()),
        field(8, &[field(1, b"wk-1"), number(2, 7)].concat()),
        field(9, b"m-2"),
        field(10, b"m-3"),
        field(11, b"held"),
        field(
            12,
            &[field(1, b"red"), double(2, 8.5), number(3, 9)].concat(),
        ),
        field(13, &[field(1, b"wk-2"), number(2, 10)].concat()),
        field(14, b"wk-3"),
        field(15, b"wk-4"),
    ];
    let status = [
        field(1, b"n0"),
        number(2, 11),
        number(3, 12),
        field(4, &shard.concat()),
        field(5, b"red"),
        field(6, b"m-4"),
        number(7, 13),
        number(8, 1),
        field(9, &[number(1, 14), number(2, 15)].concat()),
        field(
            10,
            &[field(1, b"d"), field(2, b"w"), field(3, b"h")].concat(),
        ),
    ]
    .concat();
    let read = PeerStatus::decode(&status[..]).expect("a status");
    assert_eq!(read.encode_to_vec(), status);

    let request = [field(1, b"n0"), number(2, 21), number(3, 22), number(4, 23)].concat();
    let confirmation = [
        field(1, b"n1"),
        number(2, 24),
        number(3, 25),
        number(4, 26),
        number(5, 1),
        field(6, b"wk-1"),
    ]
    .concat();
    let peer_message = [field(101, &request), field(102, &confirmation)].concat();
    let read = PeerMessage::decode(&peer_message[..]).expect("a message");
    assert_eq!(read.encode_to_vec(), peer_message);
}

#[test]
fn machine_type_keeps_the_field_names_of_the_cloud_api() {
    let value = json!({"Label": "s", "Cpus": 4.0, "Gpus": 1.0, "MemGb": 8.0, "LocalGb": 9.0, "FetchGbPerS": 0.5,
        "Hourly": 1.0, "SpotPrice": 0.5, "ReadyS": 5.0, "Parcelas": ["a"]});
    assert_eq!(round_trip::<MachineType>(&value), value);
}
