//! A server that records HTTP requests and a client that returns HTTP responses as text, for tests that compare the
//! messages of an interface.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Timeout for each read from a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// What a [`Recorder`] does with a request.
#[derive(Debug, Clone)]
pub enum ScriptedAnswer {
    /// It responds with this status and this body.
    Answer(u16, String),
    /// It closes the connection without a response.
    HangUp,
}

/// A server that gives scripted answers and records the requests. It expects each request on a new connection.
/// A request that it cannot read stops it, but does not fail the test.
pub struct Recorder {
    /// The address at which it listens.
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    /// Starts a recorder with the answers to its first requests, in order. It stops after the last answer.
    pub fn start(answers: Vec<ScriptedAnswer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let addr = listener.local_addr().expect("the listener is bound");
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let recorded = requests.clone();
        std::thread::spawn(move || {
            let mut answers = VecDeque::from(answers);
            while let Some(answer) = answers.pop_front() {
                let Ok((mut stream, _)) = listener.accept() else {
                    return;
                };
                let message = read_message(&mut stream);
                recorded.lock().unwrap().push(request_text(&message));
                if let ScriptedAnswer::Answer(status, body) = answer {
                    let head = format!(
                        "HTTP/1.1 {status} Status\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                        body.len()
                    );
                    let sent = stream.write_all((head + &body).as_bytes());
                    sent.expect("the client reads the response");
                }
            }
        });
        Self { addr, requests }
    }

    /// The requests so far, each as text: the request line, the content type and the body, with `> ` before each.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// A request or a response.
struct Message {
    first_line: String,
    headers: Vec<String>,
    body: String,
}

/// Reads one message. Its headers end at an empty line or at the end of the stream; its body has the length that
/// `content-length` specifies, or is empty without it.
///
/// # Panics
/// If a read fails or takes longer than [`READ_TIMEOUT`], the body is incomplete, or the message is not valid UTF-8.
fn read_message(stream: &mut TcpStream) -> Message {
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("the timeout is not zero");
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        let read = reader
            .read_line(&mut line)
            .expect("the headers arrive in time and are UTF-8 text");
        let line = line.trim_end();
        if read == 0 || line.is_empty() {
            break;
        }
        lines.push(line.to_owned());
    }
    let length = lines.iter().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| {
            value
                .trim()
                .parse::<usize>()
                .expect("content-length is a number")
        })
    });
    let mut body = vec![0; length.unwrap_or(0)];
    reader
        .read_exact(&mut body)
        .expect("the complete body arrives in time");
    Message {
        first_line: lines.first().cloned().unwrap_or_default(),
        headers: lines.into_iter().skip(1).collect(),
        body: String::from_utf8(body).expect("the body is UTF-8 text"),
    }
}

/// A request as [`Recorder::requests`] shows it.
fn request_text(message: &Message) -> String {
    let mut text = format!("> {}\n", message.first_line);
    let is_content_type = |line: &&String| line.to_lowercase().starts_with("content-type:");
    for line in message.headers.iter().filter(is_content_type) {
        text.push_str(&format!("> {line}\n"));
    }
    if !message.body.is_empty() {
        text.push_str(&format!("> {}\n", message.body));
    }
    text
}

/// Sends one request with this body and returns the response as text: the status line, all headers except `date`, and
/// the body, with `< ` before each. Blocks until the response is complete.
pub fn exchange(addr: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("the server listens");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let sent = stream.write_all((head + body).as_bytes());
    sent.expect("the server reads the request");
    let answer = read_message(&mut stream);
    let mut text = format!("< {}\n", answer.first_line);
    let is_kept = |line: &&String| !line.to_lowercase().starts_with("date:");
    for line in answer.headers.iter().filter(is_kept) {
        text.push_str(&format!("< {line}\n"));
    }
    if !answer.body.is_empty() {
        text.push_str(&format!("< {}\n", answer.body));
    }
    text
}
