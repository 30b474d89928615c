use super::*;
use crate::testing::compatibility::trace::hex;

#[test]
fn attestation_frames_keep_their_bytes() {
    let mut trace = String::new();
    for (cell, revision) in [("", 0), ("stone", 1), ("stone", 9_007_199_254_740_993)] {
        let frame = bitcode::encode(&Query {
            cell: cell.to_owned(),
            revision,
        });
        trace.push_str(&format!(
            "question of {cell:?} at {revision}: {}\n",
            hex(&frame)
        ));
        let read: Query = bitcode::decode(&frame).unwrap();
        assert_eq!((read.cell.as_str(), read.revision), (cell, revision));
    }
    let responses: [(bool, &[&str]); 4] = [
        (false, &[]),
        (true, &[]),
        (true, &["job-000412"]),
        (false, &["job-000412", "job-7"]),
    ];
    for (is_disconnected, revoked) in responses {
        let frame = bitcode::encode(&Response {
            is_disconnected,
            revoked_jobs: revoked.iter().map(|id| (*id).to_owned()).collect(),
        });
        trace.push_str(&format!(
            "answer {is_disconnected} {revoked:?}: {}\n",
            hex(&frame)
        ));
        let read: Response = bitcode::decode(&frame).unwrap();
        assert_eq!(read.is_disconnected, is_disconnected);
        assert_eq!(read.revoked_jobs, revoked);
    }
    insta::assert_snapshot!("attestation_frames", trace);
}

/// Guards against a change of the bytes on the connection: the query's code, the frame's length and the frame,
/// as a responding controller reads them. The response is read as another controller sends it.
#[tokio::test]
async fn attestation_query_is_sent_as_the_same_bytes() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let answering = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut query = vec![0; 6];
        stream.read_exact(&mut query).await.unwrap();
        let mut frame = vec![0; usize::from(query[5])];
        stream.read_exact(&mut frame).await.unwrap();
        query.extend(frame);
        let response = bitcode::encode(&Response {
            is_disconnected: true,
            revoked_jobs: vec!["job-000412".to_owned()],
        });
        write_frame(&mut stream, response).await.unwrap();
        hex(&query)
    });
    let revoked = collect_attestations(vec![peer], "stone", 9).await;
    assert_eq!(revoked, Some(vec!["job-000412".to_owned()]));
    insta::assert_snapshot!("attestation_query_on_the_wire", answering.await.unwrap());
}
