//! Settings: valid ones are accepted, and errors name the invalid field.

use snowshelf::operator::{OperatorFile, OperatorSettings};
use snowshelf::settings::Settings;

const VALID_SETTINGS: &str = include_str!("sound.toml");

#[test]
fn valid_settings_are_accepted_and_unknown_fields_ignored() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.member_ttl_ms(), 3_500);
}

#[test]
fn settings_error_names_the_field_in_one_line() {
    for (from, to, field) in [
        ("nodes = 1", "nodes = 2", "peers"),
        ("rps = 2.0", "rps = -2.0", "deployment.cloud.rps"),
        ("txn_ops = 12", "txn_ops = 1", "deployment.state.txn_ops"),
        ("member = \"a-0\"\n", "", "member"),
        ("\"10.2.0.2:1\"", "\"nowhere\"", "outside.cloud"),
        ("rps = 100.0", "rps = \"x\"", "deployment.state.rps"),
        ("lease_s = 10.0\n", "", "lease_s"),
        ("nodes = 1", "nodes = ", "deployment.nodes"),
    ] {
        let error = Settings::parse(&VALID_SETTINGS.replace(from, to))
            .unwrap_err()
            .to_string();
        assert!(error.contains(field), "{error}");
        assert!(!error.contains('\n'), "{error}");
    }
}

/// Future limits may be set in part, and never raise the current ones.
#[test]
fn effective_limits_are_the_smaller_of_current_and_next() {
    let with = |next: &str| {
        let text = VALID_SETTINGS.replace(
            "[deployment.cloud]",
            &format!("[deployment.state.next]\n{next}\n[deployment.cloud]"),
        );
        Settings::parse(&text).map(|s| s.deployment.state.effective())
    };
    let limits = with("value_kb = 2.0\ntxn_ops = 40").unwrap();
    assert_eq!((limits.value_bytes(), limits.txn_ops), (2048, 12));
    assert_eq!((limits.rps, limits.write_rps), (100.0, 50.0));
    for invalid in ["value_kb = -1.0", "txn_ops = 1", "write_rps = 0.0"] {
        let field = invalid.split(' ').next().unwrap();
        let error = with(invalid).unwrap_err().to_string();
        assert!(error.contains(&format!("state.next.{field}")), "{error}");
    }
}

#[test]
fn operator_settings_are_validated_against_their_schema() {
    assert!(OperatorSettings::parse("{}").is_ok());
    assert_eq!(
        OperatorSettings::parse(r#"{"hold_ms": 5}"#)
            .unwrap()
            .hold_ms,
        5
    );
    for invalid in [
        r#"{"hold_ms": -1}"#,
        r#"{"hold_ms": "x"}"#,
        r#"{"other": 1}"#,
        "[]",
        "{",
    ] {
        assert!(OperatorSettings::parse(invalid).is_err(), "{invalid}");
    }
    let error = OperatorSettings::parse(r#"{"idle_release_s": 0}"#)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("idle_release_s") && error.contains("minimum"),
        "{error}"
    );
}

/// Features are configured in separate files. A conflict between two files is an error and is not resolved by their
/// order.
#[test]
fn operator_files_are_merged_and_a_conflict_names_both_files() {
    let merge = |files: &[(&str, &str)]| {
        let files: Vec<OperatorFile> = files
            .iter()
            .map(|(name, text)| OperatorFile {
                name: name.to_string(),
                text: text.to_string(),
            })
            .collect();
        OperatorSettings::merge(&files)
    };
    let both = merge(&[
        ("a.json", r#"{"hold_ms": 5, "calendar": {"enabled": true}}"#),
        ("b.json", r#"{"hold_ms": 5, "calendar": {"margin": 2.0}}"#),
    ])
    .unwrap();
    assert_eq!((both.hold_ms, both.calendar.margin), (5, 2.0));
    assert!(both.calendar.enabled && both.capabilities().len() == 1);
    assert!(merge(&[]).unwrap().capabilities().is_empty());
    let error = merge(&[
        ("a.json", r#"{"calendar": {"margin": 1.5}}"#),
        ("b.json", r#"{"calendar": {"margin": 2.0}}"#),
    ])
    .unwrap_err()
    .to_string();
    for named in ["a.json", "b.json", "/calendar/margin"] {
        assert!(error.contains(named), "{error}");
    }
    let error = merge(&[("a.json", "{}"), ("b.json", r#"{"calendar": {"on": 1}}"#)])
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with("b.json") && error.contains("/calendar"),
        "{error}"
    );
}
