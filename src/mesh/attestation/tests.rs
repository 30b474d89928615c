use super::*;
use crate::testing::compatibility::trace::hex;

fn attestation(incarnation: u64, is_disconnected: bool, cancelled: &[&str]) -> Attestation {
    Attestation {
        incarnation,
        is_disconnected,
        cancelled: cancelled.iter().map(|id| (*id).to_owned()).collect(),
    }
}

/// Guards against tasks that still run after the permitted time although their job's cancellation was confirmed: a
/// disconnected controller may renew leases past `disconnected_lease_limit` only if every peer has attested in its last
/// known incarnation. A peer does not count if it does not answer, has restarted, is loading its records or reaches the
/// state service.
#[test]
fn cancellations_are_attested_only_once_every_peer_has_attested() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut peers = PeerStatus::default();
    let mut trace = String::new();
    let mut record = |step: &str, peers: &PeerStatus| {
        let attested_until = peers.attested_until(["n-1", "n-2"]);
        let attested_s = attested_until.map(|at| (at - start).as_secs());
        let cancelled: Vec<_> = peers.cancelled.iter().cloned().collect();
        trace.push_str(&format!(
            "{step}: up to {attested_s:?}, cancelled {cancelled:?}\n"
        ));
    };
    peers.record_attestation("n-1", Some(7), attestation(7, true, &["job-1"]), at(3));
    record("n-1 attests", &peers);
    peers.record_attestation("n-2", Some(8), attestation(9, true, &["job-2"]), at(4));
    record("n-2 attests after a restart", &peers);
    peers.record_attestation("n-2", None, attestation(8, true, &[]), at(4));
    record("n-2 attests, its incarnation is unknown", &peers);
    peers.record_attestation("n-2", Some(8), attestation(8, false, &[]), at(4));
    record("n-2 reaches the state service", &peers);
    peers.record_attestation("n-2", Some(8), attestation(8, true, &[]), at(5));
    record("n-2 attests", &peers);
    peers.record_attestation("n-1", Some(7), attestation(7, true, &["job-1"]), at(9));
    record("n-1 attests again, n-2 does not answer", &peers);
    peers.discard_superseded(start);
    record("records read before the last answer", &peers);
    peers.discard_superseded(Instant::now() + Duration::from_secs(1));
    record("records read after the last answer", &peers);
    insta::assert_snapshot!(trace, @r#"
    n-1 attests: up to None, cancelled ["job-1"]
    n-2 attests after a restart: up to None, cancelled ["job-1", "job-2"]
    n-2 attests, its incarnation is unknown: up to None, cancelled ["job-1", "job-2"]
    n-2 reaches the state service: up to None, cancelled ["job-1", "job-2"]
    n-2 attests: up to Some(3), cancelled ["job-1", "job-2"]
    n-1 attests again, n-2 does not answer: up to Some(5), cancelled ["job-1", "job-2"]
    records read before the last answer: up to None, cancelled ["job-1", "job-2"]
    records read after the last answer: up to None, cancelled []
    "#);
}

#[test]
fn attestation_frame_encoding_is_stable() {
    let mut trace = String::new();
    let attestations: [(u64, bool, &[&str]); 4] = [
        (0, false, &[]),
        (1_170_161_245_356_350, true, &[]),
        (1_170_161_245_356_350, true, &["job-000412"]),
        (7, false, &["job-000412", "job-7"]),
    ];
    for (incarnation, is_disconnected, cancelled) in attestations {
        let frame = bitcode::encode(&attestation(incarnation, is_disconnected, cancelled));
        trace.push_str(&format!(
            "{incarnation} {is_disconnected} {cancelled:?}: {}\n",
            hex(&frame)
        ));
        let read: Attestation = bitcode::decode(&frame).unwrap();
        assert_eq!(read.incarnation, incarnation);
        assert_eq!(read.is_disconnected, is_disconnected);
        assert_eq!(read.cancelled, cancelled);
    }
    insta::assert_snapshot!("attestation_frames", trace);
}

/// Checks the bytes of a query, and that the bytes of another controller's answer are decoded.
#[tokio::test]
async fn attestation_query_encoding_is_stable() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let answering = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 2];
        stream.read_exact(&mut request).await.unwrap();
        let frame = bitcode::encode(&attestation(7, true, &["job-000412"]));
        let mut answer = (frame.len() as u32).to_be_bytes().to_vec();
        answer.extend(frame);
        stream.write_all(&answer).await.unwrap();
        hex(&request)
    });
    let attestation = query(peer).await.unwrap();
    assert_eq!(attestation.incarnation, 7);
    assert!(attestation.is_disconnected);
    assert_eq!(attestation.cancelled, ["job-000412"]);
    assert_eq!(answering.await.unwrap(), "ffff");
}
