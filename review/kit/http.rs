//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message with a length, or without a body. Returns `None` at the end of the stream, and
    /// if the message is not complete.
    pub fn read(stream: &mut impl BufRead) -> Option<Self> {
        let mut message = Self::default();
        stream.read_line(&mut message.first_line).ok().filter(|length| *length > 0)?;
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).ok().filter(|length| *length > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            message.fields.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let length = message.field("content-length").and_then(|length| length.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

/// A caller's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddrV4, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, request: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(request.as_bytes())
    }

    pub fn receive(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn call(&mut self, request: &str) -> Option<Message> {
        self.send(request).ok()?;
        self.receive()
    }

    /// Reads an answer at most at a rate, as over a slow link. Returns its status, the length of its
    /// body as stated, and how much of it arrived before the connection ended.
    pub fn receive_slowly(&mut self, bytes_per_s: usize) -> Option<(u16, usize, usize)> {
        let mut head = Message::default();
        self.reader.read_line(&mut head.first_line).ok().filter(|length| *length > 0)?;
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            head.fields.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let stated: usize = head.field("content-length")?.parse().ok()?;
        let mut piece = vec![0; bytes_per_s / 50];
        let mut arrived = 0;
        while arrived < stated {
            std::thread::sleep(Duration::from_millis(20));
            let most = piece.len().min(stated - arrived);
            match self.reader.read(&mut piece[..most]) {
                Ok(0) | Err(_) => break,
                Ok(length) => arrived += length,
            }
        }
        Some((head.status(), stated, arrived))
    }

    /// Tells whether the other side has closed the connection while it was idle.
    pub fn is_closed(&mut self) -> bool {
        if !self.reader.buffer().is_empty() {
            return true;
        }
        let stream = self.reader.get_mut();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0];
        let read = stream.read(&mut byte);
        let open = matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        stream.set_nonblocking(false).is_err() || !open
    }
}

/// Calls an address once.
pub fn get(addr: SocketAddrV4, path: &str) -> Option<Message> {
    let mut connection = Connection::open(addr, Duration::from_secs(1)).ok()?;
    connection.call(&format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n"))
}
