//! Confirmations of cancellations between controllers, on which safety depends: what is answered, and what is ignored.

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

/// The confirmations with which the controller answers a message, and the member that each goes to.
fn confirmations(
    controller: &mut Controller,
    message: PeerMessage,
    now: u64,
) -> Vec<(String, Confirmation)> {
    let outputs = controller.handle(
        ControllerEvent::PeerMessage(message),
        MonotonicMillis(now),
        1_000_000 + now,
    );
    let confirmations = outputs.into_iter().filter_map(|output| match output {
        Effect::PeerMessage(member, message) => {
            Some((member.as_str().to_string(), message.confirmation?))
        }
        _ => None,
    });
    confirmations.collect()
}

/// Guards against vouching for the time before this incarnation, and against answers that cannot be distinguished from
/// those to the request of another incarnation.
#[test]
fn a_confirmation_is_complete_only_for_what_this_incarnation_has_seen() {
    let mut controller = controller();
    let confirmations_sent = confirmations(&mut controller, request("b", 5_000), 6_000);
    let [(to, confirmation)] = &confirmations_sent[..] else {
        panic!("{confirmations_sent:?}");
    };
    assert_eq!((to.as_str(), confirmation.member.as_str()), ("b", "a"));
    assert_eq!(
        (confirmation.asker_incarnation, confirmation.sequence),
        (77, 5)
    );
    assert!(confirmation.complete && confirmation.cancelled.is_empty());
    let confirmations_sent = confirmations(&mut controller, request("b", 5_999), 6_000);
    assert!(confirmations_sent[0].1.complete);
    let confirmations_sent = confirmations(&mut controller, request("b", 6_000), 6_000);
    assert!(!confirmations_sent[0].1.complete);
    // Impossible numbers, and somebody whom the settings do not name.
    assert!(
        !confirmations(&mut controller, request("b", u64::MAX), 6_000)[0]
            .1
            .complete
    );
    assert_eq!(
        confirmations(&mut controller, request("x", 5_000), 6_000),
        []
    );
    assert_eq!(
        confirmations(&mut controller, request("a", 5_000), 6_000),
        []
    );
}

/// Guards against a confirmation that was not requested: nothing comes of it.
#[test]
fn an_unrequested_confirmation_changes_nothing() {
    let mut controller = controller();
    for (member, sequence) in [("b", 0), ("b", 1), ("b", u64::MAX), ("x", 1)] {
        let confirmation = Confirmation {
            member: member.into(),
            incarnation: 3,
            asker_incarnation: 1_000_050,
            sequence,
            complete: true,
            cancelled: vec!["wk-000001".into(), String::new()],
        };
        let message = PeerMessage {
            request: None,
            confirmation: Some(confirmation),
        };
        assert_eq!(confirmations(&mut controller, message, 50), []);
    }
}

/// Guards against a message of the one kind that is taken for the other: the version in production reads confirmations
/// as a status of nobody, and a status is no confirmation.
#[test]
fn confirmations_and_statuses_are_not_confused() {
    let message = request("b", 9).encode_to_vec();
    assert_eq!(
        PeerStatus::decode(&message[..]).unwrap(),
        PeerStatus::default()
    );
    let status = PeerStatus {
        member: "b".into(),
        state_silent_ms: 9,
        up_ms: 8,
        missing: vec!["n-1".into()],
        ..PeerStatus::default()
    };
    let status = status.encode_to_vec();
    assert_eq!(
        PeerMessage::decode(&status[..]).unwrap(),
        PeerMessage::default()
    );
    assert!(PeerMessage::decode(&message[..message.len() - 1]).is_err());
}
