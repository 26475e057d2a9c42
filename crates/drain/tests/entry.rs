//! Requests for drains: what is refused and where, and what is the same request.

use serde_json::{Value, json};
use snowshelf_drain::entry::{Drain, Stage, State, Step, Word, parse_drain};
use snowshelf_model::ids::{MachineId, WallClockMillis};

const NOW: WallClockMillis = WallClockMillis(1_800_000_000_000);

fn parse(body: &Value) -> Result<Drain, String> {
    let text = body.to_string();
    let read = parse_drain(text.as_bytes(), NOW);
    read.map(|(_, drain)| drain).map_err(|m| m.field)
}

#[test]
fn what_is_not_sound_is_refused_by_its_field() {
    let whole = json!({"name": "d", "all": true, "then": "replace"});
    assert!(parse(&whole).is_ok());
    let changes = [
        ("name", json!("a b"), "name"),
        ("then", json!("burn"), "then"),
        ("all", json!(false), "machines"),
        ("machines", json!(["n-1"]), "machines"),
        ("then", json!("keep"), "then"),
        ("at_once", json!(0), "at_once"),
        ("at_once", json!(101), "at_once"),
        ("share", json!(1.5), "share"),
        ("patience_s", json!(-1), "patience_s"),
        ("by", json!("2020-01-01T00:00:00Z"), "by"),
        ("by", json!("soon"), "by"),
        ("zones", json!("a"), "zones"),
    ];
    for (field, value, at) in changes {
        let mut body = whole.clone();
        body[field] = value;
        assert_eq!(parse(&body).err().as_deref(), Some(at), "{body}");
    }
    let mut both = whole.clone();
    (both["at_once"], both["share"]) = (json!(3), json!(0.1));
    assert_eq!(parse(&both).err().as_deref(), Some("share"));
    let named: Vec<String> = (0..49).map(|n| format!("n-{n}")).collect();
    let many = json!({"name": "d", "machines": named, "then": "return"});
    assert_eq!(parse(&many).err().as_deref(), Some("machines"));
}

/// Guards against a repeated request that is taken for another one, as it came at a later time.
#[test]
fn the_same_request_at_another_time_is_the_same() {
    let read = |body: &Value, now| {
        let text = body.to_string();
        parse_drain(text.as_bytes(), now).expect("sound").1
    };
    let body = json!({"name": "d", "zone": "a", "then": "replace"});
    let first = read(&body, NOW);
    let again = read(&body, WallClockMillis(NOW.0 + 60_000));
    assert!(first.answers(&again) && again.answers(&first));
    let mut other = body.clone();
    other["zone"] = json!("b");
    assert!(!first.answers(&read(&other, NOW)));
    let mut older = body.clone();
    older["older_than"] = json!("2027-01-01T00:00:00Z");
    assert!(!first.answers(&read(&older, NOW)));
}

#[test]
fn words_change_what_they_can() {
    let drain = parse(&json!({"name": "d", "all": true, "then": "return"})).expect("sound");
    let state = |d: &Drain, word| d.told(word, NOW).map(|next| next.map(|n| n.state));
    assert_eq!(state(&drain, Word::Resume), Ok(None));
    assert_eq!(state(&drain, Word::Pause), Ok(Some(State::Paused)));
    assert_eq!(state(&drain, Word::Cancel), Ok(Some(State::Cancelled)));
    let cancelled = drain
        .told(Word::Cancel, NOW)
        .expect("lawful")
        .expect("a change");
    assert_eq!(state(&cancelled, Word::Cancel), Ok(None));
    assert!(state(&cancelled, Word::Resume).is_err());
}

/// Guards against a paused drain that empties what was only being brought up for its next step.
#[test]
fn a_pause_begins_no_other_step() {
    let mut drain = parse(&json!({"name": "d", "all": true, "then": "replace"})).expect("sound");
    let step = |machine: &str, stage| Step {
        machines: vec![MachineId::new(machine)],
        stage,
        since: NOW,
    };
    drain.step = Some(step("n-1", Stage::Emptying));
    drain.ahead = Some(step("n-2", Stage::Bringing));
    let paused = drain
        .told(Word::Pause, NOW)
        .expect("lawful")
        .expect("a change");
    assert_eq!((paused.step, paused.ahead), (drain.step, None));
}
