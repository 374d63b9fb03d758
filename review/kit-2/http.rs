//! HTTP/1.1 messages of the stand-ins.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or a reply as received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message with a length, in chunks, or without a body.
    pub fn read(stream: &mut impl BufRead) -> io::Result<Self> {
        let end = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let mut message = Self::default();
        if stream.read_line(&mut message.first_line)? == 0 {
            return Err(end());
        }
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(end());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            message.fields.push((name.to_lowercase(), value.trim().to_owned()));
        }
        if message.field("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let mut size = String::new();
                if stream.read_line(&mut size)? == 0 {
                    return Err(end());
                }
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                let mut chunk = vec![0; size + 2];
                stream.read_exact(&mut chunk)?;
                if size == 0 {
                    return Ok(message);
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = message.field("content-length").and_then(|length| length.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut message.body)?;
        Ok(message)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Returns the bytes of a reply.
pub fn reply(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in fields {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own: `answer` writes the reply to each request and
/// returns whether the connection goes on.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let (mut reader, mut stream) = (BufReader::new(copy), stream);
                while let Ok(request) = Message::read(&mut reader) {
                    if !answer(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection and returns the answer.
pub fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let message = Message::read(&mut reader)?;
    if (100..200).contains(&message.status()) {
        // A final answer should follow.
        return Message::read(&mut reader).or(Ok(message));
    }
    Ok(message)
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().fold(0u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for n in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * n)) as usize & 63];
            text.push(if n <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
