//! Requests for drains: validation, repeated requests, and operators' actions.

use serde_json::{Value, json};
use snowshelf_drain::entry::{Drain, DrainAction, Stage, State, Step, parse_drain};
use snowshelf_model::ids::{MachineId, WallClockMillis};

const NOW: WallClockMillis = WallClockMillis(1_800_000_000_000);

fn parse(body: &Value) -> Result<Drain, String> {
    let text = body.to_string();
    let read = parse_drain(text.as_bytes(), NOW);
    read.map(|(_, drain)| drain).map_err(|m| m.field)
}

/// Guards against an invalid request that is accepted, or refused under another field than the invalid one.
#[test]
fn request_with_invalid_field_is_refused_by_field() {
    let valid = json!({"name": "d", "all": true, "then": "replace"});
    assert!(parse(&valid).is_ok());
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
    for (field, value, refused) in changes {
        let mut body = valid.clone();
        body[field] = value;
        assert_eq!(parse(&body).err().as_deref(), Some(refused), "{body}");
    }
    let mut both = valid.clone();
    (both["at_once"], both["share"]) = (json!(3), json!(0.1));
    assert_eq!(parse(&both).err().as_deref(), Some("share"));
    let named: Vec<String> = (0..49).map(|n| format!("n-{n}")).collect();
    let many = json!({"name": "d", "machines": named, "then": "return"});
    assert_eq!(parse(&many).err().as_deref(), Some("machines"));
}

/// Guards against a repeated request that is refused as a different one: without `older_than` each request
/// defaults to its own time.
#[test]
fn request_repeated_later_is_same_request() {
    let read = |body: &Value, now| {
        let text = body.to_string();
        parse_drain(text.as_bytes(), now)
            .expect("a valid request")
            .1
    };
    let body = json!({"name": "d", "zone": "a", "then": "replace"});
    let first = read(&body, NOW);
    let repeated = read(&body, WallClockMillis(NOW.0 + 60_000));
    assert!(first.is_same_request(&repeated) && repeated.is_same_request(&first));
    let mut other = body.clone();
    other["zone"] = json!("b");
    assert!(!first.is_same_request(&read(&other, NOW)));
    let mut older = body.clone();
    older["older_than"] = json!("2027-01-01T00:00:00Z");
    assert!(!first.is_same_request(&read(&older, NOW)));
}

/// Guards against a cancelled drain that is resumed, and against a repeated action that is refused as a conflict.
#[test]
fn action_changes_state_unless_drain_has_ended() {
    let drain =
        parse(&json!({"name": "d", "all": true, "then": "return"})).expect("a valid request");
    let state = |d: &Drain, action| d.apply(action, NOW).map(|next| next.map(|n| n.state));
    assert_eq!(state(&drain, DrainAction::Resume), Ok(None));
    assert_eq!(state(&drain, DrainAction::Pause), Ok(Some(State::Paused)));
    assert_eq!(
        state(&drain, DrainAction::Cancel),
        Ok(Some(State::Cancelled))
    );
    let cancelled = drain
        .apply(DrainAction::Cancel, NOW)
        .expect("the drain has not ended")
        .expect("a change");
    assert_eq!(state(&cancelled, DrainAction::Cancel), Ok(None));
    assert!(state(&cancelled, DrainAction::Resume).is_err());
}

/// Guards against a paused drain that goes on to empty the machines of its next step, whose replacements were
/// starting when it was paused.
#[test]
fn pause_drops_next_step() {
    let mut drain =
        parse(&json!({"name": "d", "all": true, "then": "replace"})).expect("a valid request");
    let step = |machine: &str, stage| Step {
        machines: vec![MachineId::new(machine)],
        stage,
        since: NOW,
    };
    drain.step = Some(step("n-1", Stage::Emptying));
    drain.next_step = Some(step("n-2", Stage::AwaitingReplacements));
    let paused = drain
        .apply(DrainAction::Pause, NOW)
        .expect("the drain has not ended")
        .expect("a change");
    assert_eq!((paused.step, paused.next_step), (drain.step, None));
}
