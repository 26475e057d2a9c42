//! What controllers say to each other where a rule depends on it: what is answered, and what is ignored.

use prost::Message;
use snowshelf::coordination::controller::Controller;
use snowshelf::effects::{ControllerEvent, Effect};
use snowshelf::operator::OperatorSettings;
use snowshelf::settings::Settings;
use snowshelf_model::ids::MonotonicMillis;
use snowshelf_model::protocol::peer::{Confirmation, ConfirmationRequest, PeerMessage, PeerStatus};

fn controller() -> Controller {
    let settings = Settings::parse(
        "member = \"a\"\nserve_on = \"10.0.0.1:1\"\npeer_listen = \"10.0.0.1:2\"\n\
         [[peers]]\nmember = \"b\"\naddress = \"10.0.0.2:2\"\n\
         [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[deployment]\nnodes = 2\n\
         [deployment.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 30.0\n\
         [deployment.state]\nrps = 9.0\nwrite_rps = 9.0\nvalue_kb = 9.0\ntxn_ops = 9\n\
         [deployment.cloud]\nrps = 2.0\n[deployment.limits]\nmem_mb = 99.0\nsockets = 99\n",
    );
    Controller::new(
        settings.unwrap(),
        OperatorSettings::default(),
        MonotonicMillis(1),
    )
}

fn request(member: &str, window_ms: u64) -> PeerMessage {
    let request = ConfirmationRequest {
        member: member.into(),
        incarnation: 77,
        sequence: 5,
        window_ms,
    };
    PeerMessage {
        request: Some(request),
        confirmation: None,
    }
}

/// What the controller answers to a message, as attestations and whom they go to.
fn answers(
    controller: &mut Controller,
    proof: PeerMessage,
    now: u64,
) -> Vec<(String, Confirmation)> {
    let outputs = controller.handle(
        ControllerEvent::PeerMessage(proof),
        MonotonicMillis(now),
        1_000_000 + now,
    );
    let proofs = outputs.into_iter().filter_map(|output| match output {
        Effect::PeerMessage(member, proof) => {
            Some((member.as_str().to_string(), proof.confirmation?))
        }
        _ => None,
    });
    proofs.collect()
}

/// Guards against vouching for the time before this life, and against answers that cannot be told from those to
/// another life's question.
#[test]
fn an_attestation_is_complete_only_for_what_this_life_has_seen() {
    let mut controller = controller();
    let told = answers(&mut controller, request("b", 5_000), 6_000);
    let [(to, attestation)] = &told[..] else {
        panic!("{told:?}");
    };
    assert_eq!((to.as_str(), attestation.member.as_str()), ("b", "a"));
    assert_eq!(
        (attestation.asker_incarnation, attestation.sequence),
        (77, 5)
    );
    assert!(attestation.complete && attestation.cancelled.is_empty());
    let told = answers(&mut controller, request("b", 5_999), 6_000);
    assert!(told[0].1.complete);
    let told = answers(&mut controller, request("b", 6_000), 6_000);
    assert!(!told[0].1.complete);
    // Impossible numbers, and somebody whom the settings do not name.
    assert!(
        !answers(&mut controller, request("b", u64::MAX), 6_000)[0]
            .1
            .complete
    );
    assert_eq!(answers(&mut controller, request("x", 5_000), 6_000), []);
    assert_eq!(answers(&mut controller, request("a", 5_000), 6_000), []);
}

/// Guards against a word that was not asked for: nothing comes of it.
#[test]
fn an_attestation_that_nobody_asked_for_changes_nothing() {
    let mut controller = controller();
    for (member, sequence) in [("b", 0), ("b", 1), ("b", u64::MAX), ("x", 1)] {
        let attestation = Confirmation {
            member: member.into(),
            incarnation: 3,
            asker_incarnation: 1_000_050,
            sequence,
            complete: true,
            cancelled: vec!["wk-000001".into(), String::new()],
        };
        let proof = PeerMessage {
            request: None,
            confirmation: Some(attestation),
        };
        assert_eq!(answers(&mut controller, proof, 50), []);
    }
}

/// Guards against a message of the one kind that is taken for the other: the version in production reads proofs as
/// hints of nobody, and hints are no proofs.
#[test]
fn proofs_and_hints_are_told_apart() {
    let proof = request("b", 9).encode_to_vec();
    assert_eq!(
        PeerStatus::decode(&proof[..]).unwrap(),
        PeerStatus::default()
    );
    let hint = PeerStatus {
        member: "b".into(),
        state_silent_ms: 9,
        up_ms: 8,
        missing: vec!["n-1".into()],
        ..PeerStatus::default()
    };
    let hint = hint.encode_to_vec();
    assert_eq!(
        PeerMessage::decode(&hint[..]).unwrap(),
        PeerMessage::default()
    );
    assert!(PeerMessage::decode(&proof[..proof.len() - 1]).is_err());
}
