//! The operators' control socket: a Unix stream socket that takes one command a connection and responds in one line of JSON.

use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use harrierdock_types::{TimeDelta, Timestamp};
use thiserror::Error;

/// Connections at once. Others wait in the socket's queue.
const MAX_CONNECTIONS: usize = 4;
/// How long a connection may stay without a command.
const COMMAND_TIMEOUT: TimeDelta = TimeDelta(2_000_000);
const MAX_COMMAND_BYTES: usize = 64;
/// How long `send_command` waits for the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// What is wrong with a control socket.
#[derive(Debug, Error)]
#[error("control socket {}: {source}", path.display())]
pub(crate) struct ControlSocketError {
    path: PathBuf,
    source: ControlSocketFault,
}

/// The fault of a control socket.
#[derive(Debug, Error)]
pub(crate) enum ControlSocketFault {
    /// It cannot be opened, read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The gateway closed it without a response.
    #[error("no answer")]
    NoResponse,
}

/// The number of a connection, counted from the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ControlConnectionId(u64);

struct ControlConnection {
    id: ControlConnectionId,
    opened_at: Timestamp,
    token: RegistrationToken,
}

/// What a connection calls.
pub(crate) struct ControlHandlers<D> {
    /// Runs a command and returns the response.
    pub(crate) run_command: fn(&mut D, &str) -> String,
    /// The response is written, and the connection is closed.
    pub(crate) answered: fn(&mut D, ControlConnectionId),
}

/// The control socket. Its file is removed when it is dropped.
pub(crate) struct ControlSocket {
    path: PathBuf,
    listener: RegistrationToken,
    is_paused: bool,
    connections: Vec<ControlConnection>,
    last_id: u64,
}

impl ControlSocket {
    /// Listens at a path. A socket that an earlier start has left there is replaced.
    ///
    /// # Errors
    ///
    /// Another gateway listens there, or the path cannot be bound.
    pub(crate) fn open<D: 'static>(
        handle: &LoopHandle<'static, D>,
        path: PathBuf,
        accepted: fn(&mut D, UnixStream),
    ) -> Result<ControlSocket, ControlSocketError> {
        let error = |e: io::Error| socket_error(&path, e.into());
        if UnixStream::connect(&path).is_ok() {
            return Err(error(io::Error::from(ErrorKind::AddrInUse)));
        }
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(&path).map_err(error)?;
        listener.set_nonblocking(true).map_err(error)?;
        let accept = move |_, listener: &mut NoIoDrop<UnixListener>, data: &mut D| {
            if let Ok((stream, _)) = listener.accept() {
                accepted(data, stream);
            }
            Ok(PostAction::Continue)
        };
        let listener = handle
            .insert_source(Generic::new(listener, Interest::READ, Mode::Level), accept)
            .map_err(|e| error(io::Error::other(e.error)))?;
        Ok(ControlSocket {
            path,
            listener,
            is_paused: false,
            connections: Vec::new(),
            last_id: 0,
        })
    }

    /// Waits for the command of a connection. Accepting stops at `MAX_CONNECTIONS`.
    pub(crate) fn add_connection<D: 'static>(
        &mut self,
        handle: &LoopHandle<'static, D>,
        stream: UnixStream,
        now: Timestamp,
        handlers: ControlHandlers<D>,
    ) {
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        self.last_id += 1;
        let id = ControlConnectionId(self.last_id);
        let respond = move |_, stream: &mut NoIoDrop<UnixStream>, data: &mut D| {
            let mut buffer = [0; MAX_COMMAND_BYTES];
            let read = (&**stream).read(&mut buffer);
            if matches!(&read, Err(e) if e.kind() == ErrorKind::WouldBlock) {
                return Ok(PostAction::Continue);
            }
            let command = String::from_utf8_lossy(&buffer[..read.unwrap_or(0)]);
            let response = (handlers.run_command)(data, command.trim());
            // The response fits the socket's buffer. An error means that the caller has gone.
            let _ = (&**stream).write_all(response.as_bytes());
            (handlers.answered)(data, id);
            Ok(PostAction::Remove)
        };
        let source = Generic::new(stream, Interest::READ, Mode::Level);
        if let Ok(token) = handle.insert_source(source, respond) {
            self.connections.push(ControlConnection {
                id,
                opened_at: now,
                token,
            });
        }
        self.update_accepting(handle);
    }

    /// A connection has its response and is closed by its own event.
    pub(crate) fn forget_connection<D>(
        &mut self,
        handle: &LoopHandle<'static, D>,
        id: ControlConnectionId,
    ) {
        self.connections.retain(|connection| connection.id != id);
        self.update_accepting(handle);
    }

    /// Closes connections that have sent no command in time.
    pub(crate) fn close_expired<D>(&mut self, handle: &LoopHandle<'static, D>, now: Timestamp) {
        self.connections.retain(|connection| {
            let stays = now - connection.opened_at < COMMAND_TIMEOUT;
            if !stays {
                handle.remove(connection.token);
            }
            stays
        });
        self.update_accepting(handle);
    }

    /// Accepts while there is room for another connection.
    fn update_accepting<D>(&mut self, handle: &LoopHandle<'static, D>) {
        let is_full = self.connections.len() >= MAX_CONNECTIONS;
        if is_full == self.is_paused {
            return;
        }
        let changed = if is_full {
            handle.disable(&self.listener)
        } else {
            handle.enable(&self.listener)
        };
        match changed {
            Ok(()) => self.is_paused = is_full,
            Err(e) => tracing::warn!("the control socket cannot be paused or resumed: {e}"),
        }
    }
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn socket_error(path: &Path, source: ControlSocketFault) -> ControlSocketError {
    ControlSocketError {
        path: path.into(),
        source,
    }
}

/// Sends a command to a gateway's control socket and returns the response.
///
/// # Errors
///
/// Nobody listens there, or no response comes.
pub(crate) fn send_command(path: &Path, command: &str) -> Result<String, ControlSocketError> {
    let error = |e: io::Error| socket_error(path, e.into());
    let mut stream = UnixStream::connect(path).map_err(error)?;
    stream
        .set_read_timeout(Some(RESPONSE_TIMEOUT))
        .map_err(error)?;
    stream.write_all(command.as_bytes()).map_err(error)?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(error)?;
    if response.is_empty() {
        return Err(socket_error(path, ControlSocketFault::NoResponse));
    }
    Ok(response.trim_end().to_string())
}
