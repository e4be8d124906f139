//! An event source for a socket with an interest shared with its connection.

use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{EventSource, Interest, Mode, Poll, PostAction, Readiness, Token, TokenFactory};

/// An event source for a stream. A changed interest takes effect when the source is reregistered.
pub(crate) struct StreamSource {
    socket: Generic<Rc<TcpStream>>,
    interest: Rc<Cell<Interest>>,
}

impl StreamSource {
    pub(crate) fn new(stream: Rc<TcpStream>, interest: Rc<Cell<Interest>>) -> StreamSource {
        StreamSource {
            socket: Generic::new(stream, interest.get(), Mode::Level),
            interest,
        }
    }
}

impl EventSource for StreamSource {
    type Event = Readiness;
    type Metadata = ();
    type Ret = ();
    type Error = io::Error;

    fn process_events<F>(
        &mut self,
        readiness: Readiness,
        token: Token,
        mut callback: F,
    ) -> io::Result<PostAction>
    where
        F: FnMut(Readiness, &mut ()),
    {
        self.socket
            .process_events(readiness, token, |readiness, _| {
                callback(readiness, &mut ());
                Ok(PostAction::Continue)
            })
    }

    fn register(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.socket.interest = self.interest.get();
        self.socket.register(poll, tokens)
    }

    fn reregister(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.socket.interest = self.interest.get();
        self.socket.reregister(poll, tokens)
    }

    fn unregister(&mut self, poll: &mut Poll) -> calloop::Result<()> {
        self.socket.unregister(poll)
    }
}
