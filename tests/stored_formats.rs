//! What stands outside the process keeps its form: records written by earlier versions, the schemas of operators'
//! files, and the messages between controllers, byte by byte.

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

/// Reads a value as a record and writes it back.
fn rewritten<T: DeserializeOwned + Serialize>(value: &Value) -> Value {
    let record: T = serde_json::from_value(value.clone()).expect("the record can be read");
    serde_json::to_value(&record).expect("the record can be written")
}

/// An allocation in the format that it was written in.
fn rewritten_allocation(value: &Value) -> Value {
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
fn every_stored_record_is_read_and_written_back_unchanged() {
    let mut kinds = std::collections::BTreeMap::<String, u32>::new();
    for line in RECORDS.lines() {
        let entry: Value = serde_json::from_str(line).expect("a JSON object a line");
        let key = entry["key"].as_str().expect("a key");
        let kind = key.split('/').next().unwrap_or(key);
        let value = &entry["value"];
        let again = match kind {
            "alloc" => rewritten_allocation(value),
            "job" => rewritten::<JobRecord>(value),
            "part" | "leader" => rewritten::<LeaseHolder>(value),
            "quota" => rewritten::<QuotaRecord>(value),
            "member" | "format" => rewritten::<FormatRecord>(value),
            "types" => rewritten::<Vec<MachineType>>(value),
            "res" => rewritten::<Reservation>(value),
            "win" => rewritten::<Window>(value),
            "drain" => rewritten::<Drain>(value),
            "disrupt" => rewritten::<Ledger>(value),
            "run" => rewritten::<RunRecord>(value),
            "graph" => rewritten::<DagRecord>(value),
            "plan" | "def" => rewritten::<String>(value),
            "calendar" => value.clone(),
            _ => panic!("{key}: no such kind of record"),
        };
        assert_eq!(again.to_string(), value.to_string(), "{key}");
        *kinds.entry(kind.to_string()).or_default() += 1;
    }
    assert_eq!(kinds.len(), 17, "{kinds:?}");
}

/// A schema without its descriptions, which are prose.
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
fn operators_files_keep_their_schemas() {
    for (schema, kept) in [
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
        let kept: Value = serde_json::from_str(kept).expect("a schema");
        assert_eq!(without_descriptions(schema), kept);
    }
}

/// A number in base 128, the low bits first.
fn varint(mut value: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
    bytes
}

/// The bytes of a length-delimited field.
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

/// Guards against a tag or a type that changes: bytes written by hand, after the numbers that earlier versions use.
#[test]
fn messages_between_controllers_keep_their_tags() {
    let part = [
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
    let hint = [
        field(1, b"n0"),
        number(2, 11),
        number(3, 12),
        field(4, &part.concat()),
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
    let read = PeerStatus::decode(&hint[..]).expect("a hint");
    assert_eq!(read.encode_to_vec(), hint);

    let request = [field(1, b"n0"), number(2, 21), number(3, 22), number(4, 23)].concat();
    let answer = [
        field(1, b"n1"),
        number(2, 24),
        number(3, 25),
        number(4, 26),
        number(5, 1),
        field(6, b"wk-1"),
    ]
    .concat();
    let proof = [field(101, &request), field(102, &answer)].concat();
    let read = PeerMessage::decode(&proof[..]).expect("a message");
    assert_eq!(read.encode_to_vec(), proof);
}

#[test]
fn a_machine_type_keeps_the_names_of_the_cloud() {
    let value = json!({"Label": "s", "Cpus": 4.0, "Gpus": 1.0, "MemGb": 8.0, "LocalGb": 9.0, "FetchGbPerS": 0.5,
        "Hourly": 1.0, "SpotPrice": 0.5, "ReadyS": 5.0, "Parcelas": ["a"]});
    assert_eq!(rewritten::<MachineType>(&value), value);
}
