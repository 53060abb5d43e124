//! Child processes, which end with the value that holds them.

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

/// Most processes at once, so that a fault in a case does not load the machine.
const PROCESSES_MAX: usize = 20;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

static RUNNING: AtomicUsize = AtomicUsize::new(0);
static PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// A child process.
#[derive(Debug)]
pub struct Process {
    pub name: Box<str>,
    pub log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program that stands next to this one; its error output goes to a file of the folder.
    pub fn start(program: &str, name: &str, arguments: &[String], dir: &Path) -> Result<Self> {
        let running = RUNNING.fetch_add(1, Ordering::SeqCst);
        if running >= PROCESSES_MAX {
            RUNNING.fetch_sub(1, Ordering::SeqCst);
            snafu::whatever!("more than {PROCESSES_MAX} processes");
        }
        let log = dir.join(format!("{name}.log"));
        let child = spawn(program, arguments, &log);
        if child.is_err() {
            RUNNING.fetch_sub(1, Ordering::SeqCst);
        }
        Ok(Self { name: name.into(), log, child: child? })
    }

    /// First line of the output, as JSON.
    pub fn announced(&mut self) -> Result<Value> {
        let out = self.child.stdout.take().whatever_context("output is taken already")?;
        let mut line = String::new();
        BufReader::new(out)
            .read_line(&mut line)
            .with_whatever_context(|error| format!("{}: {error}", self.name))?;
        serde_json::from_str(&line)
            .with_whatever_context(|error| format!("{}: {error}: {line}", self.name))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = i32::try_from(self.child.id()).whatever_context("process id is out of range")?;
        signal::kill(Pid::from_raw(id), signal)
            .with_whatever_context(|error| format!("{}: {error}", self.name))
    }

    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    pub fn kill(&mut self) -> Result<()> {
        self.signal(Signal::SIGKILL)?;
        self.ended(Duration::from_secs(5)).map(drop)
    }

    /// Waits for the process to end.
    pub fn ended(&mut self, within: Duration) -> Result<ExitStatus> {
        let until = Instant::now() + within;
        loop {
            let status = self.child.try_wait();
            if let Some(status) =
                status.with_whatever_context(|error| format!("{}: {error}", self.name))?
            {
                return Ok(status);
            }
            ensure_whatever!(Instant::now() < until, "{} did not end within {within:?}", self.name);
            thread::sleep(LOOK);
        }
    }

    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Memory in KiB that the process holds.
    pub fn rss_kib(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id()))
            .whatever_context("could not read status")?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|it| it.split_whitespace().next());
        number.and_then(|it| it.parse().ok()).whatever_context("status has no VmRSS")
    }

    /// Processor time that the process has used, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id()))
            .whatever_context("could not read stat")?;
        // Fields 14 and 15; the name in parentheses may hold spaces.
        let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let field =
            |at: usize| rest.split_whitespace().nth(at).and_then(|it| it.parse::<u64>().ok());
        let (user, system) = (field(11), field(12));
        Ok(user.whatever_context("stat has no user time")?
            + system.whatever_context("stat has no system time")?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.fetch_sub(1, Ordering::SeqCst);
    }
}

fn spawn(program: &str, arguments: &[String], log: &Path) -> Result<Child> {
    let own = std::env::current_exe().whatever_context("could not find this program")?;
    let path = own.parent().whatever_context("this program has no folder")?.join(program);
    let file = File::options().create(true).append(true).open(log);
    let file = file.with_whatever_context(|error| format!("{}: {error}", log.display()))?;
    Command::new(&path)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(file)
        .spawn()
        .with_whatever_context(|error| format!("could not start {}: {error}", path.display()))
}

/// An address on which nothing listens, below the range that systems give to outgoing connections.
pub fn free_address() -> Result<SocketAddr> {
    for _ in 0..200 {
        let port = rand::rng().random_range(20_000..30_000);
        let mut ports = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        if ports.contains(&port) || TcpListener::bind(("127.0.0.1", port)).is_err() {
            continue;
        }
        ports.push(port);
        return Ok(SocketAddr::from(([127, 0, 0, 1], port)));
    }
    snafu::whatever!("no free port")
}

/// Waits until a condition holds; `what` names it in the error.
pub fn until(
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
            let why = last.err().map(|it| format!(": {it}")).unwrap_or_default();
            snafu::whatever!("not within {within:?}: {what}{why}");
        }
        thread::sleep(LOOK);
    }
}
