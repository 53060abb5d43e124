//! Child processes that are killed when their handle is dropped.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use rand::Rng;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, ensure_whatever};

use crate::Result;

/// Limit on concurrent processes, so that a faulty case cannot overload the machine.
const PROCESSES_MAX: usize = 20;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

static RUNNING_PROCESSES: AtomicUsize = AtomicUsize::new(0);
static USED_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

#[derive(Debug)]
pub struct Process {
    pub name: Box<str>,
    pub log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program from the directory of this executable; its standard error goes to `NAME.log` in `dir`.
    pub fn start(program: &str, name: &str, arguments: &[String], dir: &Path) -> Result<Self> {
        let running = RUNNING_PROCESSES.fetch_add(1, Ordering::SeqCst);
        if running >= PROCESSES_MAX {
            RUNNING_PROCESSES.fetch_sub(1, Ordering::SeqCst);
            snafu::whatever!("could not start {name}: {PROCESSES_MAX} processes are running");
        }
        let log = dir.join(format!("{name}.log"));
        let child = spawn(program, arguments, &log);
        if child.is_err() {
            RUNNING_PROCESSES.fetch_sub(1, Ordering::SeqCst);
        }
        Ok(Self { name: name.into(), log, child: child? })
    }

    /// Reads the first line of standard output, in which a stand-in announces its addresses as JSON.
    pub fn read_announcement(&mut self) -> Result<Value> {
        let out = self
            .child
            .stdout
            .take()
            .whatever_context("could not read the announcement a second time")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).with_whatever_context(|error| {
            format!("could not read output of {}: {error}", self.name)
        })?;
        serde_json::from_str(&line).with_whatever_context(|error| {
            format!("could not parse output of {}: {error}: {line:?}", self.name)
        })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id =
            i32::try_from(self.child.id()).whatever_context("could not convert the process id")?;
        signal::kill(Pid::from_raw(id), signal).with_whatever_context(|error| {
            format!("could not send {signal} to {}: {error}", self.name)
        })
    }

    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::SIGKILL)?;
        self.wait_for_exit(Duration::from_secs(5)).map(drop)
    }

    pub fn wait_for_exit(&mut self, within: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + within;
        loop {
            let status = self.child.try_wait();
            if let Some(status) = status.with_whatever_context(|error| {
                format!("could not wait for {}: {error}", self.name)
            })? {
                return Ok(status);
            }
            ensure_whatever!(
                Instant::now() < deadline,
                "{} did not exit within {within:?}",
                self.name
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Resident memory in KiB.
    pub fn rss_kib(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id()))
            .whatever_context("could not read /proc/PID/status")?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|it| it.split_whitespace().next());
        number
            .and_then(|it| it.parse().ok())
            .whatever_context("could not find VmRSS in /proc/PID/status")
    }

    /// CPU time used so far, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id()))
            .whatever_context("could not read /proc/PID/stat")?;
        // User and system time are fields 14 and 15. Field 2, the name in parentheses, may contain spaces.
        let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let field =
            |at: usize| rest.split_whitespace().nth(at).and_then(|it| it.parse::<u64>().ok());
        let (user, system) = (field(11), field(12));
        Ok(user.whatever_context("could not find the user time in /proc/PID/stat")?
            + system.whatever_context("could not find the system time in /proc/PID/stat")?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING_PROCESSES.fetch_sub(1, Ordering::SeqCst);
    }
}

fn spawn(program: &str, arguments: &[String], log: &Path) -> Result<Child> {
    let own = std::env::current_exe().whatever_context("could not find this executable")?;
    let path = own
        .parent()
        .whatever_context("could not find the directory of this executable")?
        .join(program);
    let file = File::options().create(true).append(true).open(log);
    let file =
        file.with_whatever_context(|error| format!("could not open {}: {error}", log.display()))?;
    Command::new(&path)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(file)
        .spawn()
        .with_whatever_context(|error| format!("could not start {}: {error}", path.display()))
}

/// Returns an address on which nothing listens, with a port below the ephemeral range and not returned before.
pub fn free_address() -> Result<SocketAddr> {
    for _ in 0..200 {
        let port = rand::rng().random_range(20_000..30_000);
        let mut ports = USED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        if ports.contains(&port) || TcpListener::bind(("127.0.0.1", port)).is_err() {
            continue;
        }
        ports.push(port);
        return Ok(SocketAddr::from(([127, 0, 0, 1], port)));
    }
    snafu::whatever!("could not find a free port in 200 attempts")
}

/// Polls a condition until it holds and returns the time this took. `what` names the condition in the error.
pub fn wait_until(
    what: &str,
    within: Duration,
    mut holds: impl FnMut() -> Result<bool>,
) -> Result<Duration> {
    let start = Instant::now();
    loop {
        let last = holds();
        if matches!(last, Ok(true)) {
            return Ok(start.elapsed());
        }
        if start.elapsed() > within {
            let reason = last.err().map(|it| format!(": {it}")).unwrap_or_default();
            snafu::whatever!("condition not met within {within:?}: {what}{reason}");
        }
        thread::sleep(POLL_INTERVAL);
    }
}
