//! The operators' control socket: a Unix socket that takes one command per connection and responds with one line of JSON.

use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use harrierdock_types::{TimeDelta, Timestamp};
use thiserror::Error;

/// The maximum number of open connections. Further connections wait in the socket's accept queue.
const MAX_CONNECTIONS: usize = 4;
/// How long a connection may stay open without a command.
const COMMAND_TIMEOUT: TimeDelta = TimeDelta(2_000_000);
const MAX_COMMAND_BYTES: usize = 64;
/// How long `send_command` waits for the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// An error of the control socket at a path.
#[derive(Debug, Error)]
#[error("control socket {}: {source}", path.display())]
pub(crate) struct ControlSocketError {
    path: PathBuf,
    source: ControlSocketErrorCause,
}

/// The cause of a [`ControlSocketError`].
#[derive(Debug, Error)]
pub(crate) enum ControlSocketErrorCause {
    /// Opening, reading or writing the socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The gateway closed the connection without a response.
    #[error("the gateway closed the connection without a response")]
    NoResponse,
}

/// The id of a connection, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ControlConnectionId(u64);

struct ControlConnection {
    id: ControlConnectionId,
    opened_at: Timestamp,
    token: RegistrationToken,
}

/// What the gateway does for a connection.
pub(crate) struct ControlHandlers<D> {
    /// Runs a command and returns the response.
    pub(crate) run_command: fn(&mut D, &str) -> String,
    /// Called after the response is written, right before the connection is closed.
    pub(crate) answered: fn(&mut D, ControlConnectionId),
}

/// The listening socket and its open connections. Dropping it removes the socket file.
pub(crate) struct ControlSocket {
    path: PathBuf,
    listener: RegistrationToken,
    is_paused: bool,
    connections: Vec<ControlConnection>,
    last_id: u64,
}

impl ControlSocket {
    /// Listens at a path. Replaces a socket file that an earlier start left there.
    ///
    /// # Errors
    ///
    /// Another gateway listens at the path, or binding it fails.
    pub(crate) fn open<D: 'static>(
        handle: &LoopHandle<'static, D>,
        path: PathBuf,
        accepted: fn(&mut D, UnixStream),
    ) -> Result<ControlSocket, ControlSocketError> {
        let error = |e: io::Error| control_socket_error(&path, e.into());
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

    /// Waits for the command of an accepted connection. Stops accepting at `MAX_CONNECTIONS`.
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
            // The response fits into the socket's buffer. An error means that the caller has disconnected.
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

    /// Stops counting a connection that has been answered. The event loop closes its stream.
    pub(crate) fn forget_connection<D>(
        &mut self,
        handle: &LoopHandle<'static, D>,
        id: ControlConnectionId,
    ) {
        self.connections.retain(|connection| connection.id != id);
        self.update_accepting(handle);
    }

    /// Closes connections that have not sent a command within `COMMAND_TIMEOUT`.
    pub(crate) fn close_expired<D>(&mut self, handle: &LoopHandle<'static, D>, now: Timestamp) {
        self.connections.retain(|connection| {
            let is_in_time = now - connection.opened_at < COMMAND_TIMEOUT;
            if !is_in_time {
                handle.remove(connection.token);
            }
            is_in_time
        });
        self.update_accepting(handle);
    }

    /// Accepts connections only below `MAX_CONNECTIONS`.
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
            Err(e) => tracing::warn!("sites: failed to pause or resume the control socket: {e}"),
        }
    }
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn control_socket_error(path: &Path, source: ControlSocketErrorCause) -> ControlSocketError {
    ControlSocketError {
        path: path.into(),
        source,
    }
}

/// Sends a command to a gateway's control socket and returns the response.
///
/// # Errors
///
/// No gateway listens at the path, or no response arrives in time.
pub(crate) fn send_command(path: &Path, command: &str) -> Result<String, ControlSocketError> {
    let error = |e: io::Error| control_socket_error(path, e.into());
    let mut stream = UnixStream::connect(path).map_err(error)?;
    stream
        .set_read_timeout(Some(RESPONSE_TIMEOUT))
        .map_err(error)?;
    stream.write_all(command.as_bytes()).map_err(error)?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(error)?;
    if response.is_empty() {
        return Err(control_socket_error(
            path,
            ControlSocketErrorCause::NoResponse,
        ));
    }
    Ok(response.trim_end().to_string())
}
