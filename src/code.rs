//! Numbered result codes. `docs/codes.md` repeats the table for operators.

use std::fmt;

use serde::Serialize;

/// What a result code says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No part of the request ran; with an idempotency key it will never run under this key.
    NotRun,
    /// The request may or may not have run.
    OutcomeUnknown,
    /// The request was refused before dispatch and would be refused again.
    Refused,
    /// The answer ended early.
    Incomplete,
    /// The host failed.
    Internal,
}

macro_rules! codes {
    ($($name:ident = $number:literal, $kind:ident, $status:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code { $(#[doc = $text] $name = $number,)* }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            pub fn kind(self) -> Kind {
                match self { $(Self::$name => Kind::$kind,)* }
            }

            /// HTTP status sent with the code.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Short description.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

codes! {
    FileMalformed = 101, Refused, 400, "file is not valid JSON";
    FileInvalid = 102, Refused, 422, "file has faults";
    RevisionConflict = 103, Refused, 409, "another revision is in force";
    StoreBehind = 104, Refused, 409, "store shows an older revision than hosts hold";
    StoreUnavailable = 105, NotRun, 503, "store unavailable, not applied";
    ApplyUnknown = 106, OutcomeUnknown, 504, "outcome of the apply is unknown";
    QueueFull = 201, NotRun, 429, "queue is full";
    Deadline = 202, NotRun, 503, "deadline cannot be met";
    NoTarget = 203, NotRun, 503, "no live target";
    OutcomeUnknown = 204, OutcomeUnknown, 504, "outcome unknown, may be asked again with the same key";
    KeyInvalid = 205, OutcomeUnknown, 410, "key is not valid here, it will never run";
    KeyRequired = 206, NotRun, 428, "idempotency key required";
    Incomplete = 207, Incomplete, 502, "answer broke off";
    CrashesTargets = 208, Refused, 422, "request crashes targets";
    Draining = 209, NotRun, 503, "host is draining";
    RequestMalformed = 210, Refused, 400, "malformed request";
    TooLarge = 211, Refused, 413, "request too large";
    UnknownName = 212, Refused, 404, "unknown model, service or route";
    KeyReused = 213, Refused, 422, "key belongs to another request";
    UnknownTrainer = 301, Refused, 404, "unknown trainer";
    NoBatch = 302, NotRun, 503, "no batch is complete yet";
    CursorInvalid = 303, Refused, 400, "cursor is not valid";
    TokenRequired = 401, Refused, 401, "operator token required";
    OtherDeployment = 402, Refused, 403, "peer belongs to another deployment";
    FrameTooLarge = 403, Refused, 413, "frame too large";
    FrameMalformed = 404, Refused, 400, "malformed frame";
    NotReady = 501, NotRun, 503, "no configuration in force yet";
    Internal = 502, Internal, 500, "internal error";
}

impl Code {
    /// The code with this number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|&code| code as u16 == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LY-{}", *self as u16)
    }
}
