//! The control socket (Unix, streams): one word a connection, one JSON line back. What it asks is done by
//! `across`; who says nothing is closed after a while and holds nobody up.

use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::runtime::gateway::Gateway;

/// Callers at once, at the most, and how long one may say nothing.
const MOST: usize = 4;
const PATIENCE: TimeDelta = TimeDelta(2_000_000);
const WORD_MOST: usize = 64;

struct Caller {
    since: Timestamp,
    token: RegistrationToken,
}

pub struct Control {
    path: PathBuf,
    callers: Vec<Caller>,
}

impl Control {
    /// Listens on a new socket at this path; one left by an earlier start is replaced.
    pub fn open(handle: &LoopHandle<'static, Gateway>, path: PathBuf) -> Result<Control, String> {
        let wrong = |e: io::Error| format!("control socket {}: {e}", path.display());
        // Guards against taking away a socket on which another gateway listens.
        if UnixStream::connect(&path).is_ok() {
            return Err(wrong(io::Error::from(ErrorKind::AddrInUse)));
        }
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(&path).map_err(wrong)?;
        listener.set_nonblocking(true).map_err(wrong)?;
        let call =
            |_, listener: &mut calloop::generic::NoIoDrop<UnixListener>, gateway: &mut Gateway| {
                if let Ok((stream, _)) = listener.accept() {
                    let (now, handle) = (gateway.room.now(), gateway.room.handle.clone());
                    if let Some(control) = &mut gateway.control {
                        control.adopt(&handle, stream, now);
                    }
                }
                Ok(PostAction::Continue)
            };
        handle
            .insert_source(Generic::new(listener, Interest::READ, Mode::Level), call)
            .map_err(|e| wrong(io::Error::other(e.error)))?;
        Ok(Control {
            path,
            callers: Vec::new(),
        })
    }

    fn adopt(&mut self, handle: &LoopHandle<'static, Gateway>, stream: UnixStream, now: Timestamp) {
        if self.callers.len() >= MOST || stream.set_nonblocking(true).is_err() {
            return;
        }
        let call =
            |_, stream: &mut calloop::generic::NoIoDrop<UnixStream>, gateway: &mut Gateway| {
                let mut word = [0; WORD_MOST];
                let read = (&**stream).read(&mut word);
                if matches!(&read, Err(e) if e.kind() == ErrorKind::WouldBlock) {
                    return Ok(PostAction::Continue);
                }
                let word = String::from_utf8_lossy(&word[..read.unwrap_or(0)])
                    .trim()
                    .to_string();
                let answer = gateway.by_hand(&word);
                // It fits the socket's buffer; whoever does not take it has gone.
                let _ = (&**stream).write_all(answer.as_bytes());
                Ok(PostAction::Remove)
            };
        if let Ok(token) =
            handle.insert_source(Generic::new(stream, Interest::READ, Mode::Level), call)
        {
            self.callers.push(Caller { since: now, token });
        }
    }

    /// Closes those who have said nothing for too long.
    pub fn tend(&mut self, handle: &LoopHandle<'static, Gateway>, now: Timestamp) {
        self.callers.retain(|caller| {
            let stays = now - caller.since < PATIENCE;
            if !stays {
                handle.remove(caller.token);
            }
            stays
        });
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Says one word to a gateway's control socket, and gives back its answer.
pub fn say(path: &Path, word: &str) -> Result<String, String> {
    let wrong = |e: io::Error| format!("control socket {}: {e}", path.display());
    let mut stream = UnixStream::connect(path).map_err(wrong)?;
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .map_err(wrong)?;
    stream.write_all(word.as_bytes()).map_err(wrong)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(wrong)?;
    if answer.is_empty() {
        return Err(format!("control socket {}: no answer", path.display()));
    }
    Ok(answer.trim_end().to_string())
}
