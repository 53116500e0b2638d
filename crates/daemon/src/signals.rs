//! Signals that a process handles.

use std::future;
use std::io;
use std::task::Poll;

use nix::sys::signal::{self, SigSet};
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::signal::unix::{self, SignalKind};

/// Signals that end a process by default and that mean nothing to this one. The kernel sends
/// SIGXFSZ when a file, such as the log, reaches the limit on its size; the write then fails.
/// Those that report a fault of the program, stop it or belong to its runtime keep their effect.
const IGNORED: [signal::Signal; 10] = [
    signal::Signal::SIGUSR1,
    signal::Signal::SIGUSR2,
    signal::Signal::SIGALRM,
    signal::Signal::SIGSTKFLT,
    signal::Signal::SIGXCPU,
    signal::Signal::SIGXFSZ,
    signal::Signal::SIGVTALRM,
    signal::Signal::SIGPROF,
    signal::Signal::SIGIO,
    signal::Signal::SIGPWR,
];

/// A signal that was received.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
pub(crate) enum Signal {
    /// The process is to end.
    #[strum(serialize = "SIGTERM")]
    Terminate,
    /// The process is to end, as its terminal says.
    #[strum(serialize = "SIGINT")]
    Interrupt,
    /// The process is to end, as its terminal or its service manager says.
    #[strum(serialize = "SIGQUIT")]
    Quit,
    /// The settings have changed.
    #[strum(serialize = "SIGHUP")]
    Hangup,
}

impl Signal {
    fn number(self) -> signal::Signal {
        match self {
            Self::Terminate => signal::Signal::SIGTERM,
            Self::Interrupt => signal::Signal::SIGINT,
            Self::Quit => signal::Signal::SIGQUIT,
            Self::Hangup => signal::Signal::SIGHUP,
        }
    }
}

/// Handlers of signals. Without its handler, a signal ends the process.
#[derive(Debug)]
pub(crate) struct Signals {
    handled: Vec<(Signal, unix::Signal)>,
    ignored: Vec<Ignored>,
    /// Signals without a handler, or blocked, that are not logged yet.
    failures: Vec<(signal::Signal, io::Error)>,
}

#[derive(Debug)]
struct Ignored {
    signal: signal::Signal,
    handler: unix::Signal,
    received: u64,
}

impl Signals {
    /// Installs the handlers, and unblocks their signals: a process starts with those blocked that
    /// its parent had blocked. A signal is kept until it is waited for. One that the kernel or the
    /// runtime rejects a handler for keeps its effect, which is logged.
    pub(crate) fn install() -> Self {
        let mut signals = Self {
            handled: Vec::new(),
            ignored: Vec::new(),
            failures: Vec::new(),
        };
        for signal in Signal::iter() {
            let handler = signals.handler(signal.number());
            signals
                .handled
                .extend(handler.map(|handler| (signal, handler)));
        }
        for signal in IGNORED {
            let handler = signals.handler(signal);
            signals.ignored.extend(handler.map(|handler| Ignored {
                signal,
                handler,
                received: 0,
            }));
        }
        signals
    }

    fn handler(&mut self, signal: signal::Signal) -> Option<unix::Signal> {
        // The numbers of signals are the discriminants of the enum.
        let installed = unix::signal(SignalKind::from_raw(signal as i32));
        let unblocked = SigSet::from(signal).thread_unblock();
        let mut record = |error| self.failures.push((signal, error));
        unblocked.map_err(|error| record(error.into())).ok();
        installed.map_err(record).ok()
    }

    /// Waits for the next signal that means something to the process.
    pub(crate) async fn next(&mut self) -> Signal {
        for (signal, error) in self.failures.drain(..) {
            log::warn!(signal = signal.as_str(), error:% = error; "signal cannot be received");
        }
        future::poll_fn(|context| {
            for ignored in &mut self.ignored {
                while ignored.handler.poll_recv(context).is_ready() {
                    ignored.report();
                }
            }
            for (signal, handler) in &mut self.handled {
                if handler.poll_recv(context).is_ready() {
                    return Poll::Ready(*signal);
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Waits for a signal that tells the process to end.
    pub(crate) async fn end(&mut self) -> Signal {
        loop {
            let signal = self.next().await;
            if signal != Signal::Hangup {
                return signal;
            }
        }
    }
}

impl Ignored {
    // A signal may come with each line of the log, so that ever fewer of them are logged.
    fn report(&mut self) {
        self.received += 1;
        if self.received.is_power_of_two() {
            log::warn!(signal = self.signal.as_str(), received = self.received; "signal ignored");
        }
    }
}
